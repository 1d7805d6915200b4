package sequoianode

import (
	"context"
	"net/http"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaowner"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaquarantine"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaregistry"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaroute"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiarouter"
)

// recordStore is a store that holds the quarantine records.
type recordStore struct {
	records  []sequoiaquarantine.Record
	revision uint64
	writes   int
}

func (s *recordStore) put(records ...sequoiaquarantine.Record) {
	s.records = records
	s.revision++
}

func (s *recordStore) item() sequoiaregistry.Item {
	b, err := sequoiaquarantine.Encode(s.records)
	Expect(err).NotTo(HaveOccurred())
	return sequoiaregistry.Item{Key: quarantineKey, Value: b, Revision: s.revision}
}

func (s *recordStore) store() sequoiaregistry.Store {
	return sequoiaregistry.Store{
		Get: func(context.Context, string) (sequoiaregistry.Item, error) { return s.item(), nil },
		Commit: func(_ context.Context, tx sequoiaregistry.Transaction) (uint64, error) {
			if tx.Expected[quarantineKey] != s.revision {
				return 0, sequoiaregistry.ErrConflict
			}
			records, err := sequoiaquarantine.Decode(tx.Puts[0].Value)
			Expect(err).NotTo(HaveOccurred())
			s.put(records...)
			s.writes++
			return s.revision, nil
		},
	}
}

