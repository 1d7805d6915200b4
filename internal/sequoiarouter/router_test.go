package sequoiarouter_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiacontrol"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiarouter"
	. "github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

func TestRouter(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "sequoiarouter")
}

var start = time.Now()

func after(d time.Duration) time.Time { return start.Add(d) }

func apply(t *Table, writer IncarnationID, changes ...Change) *Table {
	next, refused, err := t.Apply(Entry{Index: t.Index + 1, Writer: writer, Changes: changes})
	if err != nil || len(refused) > 0 {
		panic(fmt.Sprint(err, refused))
	}
	return next
}

func assign(kind AssignKind, from, to IncarnationID, shards ...uint32) Change {
	return Change{Assign: &Assign{Service: "dispatch", Kind: kind, From: from, To: to, Shards: shards}}
}

// table returns a table with members 1 and 2 of the service dispatch, where 1 owns the only shard.
func table() *Table {
	t := apply(New(), 1, Change{SetConfiguration: &SetConfiguration{Services: []ServiceConfig{
		{Name: "dispatch", Shards: 1, Divided: true}, {Name: "parts", Shards: 1},
	}}})
	t = apply(t, 1, Change{Join: &Join{Member: Member{Incarnation: 1, Service: "dispatch", Slots: 2}}})
	t = apply(t, 2, Change{Join: &Join{Member: Member{Incarnation: 2, Service: "dispatch", Slots: 2}}})
	return apply(t, 1, assign(AssignInitial, 0, 1, 0))
}

func publish(r *sequoiarouter.Router, now time.Time, t *Table, self IncarnationID) {
	r.Publish(now, &sequoiacontrol.Snapshot{Table: t, Self: self, LeaseEnd: now.Add(time.Second)})
}

func newRouter(slots int, opts ...sequoiarouter.Option) *sequoiarouter.Router {
	r := sequoiarouter.New(append(opts, sequoiarouter.WithRand(rand.New(rand.NewPCG(1, 2))))...)
	publish(r, start, table(), 1)
	r.SetUpstream(start, sequoiacontrol.Upstream{
		Service: "dispatch", Address: netip.MustParseAddrPort("127.0.0.1:1"), Slots: slots, Connections: 10,
	})
	return r
}

func request(id string) *sequoiarouter.Request {
	return &sequoiarouter.Request{Service: "dispatch", Key: "k", RequestID: id, Deadline: after(10 * time.Second)}
}

// admission records the callback of Router.Admit, which must be called exactly once.
type admission struct {
	calls  int
	ticket *sequoiarouter.Ticket
	resp   *sequoiarouter.Response
	cancel func(time.Time)
}

func admit(r *sequoiarouter.Router, now time.Time, req *sequoiarouter.Request) *admission {
	o := &admission{}
	o.cancel = r.Admit(now, req, func(a sequoiarouter.Admission) {
		o.calls++
		o.ticket, o.resp = a.Ticket, a.Response
	})
	return o
}

func answered(body string) *sequoiarouter.Response {
	return &sequoiarouter.Response{Outcome: sequoiarouter.Answered, Status: 200, Body: []byte(body)}
}

func expectResponse(o *admission, want sequoiarouter.Outcome, reason string) {
	ginkgo.GinkgoHelper()
	Expect(o.resp).NotTo(BeNil())
	Expect(o.resp.Outcome).To(Equal(want))
	Expect(o.resp.Reason).To(Equal(reason))
}

var keys = sequoiacontrol.KeySet{Service: "dispatch", Shards: []uint32{0}}

