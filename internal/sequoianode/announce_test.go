package sequoianode

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoialog"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaowner"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaregistry"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaroute"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatimer"
)

// upstreamBorn is the start time of the upstream in these tests.
const upstreamBorn = 1000

// startAnnounceNode returns a process beside an upstream that has read its registration record.
func startAnnounceNode(record []byte, era uint64) *Node {
	timers := sequoiatimer.New()
	log := sequoialog.NewEvents(io.Discard, timers)
	ginkgo.DeferCleanup(func() {
		log.Close()
		timers.Close()
	})
	dialect := Dialect{
		NewStore: func(sequoiaregistry.RoundTrip) sequoiaregistry.Store { return sequoiaregistry.Store{} },
		ReadResponse: func(_ int, h http.Header) ResponseAttributes {
			return ResponseAttributes{Leaving: h.Get("Leaving") != ""}
		},
	}
	n := New(Settings{Instance: "a", Service: "desk", DrainPeriod: time.Second}, dialect, nil, log, timers)
	n.onRegistrationRecord(sequoiaregistry.Item{Value: record, Revision: sequoiaregistry.Revision(era, 7)})
	return n
}

func upstreamOf(id string, born int64) sequoiaowner.Upstream {
	return sequoiaowner.Upstream{ID: id, Born: born, Service: "desk", Slots: 6}
}

func heartbeatOf(sequence uint64) Announcement {
	return Announcement{Upstream: upstreamOf("u", upstreamBorn), Sequence: sequence}
}

func deregistrationOf(id string, born int64) Announcement {
	return Announcement{Upstream: sequoiaowner.Upstream{ID: id, Born: born}, Deregistered: true}
}

// accept passes an announcement to the process and returns nil if it is acknowledged.
func accept(n *Node, a Announcement) error {
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	return n.acceptAnnouncement(ctx, a)
}

// register stands for a write of the registration record, and returns it.
func register(n *Node) []byte {
	record := n.encodedRecord()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.recorded = decodeRecord(record)
	n.notifyOwnershipChanged()
	return record
}

// offered reports whether the upstream may get requests.
func offered(n *Node) (usable bool) {
	n.withCore(func(c *sequoiaowner.Core) { usable = c.Upstream().Usable() })
	return usable
}

