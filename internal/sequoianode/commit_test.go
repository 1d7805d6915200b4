package sequoianode

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiakeyspace"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoialog"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaowner"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaregistry"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiarouter"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatimer"
)

// tableStore is a store that holds the table, the member entries and the registration records.
type tableStore struct {
	revisions map[string]uint64
	value     []byte
	commits   []sequoiaregistry.Transaction
	// fail, if set, is the error of every commit.
	fail error
	// beforeCommit, if set, is called before each commit.
	beforeCommit func()
}

func (s *tableStore) store() sequoiaregistry.Store {
	return sequoiaregistry.Store{
		Get: func(_ context.Context, key string) (sequoiaregistry.Item, error) {
			if s.value == nil {
				return sequoiaregistry.Item{}, sequoiaregistry.ErrNotFound
			}
			return sequoiaregistry.Item{Key: key, Value: s.value, Revision: s.revisions[key]}, nil
		},
		List: func(_ context.Context, prefix string) (items []sequoiaregistry.Item, _ uint64, _ error) {
			for key, revision := range s.revisions {
				if strings.HasPrefix(key, prefix) {
					items = append(items, sequoiaregistry.Item{Key: key, Revision: revision})
				}
			}
			return items, 0, nil
		},
		Commit: func(_ context.Context, tx sequoiaregistry.Transaction) (uint64, error) {
			if s.beforeCommit != nil {
				s.beforeCommit()
			}
			s.commits = append(s.commits, tx)
			if s.fail != nil {
				return 0, s.fail
			}
			for key, revision := range tx.Expected {
				if s.revisions[key] != revision {
					return 0, sequoiaregistry.ErrConflict
				}
			}
			s.revisions[tableKey]++
			s.value = tx.Puts[0].Value
			return s.revisions[tableKey], nil
		},
	}
}

// newCommitNode returns a Node whose table assigns half of the keys to a and half to b.
func newCommitNode(s *tableStore) *Node {
	timers := sequoiatimer.New()
	log := sequoialog.NewEvents(io.Discard, timers)
	ginkgo.DeferCleanup(func() {
		log.Close()
		timers.Close()
	})
	store := func(sequoiaregistry.RoundTrip) sequoiaregistry.Store { return s.store() }
	n := New(Settings{Instance: "a"}, Dialect{NewStore: store}, nil, log, timers)
	t := sequoiakeyspace.NewTable()
	t.Spread("dispatch", []sequoiakeyspace.Holder{{Instance: "a"}, {Instance: "b"}})
	b, err := t.Encode()
	Expect(err).NotTo(HaveOccurred())
	s.value, s.revisions = b, map[string]uint64{tableKey: 7}
	Expect(n.core.SetTable(t, 7)).To(BeTrue())
	return n
}

// assignment returns a proposal that assigns the keys of a holder, who has the given fence, to another one.
func assignment(fence sequoiakeyspace.Fence, from, to sequoiakeyspace.Key, holder string) proposal {
	return proposal{&sequoiaowner.Write{Changes: sequoiakeyspace.Changes{{
		Service: "dispatch", From: from, To: to, Holder: sequoiakeyspace.Holder{Instance: holder}, Was: fence,
	}}}, make(chan error, 1)}
}