var _ = ginkgo.Describe("Admission", func() {
	ginkgo.It("neither routes nor runs requests for a service that is withdrawn", func() {
		r := newRouter(4)
		t := table()
		publish(r, start, apply(t, 1, Change{SetConfiguration: &SetConfiguration{
			Base: t.Configuration.Revision, Services: []ServiceConfig{{Name: "parts", Shards: 1}},
		}}), 1)
		expectResponse(admit(r, start, request("a")), sequoiarouter.NotRun, sequoiarouter.ReasonServiceUnknown)
		_, resp := r.Route(start, request("b"), nil)
		Expect(resp).To(HaveField("Reason", sequoiarouter.ReasonServiceUnknown))
	})

	ginkgo.It("runs only one of two concurrent copies of a request", func() {
		r := newRouter(4)
		first, second := admit(r, start, request("a")), admit(r, start, request("a"))
		Expect(first.ticket).NotTo(BeNil())
		Expect(second.calls).To(BeZero())
		r.Finish(start, first.ticket, answered("done"))
		expectResponse(second, sequoiarouter.Answered, "")
		Expect(string(second.resp.Body)).To(Equal("done"))
	})

	ginkgo.It("answers a resent request from the retained response after the first response was lost", func() {
		r := newRouter(1)
		first := admit(r, start, request("a"))
		r.Finish(start, first.ticket, answered("done"))
		again := admit(r, after(5*time.Second), request("a"))
		expectResponse(again, sequoiarouter.Answered, "")
	})

	ginkgo.It("never answers NotRun to a copy of a request that may have run", func() {
		r := newRouter(1, sequoiarouter.WithMaxQueue(0))
		first := admit(r, start, request("a"))
		expectResponse(admit(r, start, request("a")), sequoiarouter.Unknown, sequoiarouter.ReasonFirstStillRunning)
		expectResponse(admit(r, after(2*time.Second), request("a")), sequoiarouter.Unknown, sequoiarouter.ReasonFirstStillRunning)
		r.Finish(start, first.ticket, &sequoiarouter.Response{Outcome: sequoiarouter.Unknown})
		expectResponse(admit(r, start, request("a")), sequoiarouter.Unknown, sequoiarouter.ReasonEarlierUnknown)
	})

	ginkgo.It("runs a waiting copy if the first copy was not run", func() {
		r := newRouter(1)
		first, second := admit(r, start, request("a")), admit(r, start, request("a"))
		r.Finish(start, first.ticket, &sequoiarouter.Response{Outcome: sequoiarouter.NotRun})
		Expect(second.ticket).NotTo(BeNil())
	})

	ginkgo.It("changes the first epoch only while no attempt may have run, so that a takeover neither repeats nor blocks a request", func() {
		firstEpoch := func(first bool, result sequoiarouter.Outcome) Epoch {
			req := request("a")
			req.FirstAttempt = first
			req.StampFirstEpoch(4)
			req.RecordAttempt(&sequoiarouter.Response{Outcome: result})
			req.StampFirstEpoch(6)
			return req.FirstEpoch
		}
		Expect(firstEpoch(true, sequoiarouter.NotRun)).To(Equal(Epoch(6)))
		Expect(firstEpoch(true, sequoiarouter.Unknown)).To(Equal(Epoch(4)))
		Expect(firstEpoch(false, sequoiarouter.NotRun)).To(BeZero())
		resent := request("a")
		resent.FirstEpoch = 4
		resent.StampFirstEpoch(6)
		Expect(resent.FirstEpoch).To(Equal(Epoch(4)))
	})

	ginkgo.It("does not run a request that an earlier owner may have run before a takeover", func() {
		r := newRouter(1)
		t := apply(table(), 2, Change{Revoke: &Revoke{Incarnation: 1}})
		t = apply(t, 2, assign(AssignTakeover, 1, 2, 0))
		publish(r, start, t, 2)
		old := request("a")
		old.FirstEpoch = 4
		expectResponse(admit(r, start, old), sequoiarouter.Unknown, sequoiarouter.ReasonBelowFloor)
		expectResponse(admit(r, start, request("b")), sequoiarouter.Unknown, sequoiarouter.ReasonFirstEpochMissing)
		withEpoch := request("c")
		withEpoch.FirstEpoch = Epoch(t.Index)
		Expect(admit(r, start, withEpoch).ticket).NotTo(BeNil())
		r.Tick(after(time.Second))
		publish(r, after(62*time.Second), t, 2)
		r.Tick(after(62 * time.Second))
		late := request("d")
		late.Deadline = after(70 * time.Second)
		Expect(admit(r, after(62*time.Second), late).resp).To(BeNil())
	})

	ginkgo.It("refuses queued requests when the lease ends, instead of running them without a lease", func() {
		r := newRouter(1)
		first, queued := admit(r, start, request("")), admit(r, start, request(""))
		Expect(first.ticket.Deadline).To(Equal(after(time.Second)))
		r.Tick(after(time.Second))
		expectResponse(queued, sequoiarouter.NotRun, sequoiarouter.ReasonLeaseEnded)
		r.Finish(after(2*time.Second), first.ticket, answered(""))
		Expect(queued.calls).To(Equal(1))
	})

	ginkgo.It("counts waiting time against the deadline and limits the queue length", func() {
		r := newRouter(1, sequoiarouter.WithMaxQueue(1))
		admit(r, start, request(""))
		short := request("")
		short.Deadline = after(100 * time.Millisecond)
		queued := admit(r, start, short)
		expectResponse(admit(r, start, request("")), sequoiarouter.NotRun, sequoiarouter.ReasonQueueFull)
		r.Tick(after(100 * time.Millisecond))
		expectResponse(queued, sequoiarouter.NotRun, sequoiarouter.ReasonDeadlinePassed)
	})

	ginkgo.It("refuses new identifiers at the limit, because evicting one could let its request run twice", func() {
		r := newRouter(4, sequoiarouter.WithMaxIdentifiers(1))
		admit(r, start, request("a"))
		expectResponse(admit(r, start, request("b")), sequoiarouter.NotRun, sequoiarouter.ReasonIdentifiersFull)
	})
})