var _ = ginkgo.Describe("announcements of the upstream", func() {
	// Guards against a late heartbeat that brings an upstream back which has deregistered at the process before (review/5).
	ginkgo.DescribeTable("keep an upstream away that an earlier process has acknowledged as leaving",
		func(leave Announcement) {
			n := startAnnounceNode(nil, 0)
			Expect(accept(n, heartbeatOf(1))).To(Succeed())
			Expect(offered(n)).To(BeTrue())
			go func() { _ = accept(n, leave) }()
			Eventually(func() bool { return offered(n) }).Should(BeFalse())
			record := register(n)
			for range 3 {
				next := startAnnounceNode(record, 0)
				Expect(accept(next, heartbeatOf(2))).To(MatchError(errNotRecorded))
				Expect(offered(next)).To(BeFalse())
				Expect(time.Since(next.leavingSince)).To(BeNumerically(">=", next.settings.DrainPeriod))
				record = register(next)
			}
			again := startAnnounceNode(record, 0)
			Expect(accept(again, Announcement{Upstream: upstreamOf("u", upstreamBorn+1), Sequence: 1})).To(Succeed())
			Expect(offered(again)).To(BeTrue())
		},
		ginkgo.Entry("deregistered", deregistrationOf("u", upstreamBorn)),
		ginkgo.Entry("deregistered without its start time", deregistrationOf("u", 0)),
		ginkgo.Entry("draining", Announcement{Upstream: sequoiaowner.Upstream{
			ID: "u", Born: upstreamBorn, Service: "desk", Slots: 6, Leaving: true,
		}, Sequence: 3}),
	)

	// Guards against a shutdown that is acknowledged and forgotten if the process ends right after that.
	ginkgo.It("are acknowledged only once the store has a shutdown", func() {
		n := startAnnounceNode(nil, 0)
		Expect(accept(n, heartbeatOf(1))).To(Succeed())
		Expect(accept(n, deregistrationOf("u", upstreamBorn))).To(MatchError(errNotRecorded))
		Expect(offered(n)).To(BeFalse())
		register(n)
		Expect(accept(n, deregistrationOf("u", upstreamBorn))).To(Succeed())
	})

	ginkgo.It("are not acknowledged before the process knows what its predecessor has acknowledged", func() {
		n := startAnnounceNode(nil, 0)
		n.predecessor = predecessor{}
		Expect(accept(n, heartbeatOf(1))).To(MatchError(errNotSynchronized))
		Expect(offered(n)).To(BeFalse())
	})

	// Guards against a deregistration that a process which has just started acknowledges and ignores.
	ginkgo.It("keep an upstream away that deregisters before its first heartbeat", func() {
		n := startAnnounceNode(nil, 0)
		Expect(accept(n, deregistrationOf("u", 0))).To(MatchError(errNotRecorded))
		register(n)
		Expect(accept(n, heartbeatOf(1))).To(Succeed())
		Expect(offered(n)).To(BeFalse())
	})

	// Guards against late announcements of an earlier incarnation, also at a process that has just started.
	ginkgo.It("of an earlier incarnation change nothing", func() {
		n := startAnnounceNode(nil, 0)
		Expect(accept(n, Announcement{Upstream: upstreamOf("later", upstreamBorn+5), Sequence: 1})).To(Succeed())
		Expect(accept(n, deregistrationOf("u", upstreamBorn))).To(Succeed())
		Expect(accept(n, deregistrationOf("u", 0))).To(MatchError(errUnknownUpstream))
		Expect(n.core.Upstream()).To(Equal(upstreamOf("later", upstreamBorn+5)))

		next := startAnnounceNode(register(n), 0)
		Expect(accept(next, heartbeatOf(9))).To(Succeed())
		Expect(next.core.Upstream().ID).To(BeEmpty())
	})

	// Guards against a shutdown that was acknowledged and that the store has lost in a restore while no process knew it.
	ginkgo.DescribeTable("are checked with the upstream if a restored store may have lost a shutdown", func(leaving bool) {
		checks := 0
		upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			checks++
			Expect(r.URL.Path).To(Equal("/health"))
			if leaving {
				w.Header().Set("Leaving", "1")
				w.WriteHeader(http.StatusServiceUnavailable)
			}
		}))
		ginkgo.DeferCleanup(upstream.Close)
		n := startAnnounceNode(nil, 0)
		Expect(accept(n, heartbeatOf(1))).To(Succeed())
		next := startAnnounceNode(register(n), 1)
		next.settings.Upstream = netip.MustParseAddrPort(upstream.Listener.Addr().String())
		Expect(accept(next, heartbeatOf(2))).To(MatchError(errNotVerified), "the configuration is not known")
		Expect(offered(next)).To(BeFalse())
		next.config.Store(&sequoiaroute.Configuration{Services: map[string]sequoiaroute.Service{"desk": {HealthPath: "/health"}}})
		_ = accept(next, heartbeatOf(2))
		_ = accept(next, heartbeatOf(3))
		Expect(offered(next)).To(Equal(!leaving))
		Expect(checks).To(Equal(1))
	}, ginkgo.Entry("it leaves", true), ginkgo.Entry("it stays", false))

	// Guards against a process that takes the record of its predecessor in a restored store for news.
	ginkgo.It("are not changed by a record of an earlier process once this one has registered", func() {
		earlier := startAnnounceNode(nil, 0)
		Expect(accept(earlier, heartbeatOf(1))).To(Succeed())
		record := register(earlier)
		n := startAnnounceNode(record, 0)
		register(n)
		n.onRegistrationRecord(sequoiaregistry.Item{Value: record, Revision: sequoiaregistry.Revision(1, 3)})
		Expect(n.predecessor.complete).To(BeTrue())
	})

	ginkgo.It("of a process of an older build are as before", func() {
		n := startAnnounceNode([]byte("0123456789abcdef"), 0)
		Expect(accept(n, heartbeatOf(1))).To(Succeed())
		Expect(offered(n)).To(BeTrue())
	})
})