var _ = ginkgo.Describe("commit", func() {
	// Guards against a proposal that is reported as failed because an earlier one of the same batch was not applied.
	ginkgo.It("reports the result of each proposal of a batch", func() {
		n := newCommitNode(&tableStore{})
		outdated, current := assignment(99, 0, 10, "c"), assignment(1, 20, 30, "c")
		n.commitProposals([]proposal{outdated, current})
		Expect(<-outdated.done).To(MatchError(errNotWritten))
		Expect(<-current.done).To(Succeed())
	})

	// Guards against a takeover from a member that has registered again, which fails every other change of the batch too.
	ginkgo.It("writes the other proposals if a takeover's condition does not hold", func() {
		s := &tableStore{}
		n := newCommitNode(s)
		s.revisions[registrationPrefix+"b"] = 5
		takeover, other := assignment(2, 40000, 50000, "a"), assignment(1, 0, 10, "c")
		takeover.write.Absent = []sequoiaowner.Absence{{Instance: "b", Registration: 3}}
		n.commitProposals([]proposal{takeover, other})
		Expect(writeResult(<-takeover.done)).To(Equal(sequoiaowner.WriteConflict))
		Expect(<-other.done).To(Succeed())
		Expect(s.commits).To(HaveLen(2))
		Expect(s.commits[0].Expected).To(Equal(map[string]uint64{tableKey: 7, memberPrefix + "b": 0, registrationPrefix + "b": 3}))
	})

	// Guards against a takeover whose wait starts anew because another process has changed the table at the same time.
	ginkgo.It("does not count a changed table as a failed condition of a takeover", func() {
		s := &tableStore{}
		n := newCommitNode(s)
		s.beforeCommit = func() { s.revisions[tableKey]++ }
		takeover := assignment(2, 40000, 50000, "a")
		takeover.write.Absent = []sequoiaowner.Absence{{Instance: "b"}}
		n.commitProposals([]proposal{takeover})
		Expect(writeResult(<-takeover.done)).To(Equal(sequoiaowner.WriteRefused))
		Expect(s.commits).To(HaveLen(maxCommitAttempts))
	})

	// Guards against a move that is written for a process that was restarted and has granted the released keys again.
	ginkgo.It("does not write a move after the process that released the keys has been restarted", func() {
		s := &tableStore{}
		n := newCommitNode(s)
		s.revisions[registrationPrefix+"a"], s.revisions[registrationPrefix+"b"] = 6, 4
		outdated, current := assignment(1, 0, 10, "b"), assignment(2, 40000, 50000, "a")
		outdated.write.Releaser = sequoiaowner.Registered{Instance: "a", Registration: 5}
		current.write.Releaser = sequoiaowner.Registered{Instance: "b", Registration: 4}
		n.commitProposals([]proposal{outdated, current})
		Expect(writeResult(<-outdated.done)).To(Equal(sequoiaowner.WriteConflict))
		Expect(<-current.done).To(Succeed())
		Expect(s.commits[len(s.commits)-1].Expected).To(Equal(map[string]uint64{tableKey: 7, registrationPrefix + "b": 4}))
	})

	ginkgo.It("writes proposals apart whose conditions contradict each other or do not fit into one transaction", func() {
		moveOf := func(instance string, registration uint64) proposal {
			p := assignment(1, 0, 10, "b")
			p.write.Releaser = sequoiaowner.Registered{Instance: instance, Registration: registration}
			return p
		}
		Expect(nextBatch([]proposal{moveOf("a", 5), moveOf("a", 5), moveOf("a", 6)})).To(HaveLen(2))
		var moves []proposal
		for i := range maxConditions + 5 {
			moves = append(moves, moveOf(fmt.Sprint("i", i), 1))
		}
		Expect(nextBatch(moves)).To(HaveLen(maxConditions))
		Expect(nextBatch(moves[maxConditions:])).To(HaveLen(5))
	})

	ginkgo.DescribeTable("tells a write that may still be applied from one that will not",
		func(err error, want sequoiaowner.WriteResult) {
			n := newCommitNode(&tableStore{fail: err})
			p := assignment(1, 0, 10, "c")
			n.commitProposals([]proposal{p})
			Expect(writeResult(<-p.done)).To(Equal(want))
		},
		ginkgo.Entry("no response", context.DeadlineExceeded, sequoiaowner.WriteInDoubt),
		ginkgo.Entry("an unknown error", errors.New("status 500"), sequoiaowner.WriteInDoubt),
		ginkgo.Entry("a relayed call that may have been made", errRelayInDoubt, sequoiaowner.WriteInDoubt),
		ginkgo.Entry("a refusal", sequoiaregistry.ErrRefused, sequoiaowner.WriteRefused),
	)
})

var _ = ginkgo.Describe("relay", func() {
	refuse := func(context.Context, string, string, []byte) (sequoiaregistry.Reply, error) {
		return sequoiaregistry.Reply{Status: http.StatusServiceUnavailable}, nil
	}
	// peerAt returns a Node that knows one other process at addr.
	peerAt := func(addr netip.AddrPort) *Node {
		n := newForwardingNode()
		n.directory.setMembers(map[string]sequoiaowner.Member{"b": {Instance: "b", Address: addr}})
		return n
	}
	// refusedTwice makes two calls that the store refuses; the second one goes through the other process first.
	refusedTwice := func(n *Node, method string) error {
		r := newRelay(n, refuse)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := r.exchange(ctx, method, "/call", nil)
		Expect(err).NotTo(HaveOccurred())
		_, err = r.exchange(ctx, method, "/call", nil)
		return err
	}

	// Guards against a write that counts as refused although another process has sent it to the store before.
	ginkgo.It("does not report a write as refused that another process may have made", func() {
		addr := freeAddress()
		listenAsPeer(addr, func(*sequoiarouter.Request) *sequoiarouter.Response { return notRunResponse(reasonUnreachable, 0) })
		Expect(refusedTwice(peerAt(addr), http.MethodPost)).To(MatchError(errRelayInDoubt))
		Expect(refusedTwice(peerAt(addr), http.MethodGet)).To(Succeed())
	})

	ginkgo.It("reports a write as refused if the other process cannot be reached", func() {
		Expect(refusedTwice(peerAt(freeAddress()), http.MethodPost)).To(Succeed())
	})
})

// freeAddress returns a loopback address that nothing listens on.
func freeAddress() netip.AddrPort {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer ln.Close()
	return netip.MustParseAddrPort(ln.Addr().String())
}