var _ = ginkgo.Describe("A move", func() {
	ginkgo.It("waits for running requests, holds new ones, redirects them and transfers the identifiers", func() {
		r := newRouter(1)
		running, queued := admit(r, start, request("a")), admit(r, start, request("b"))
		var ids []sequoiacontrol.Identifier
		drained := 0
		r.CloseKeys(start, 7, keys, func(got []sequoiacontrol.Identifier) { drained, ids = drained+1, got })
		held := admit(r, start, request("c"))
		Expect(drained).To(BeZero())
		r.Finish(start, running.ticket, answered("done"))
		Expect(drained).To(Equal(1))
		Expect(queued.calls + held.calls).To(BeZero())
		Expect(ids).To(HaveLen(1))

		t := apply(table(), 1, assign(AssignPlanned, 1, 2, 0))
		publish(r, start, t, 1)
		r.OpenKeys(start, 7)
		expectResponse(queued, sequoiarouter.NotRun, sequoiarouter.ReasonNotOwner)
		expectResponse(held, sequoiarouter.NotRun, sequoiarouter.ReasonNotOwner)
		Expect(held.resp.LogIndex).To(Equal(t.Index))

		next := sequoiarouter.New()
		Expect(next.InstallIdentifiers(start, keys, ids)).To(Succeed())
		publish(next, start, t, 2)
		expectResponse(admit(next, start, request("a")), sequoiarouter.Answered, "")
	})

	ginkgo.It("finishes a drain only after the last request, and starts no new one", func() {
		r := newRouter(1)
		running, queued := admit(r, start, request("")), admit(r, start, request(""))
		drained := 0
		r.CloseAll(start, 9, func() { drained++ })
		expectResponse(queued, sequoiarouter.NotRun, sequoiarouter.ReasonDraining)
		expectResponse(admit(r, start, request("")), sequoiarouter.NotRun, sequoiarouter.ReasonDraining)
		Expect(drained).To(BeZero())
		r.Finish(start, running.ticket, answered(""))
		Expect(drained).To(Equal(1))
	})

	ginkgo.It("runs held requests if the move failed and the keys were not reassigned", func() {
		r := newRouter(1)
		r.CloseKeys(start, 7, keys, func([]sequoiacontrol.Identifier) {})
		held := admit(r, start, request("a"))
		r.OpenKeys(start, 7)
		Expect(held.ticket).NotTo(BeNil())
	})
})

var _ = ginkgo.Describe("Routing and retries", func() {
	ginkgo.It("keeps half of a service in use when all upstreams fail", func() {
		t := apply(New(), 1, Change{SetConfiguration: &SetConfiguration{Services: []ServiceConfig{{Name: "parts", Shards: 1}}}})
		for id := range IncarnationID(4) {
			t = apply(t, id+1, Change{Join: &Join{Member: Member{Incarnation: id + 1, Service: "parts", Slots: 2}}})
		}
		r := sequoiarouter.New(sequoiarouter.WithRand(rand.New(rand.NewPCG(1, 2))))
		publish(r, start, t, 9)
		req := &sequoiarouter.Request{Service: "parts", Deadline: after(time.Second)}
		for range 200 {
			target, resp := r.Route(start, req, nil)
			Expect(resp).To(BeNil())
			r.BeginAttempt(target)
			r.EndAttempt(start, target, &sequoiarouter.Response{Outcome: sequoiarouter.NotRun, Reason: sequoiarouter.ReasonUnreachable})
		}
		seen := map[IncarnationID]bool{}
		for range 200 {
			target, _ := r.Route(start, req, nil)
			seen[target.Incarnation] = true
		}
		Expect(len(seen)).To(Equal(2))
	})

	ginkgo.It("limits retries when all requests fail, so that they do not multiply the load", func() {
		r := newRouter(1)
		failed := &sequoiarouter.Response{Outcome: sequoiarouter.NotRun, Reason: sequoiarouter.ReasonUnreachable}
		retries := 0
		for range 1000 {
			r.BeginRequest("dispatch")
			if r.MayRetry(start, request(""), failed, 1) {
				retries++
			}
		}
		Expect(retries).To(BeNumerically("<=", 110))
	})

	ginkgo.It("does not retry a request that may have run and must not be repeated", func() {
		r := newRouter(1)
		unknown := &sequoiarouter.Response{Outcome: sequoiarouter.Unknown, Reason: sequoiarouter.ReasonUpstreamFailed}
		Expect(r.MayRetry(start, request(""), unknown, 1)).To(BeFalse())
		repeatable := request("")
		repeatable.Repeatable = true
		Expect(r.MayRetry(start, repeatable, unknown, 1)).To(BeTrue())
	})

	ginkgo.It("reports the keys that cause the load, which is needed to move a hot key", func() {
		r := newRouter(1)
		r.MeasureLoad(start)
		for i := range 1000 {
			now := after(time.Duration(i) * time.Millisecond)
			req := request("")
			if i%2 == 0 {
				req.Key = fmt.Sprint("cold", i)
			}
			publish(r, now, table(), 1)
			o := admit(r, now, req)
			r.Finish(now.Add(time.Millisecond), o.ticket, answered(""))
		}
		load := r.MeasureLoad(after(time.Second))
		Expect(load.BusySlots).To(BeNumerically("~", 1, 0.01))
		Expect(load.Keys[0].Key).To(Equal("k"))
		Expect(load.Keys[0].BusySlots).To(BeNumerically("~", 0.5, 0.01))
	})
})