var _ = ginkgo.Describe("quarantine", func() {
	req := &sequoiarouter.Request{Service: "parts", Method: http.MethodGet, Host: "h", Path: "/x"}
	record := func(n *Node, age time.Duration, strikes, trials uint32) sequoiaquarantine.Record {
		return sequoiaquarantine.Record{
			Fingerprint: n.identity(req).Fingerprint(), Mark: sequoiaquarantine.Mark{Strikes: strikes}, Trials: trials,
			Changed: time.Now().Add(-age).UnixMilli(),
		}
	}
	newNode := func(s *recordStore) *Node {
		n := newCommitNode(&tableStore{})
		n.dialect.Caller = func(http.Header) string { return "" }
		n.store = s.store()
		return n
	}

	// Guards against a process that does not know a request that crashes upstreams because it is cut off from the others.
	ginkgo.It("refuses a request that the store names, and tells when it is tried again", func() {
		s := &recordStore{}
		n := newNode(s)
		Expect(n.quarantine.judge(judgement{}, req).refusal()).To(BeNil())
		s.put(record(n, 10*time.Second, 2, 0))
		n.onStoreItems([]sequoiaregistry.Item{s.item()})
		resp := n.quarantine.judge(judgement{}, req).refusal()
		Expect(resp.Outcome).To(Equal(sequoiarouter.NotRun))
		Expect(resp.RetryAfter).To(BeNumerically("~", 50*time.Second, time.Second))
		Expect(failureStatus(resp)).To(Equal(http.StatusServiceUnavailable))
		a := &attemptState{upstreamAttempts: 1}
		Expect(n.shouldRetry(context.Background(), &sequoiarouter.Request{Deadline: time.Now().Add(time.Second)}, &sequoiaroute.Route{}, false, resp, a)).To(BeFalse())
	})

	// Guards against a process that takes the records for a member, or fails because another writer changed them.
	ginkgo.It("takes the item for no member, and replaces one that cannot be read", func() {
		s := &recordStore{revision: 5}
		n := newNode(s)
		n.quarantine.strike([]*run{{Identity: n.identity(req)}})
		n.onMembersListed([]sequoiaregistry.Item{{Key: quarantineKey, Value: []byte(`{"Instance":"Quarantine"}`), Revision: 5}}, 6)
		Expect(n.core.Members()).To(BeEmpty())
		Expect(n.quarantine.judge(judgement{}, req).alone()).To(BeTrue())
		n.quarantine.publish(context.Background())
		Expect(s.records).To(HaveLen(1))
	})

	ginkgo.It("rejects a message that cannot be read and merges one that can", func() {
		n := newNode(&recordStore{})
		Expect(n.quarantine.serveAnnouncement(&sequoiarouter.Request{Body: []byte("x")}).Outcome).To(Equal(sequoiarouter.NotRun))
		b, err := sequoiaquarantine.Encode([]sequoiaquarantine.Record{record(n, 0, 2, 0)})
		Expect(err).NotTo(HaveOccurred())
		Expect(n.quarantine.serveAnnouncement(&sequoiarouter.Request{Body: b}).Outcome).To(Equal(sequoiarouter.Answered))
		Expect(n.quarantine.judge(judgement{}, req).refusal()).NotTo(BeNil())
	})

	// Guards against two processes that run a request on trial at the same time.
	ginkgo.It("begins a trial only if no other process has", func() {
		s := &recordStore{}
		n := newNode(s)
		s.put(record(n, 2*time.Minute, 2, 0))
		n.onStoreItems([]sequoiaregistry.Item{s.item()})
		s.put(record(n, 0, 2, 1))
		start := func() judgement {
			return n.quarantine.startTrial(context.Background(), n.quarantine.judge(judgement{}, req))
		}
		Expect(start().refusal()).NotTo(BeNil())
		Expect(s.writes).To(BeZero())

		n = newNode(s)
		s.put(record(n, 2*time.Minute, 2, 0))
		n.onStoreItems([]sequoiaregistry.Item{s.item()})
		j := start()
		Expect(j.refusal()).To(BeNil())
		Expect(j.alone()).To(BeTrue())
		Expect(s.records[0].Trials).To(Equal(uint32(1)))
		Expect(start().refusal()).NotTo(BeNil())
		n.quarantine.answered(j, req)
		Expect(n.quarantine.judge(judgement{}, req).alone()).To(BeFalse())
		n.quarantine.publish(context.Background())
		Expect(s.records[0].Mark).To(Equal(sequoiaquarantine.Mark{Generation: 1}))
	})

	// Guards against a request that is quarantined because it was sent on, without the knowledge of the process that ran it,
	// to an upstream at which another copy of the cause was running.
	ginkgo.It("counts no strikes for what other processes say of their upstreams", func() {
		n := newNode(&recordStore{})
		for range 3 {
			n.quarantine.noteUpstreamEnded(req)
		}
		Expect(n.quarantine.judge(judgement{}, req).verdict.State).To(Equal(sequoiaquarantine.Suspect))
		n.quarantine.strike([]*run{{Identity: n.identity(req)}})
		Expect(n.quarantine.judge(judgement{}, req).verdict.State).To(Equal(sequoiaquarantine.Suspect))
	})

	// Guards against a request that is quarantined because it ran beside the cause (CI on ac43630: 79 of 320 requests were
	// refused), which had got its slot before it became a suspect and was still waiting for a connection.
	ginkgo.It("runs no suspect beside another one that became a suspect after it had got its slot", func() {
		n := newNode(&recordStore{})
		n.core.SetUpstream(time.Now(), sequoiaowner.Upstream{ID: "u", Born: 1, Service: "parts", Slots: 6})
		admit := func(path string, alone bool) (*run, string) {
			ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
			defer cancel()
			r := *req
			r.Path, r.Deadline = path, time.Now().Add(time.Second)
			admitted, reason, _ := n.admit(ctx, &r, alone)
			return admitted, reason
		}
		cause, reason := admit(req.Path, false)
		Expect(reason).To(BeEmpty())
		b, err := sequoiaquarantine.Encode([]sequoiaquarantine.Record{record(n, 0, 1, 0)})
		Expect(err).NotTo(HaveOccurred())
		Expect(n.quarantine.serveAnnouncement(&sequoiarouter.Request{Body: b}).Outcome).To(Equal(sequoiarouter.Answered))
		_, reason = admit("/other", true)
		Expect(reason).To(Equal(reasonCancelled))
		n.finish(cause, nil)
		_, reason = admit("/other", true)
		Expect(reason).To(BeEmpty())
	})

	// Guards against a request that others go on refusing although it was answered while they learned to refuse it.
	ginkgo.It("tells the others of an answer to a request that is quarantined meanwhile", func() {
		s := &recordStore{}
		n := newNode(s)
		n.quarantine.strike([]*run{{Identity: n.identity(req)}})
		j := n.quarantine.judge(judgement{}, req)
		Expect(j.refusal()).To(BeNil())
		s.put(record(n, 0, 2, 0))
		n.onStoreItems([]sequoiaregistry.Item{s.item()})
		n.quarantine.answered(j, req)
		n.quarantine.publish(context.Background())
		Expect(s.records[0].Mark).To(Equal(sequoiaquarantine.Mark{Generation: 1}))
		Expect(n.quarantine.outbox[len(n.quarantine.outbox)-1].Mark).To(Equal(sequoiaquarantine.Mark{Generation: 1}))
	})

	// Guards against a suspect whose copies end several upstreams at the same time.
	ginkgo.It("sends all copies of a suspect to one upstream", func() {
		members := map[string]sequoiaowner.Member{}
		for _, name := range []string{"a", "b", "c", "d"} {
			members[name] = member(name, "zone-"+name)
		}
		chosen := map[string]bool{}
		for i := range 8 {
			f := sequoiaquarantine.Fingerprint{byte(i)}
			first, _ := directoryOf("a", members).chooseFor("parts", f, nil)
			again, _ := directoryOf("b", members).chooseFor("parts", f, nil)
			Expect(again.Instance).To(Equal(first.Instance))
			next, ok := directoryOf("c", members).chooseFor("parts", f, map[string]bool{first.Instance: true})
			Expect(ok).To(BeTrue())
			Expect(next.Instance).NotTo(Equal(first.Instance))
			chosen[first.Instance] = true
		}
		Expect(len(chosen)).To(BeNumerically(">", 1))
	})

	// Guards against a harmless request that is quarantined because its caller left a second before another suspect ended
	// the upstream.
	ginkgo.It("starts no suspect while an abandoned one would count as in progress", func() {
		n := startAnnounceNode(nil, 0)
		n.dialect.Caller = func(http.Header) string { return "" }
		Expect(accept(n, heartbeatOf(1))).To(Succeed())
		begin := func(path string, alone bool) *run {
			ginkgo.GinkgoHelper()
			req := &sequoiarouter.Request{Service: "desk", Path: path, Deadline: time.Now().Add(10 * time.Second)}
			r, reason, _ := n.admit(context.Background(), req, alone)
			Expect(reason).To(BeEmpty())
			n.runSent(r, sequoiaquarantine.Mark{})
			return r
		}
		abandon := func() {
			r := begin("/abandoned", true)
			n.endRun(r, false, true)
			n.finish(r, &sequoiarouter.Response{Outcome: sequoiarouter.Unknown, Reason: reasonCancelled})
		}
		abandon()
		began := time.Now()
		time.AfterFunc(sequoiaquarantine.AbandonedTime+300*time.Millisecond, func() {
			defer ginkgo.GinkgoRecover()
			other := begin("/other", false)
			n.withCore(func(*sequoiaowner.Core) { n.runs.Answered(other) })
			n.finish(other, nil)
		})
		suspect := begin("/suspect", true)
		n.withCore(func(*sequoiaowner.Core) { Expect(n.runs.UpstreamEnded()).To(ConsistOf(suspect)) })
		Expect(time.Since(began)).To(BeNumerically("<", sequoiaquarantine.AbandonedTime+maxSuspectPause))
		n.finish(suspect, nil)

		// Without any answer, suspects do not wait for ever.
		abandon()
		began = time.Now()
		begin("/suspect", true)
		Expect(time.Since(began)).To(BeNumerically("~", sequoiaquarantine.AbandonedTime+maxSuspectPause, 300*time.Millisecond))
	})
})

func directoryOf(instance string, members map[string]sequoiaowner.Member) *directory {
	d := newDirectory(Settings{Instance: instance, Domain: "zone-" + instance})
	d.setMembers(members)
	return d
}