// TestIdentifierRunsOnce checks that a request with an identifier never runs twice, and is never answered NotRun after
// it ran, for any order of copies, responses, moves, lease ends and cancellations.
func TestIdentifierRunsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := sequoiarouter.New(sequoiarouter.WithMaxQueue(3))
		publish(r, start, table(), 1)
		r.SetUpstream(start, sequoiacontrol.Upstream{Service: "dispatch", Slots: 2, Connections: 2})
		now := start
		type requestCopy struct {
			*admission
			id      string
			checked bool
		}
		var copies []*requestCopy
		var running []*requestCopy
		executed := map[string]int{}
		closed := false
		checkCopies := func() {
			for _, c := range copies {
				if c.checked || c.calls == 0 {
					continue
				}
				c.checked = true
				if c.ticket != nil {
					running = append(running, c)
					executed[c.id]++
				}
				if c.calls != 1 || executed[c.id] > 1 {
					t.Fatalf("identifier %s: %d callbacks, run %d times", c.id, c.calls, executed[c.id])
				}
				if c.resp != nil && c.resp.Outcome == sequoiarouter.NotRun && executed[c.id] > 0 {
					t.Fatalf("identifier %s has run but was answered NotRun %s", c.id, c.resp.Reason)
				}
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 6).Draw(t, "step") {
			case 0, 1:
				id := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "id")
				copies = append(copies, &requestCopy{admission: admit(r, now, request(id)), id: id})
			case 2, 3:
				if len(running) > 0 {
					c := running[0]
					running = running[1:]
					o := rapid.SampledFrom([]sequoiarouter.Outcome{1, 2, 3}).Draw(t, "outcome")
					if o == sequoiarouter.NotRun {
						executed[c.id]--
					}
					r.Finish(now, c.ticket, &sequoiarouter.Response{Outcome: o})
				}
			case 4:
				if closed {
					r.OpenKeys(now, 1)
				} else {
					r.CloseKeys(now, 1, keys, func([]sequoiacontrol.Identifier) {})
				}
				closed = !closed
			case 5:
				publish(r, now, table(), 1)
			case 6:
				if len(copies) > 0 {
					rapid.SampledFrom(copies).Draw(t, "copy").cancel(now)
				}
			}
			r.Tick(now)
			checkCopies()
		}
	})
}

func BenchmarkLocalDecision(b *testing.B) {
	r := newRouter(8)
	req := request("")
	for b.Loop() {
		_, resp := r.Route(start, req, nil)
		if resp != nil {
			b.Fatal(resp.Reason)
		}
		o := admit(r, start, req)
		r.Finish(start, o.ticket, answered(""))
	}
}

// BenchmarkRouteWithoutKey shows that the cost of selecting a target does not grow with the number of members.
func BenchmarkRouteWithoutKey(b *testing.B) {
	for _, members := range []int{9, 95, 950, 3800} {
		b.Run(strconv.Itoa(members), func(b *testing.B) {
			r := routerWithMembers(members)
			req := &sequoiarouter.Request{Service: "parts", Deadline: start.Add(time.Second)}
			for b.Loop() {
				if _, resp := r.Route(start, req, nil); resp != nil {
					b.Fatal(resp.Reason)
				}
			}
		})
	}
}

func routerWithMembers(n int) *sequoiarouter.Router {
	t := New()
	apply := func(writer IncarnationID, c Change) {
		t, _, _ = t.Apply(Entry{Index: t.Index + 1, Writer: writer, Changes: []Change{c}})
	}
	services := []ServiceConfig{{Name: "parts", Shards: 64}}
	apply(1, Change{SetConfiguration: &SetConfiguration{Services: services}})
	for i := range n {
		id := IncarnationID(i + 1)
		member := Member{Incarnation: id, Service: "parts", Slots: 6}
		apply(id, Change{Join: &Join{Member: member}})
	}
	r := sequoiarouter.New()
	r.Publish(start, &sequoiacontrol.Snapshot{Table: t, Self: IncarnationID(n + 1)})
	return r
}
