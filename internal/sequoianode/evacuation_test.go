package sequoianode

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaevacuation"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaowner"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiapeer"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaquarantine"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaregistry"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaroute"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiarouter"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatimer"
)

var _ = ginkgo.Describe("the evacuation of a failure domain", func() {
	const limit = 500 * time.Millisecond
	newNode := func(keyed bool) *Node {
		n := startAnnounceNode(nil, 0)
		n.settings.Domain, n.directory.settings.Domain = "north", "north"
		n.orders = sequoiaevacuation.New(limit)
		n.dialect.Caller = func(http.Header) string { return "" }
		n.dialect.ConfigurationKey = "op/config"
		n.dialect.EvacuatedDomain = func(key string) (string, bool) { return strings.CutPrefix(key, "op/evacuate/") }
		n.config.Store(&sequoiaroute.Configuration{Services: map[string]sequoiaroute.Service{"desk": {Keyed: keyed}}})
		n.operatorItemsCurrent(sequoiatimer.BootTime())
		var err error
		n.forwarder, err = sequoiapeer.NewForwarder(make([]byte, secretBytes))
		Expect(err).NotTo(HaveOccurred())
		ginkgo.DeferCleanup(n.forwarder.Close)
		Expect(accept(n, heartbeatOf(1))).To(Succeed())
		n.directory.setMembers(map[string]sequoiaowner.Member{"near": member("near", "north"), "far": member("far", "south")})
		return n
	}
	order := func(domain string, revision uint64) sequoiaregistry.Item {
		return sequoiaregistry.Item{Key: "op/evacuate/" + domain, Value: []byte("{}"), Revision: revision}
	}
	give := func(n *Node, it sequoiaregistry.Item) { n.onStoreItems([]sequoiaregistry.Item{it}) }
	withdraw := func(n *Node, domain string, revision uint64) {
		give(n, sequoiaregistry.Item{Key: "op/evacuate/" + domain, Revision: revision, Deleted: true})
	}
	admit := func(n *Node, key string) string {
		req := &sequoiarouter.Request{Service: "desk", Path: "/x", Key: key, Deadline: time.Now().Add(2 * time.Second)}
		r, reason, _ := n.admit(context.Background(), req, false)
		if reason == "" {
			n.finish(r, nil)
		}
		return reason
	}

	ginkgo.It("sends no requests without keys there, until the order is withdrawn", func() {
		n := newNode(false)
		Expect(admit(n, "")).To(BeEmpty())
		give(n, order("north", 5))
		for range 20 {
			m, ok := n.directory.choose(partsRequest(), nil)
			Expect(ok).To(BeTrue())
			Expect(m.Instance).To(Equal("far"))
			m, _ = n.directory.chooseFor("parts", sequoiaquarantine.Fingerprint{1}, nil)
			Expect(m.Instance).To(Equal("far"))
		}
		Expect(admit(n, "")).To(Equal(reasonLeaving))
		Expect(n.currentLoadReport().Open).To(BeFalse())
		give(n, order("south", 6))
		_, ok := n.directory.choose(partsRequest(), nil)
		Expect(ok).To(BeFalse())
		withdraw(n, "south", 7)
		withdraw(n, "north", 8)
		Expect(admit(n, "")).To(BeEmpty())
		Expect(n.directory.drained("near")).To(BeFalse())
	})

	// Guards against a request that waits in the queue and starts after its upstream may be sent none.
	ginkgo.It("rejects the queued requests at once if they have no keys", func() {
		n := newNode(false)
		n.withCore(func(*sequoiaowner.Core) { n.queue.SetSlots(1) })
		req := &sequoiarouter.Request{Service: "desk", Path: "/x", Deadline: time.Now().Add(time.Second)}
		_, reason, _ := n.admit(context.Background(), req, false)
		Expect(reason).To(BeEmpty())
		waiting := make(chan string, 1)
		go func() { waiting <- admit(n, "") }()
		Eventually(func() int { return n.load().Waiting }).Should(Equal(1))
		give(n, order("north", 5))
		Eventually(waiting, "200ms").Should(Receive(Equal(reasonLeaving)))
	})

	ginkgo.It("serves keys where they are for 0.6 of its time, and none later", func() {
		n := newNode(true)
		give(n, order("north", 5))
		Expect(admit(n, "7")).To(BeEmpty())
		Expect(n.directory.drained("near")).To(BeFalse())
		time.Sleep(limit*6/10 + 5*time.Millisecond)
		Expect(admit(n, "7")).To(Equal(reasonLeaving))
		Expect(n.directory.drained("near")).To(BeTrue())
		Expect(n.directory.drained("far")).To(BeFalse())
		Expect(n.send(context.Background(), &sequoiarouter.Request{Service: "parts", Key: "7"}, "near").Reason).To(Equal(reasonLeaving))
	})

	// Guards against a process that serves keys for 3 s more because it was restarted, or its watch hung.
	ginkgo.It("ends at once for keys at a process that cannot tell when the order was given", func() {
		n := newNode(true)
		n.withCore(func(*sequoiaowner.Core) { n.operatorItemsAt = time.Time{} })
		n.onOperatorListed([]sequoiaregistry.Item{order("north", 5)}, 9)
		Expect(admit(n, "7")).To(Equal(reasonLeaving))
		Expect(n.directory.drained("near")).To(BeTrue())
		n = newNode(true)
		n.onOperatorListed([]sequoiaregistry.Item{order("north", 5)}, 9)
		Expect(admit(n, "7")).To(BeEmpty())
	})

	// Guards against an order that holds for ever at a process that had it from another one and missed its withdrawal.
	ginkgo.It("is withdrawn if a list of the operator's items lacks it, and not by an earlier one", func() {
		n := newNode(false)
		resp := n.serveEvacuation(&sequoiarouter.Request{Body: []byte(`[{"Domain":"north","Revision":5}]`)})
		Expect(resp.Outcome).To(Equal(sequoiarouter.Answered))
		Expect(admit(n, "")).To(Equal(reasonLeaving))
		n.onOperatorListed(nil, 4)
		Expect(admit(n, "")).To(Equal(reasonLeaving))
		n.onOperatorListed(nil, 6)
		Expect(admit(n, "")).To(BeEmpty())
	})

	// Guards against other items of the operator that are taken for orders.
	ginkgo.It("ignores items that are no orders", func() {
		n := newNode(false)
		give(n, sequoiaregistry.Item{Key: "op/other", Value: []byte("north"), Revision: 5})
		Expect(n.orders.Domains()).To(BeEmpty())
		Expect(n.serveEvacuation(&sequoiarouter.Request{Body: []byte("{")}).Outcome).To(Equal(sequoiarouter.NotRun))
	})

	ginkgo.It("checks no upstream there", func() {
		n := newNode(true)
		n.config.Store(&sequoiaroute.Configuration{Services: map[string]sequoiaroute.Service{"desk": {HealthPath: "/health"}}})
		give(n, order("north", 5))
		_, err := n.checkUpstream(context.Background())
		Expect(err).To(MatchError(errNotVerified))
		Expect(err.Error()).To(ContainSubstring("evacuated"))
	})

	// Guards against an upstream that is leaving and gets requests again because an order was withdrawn.
	ginkgo.It("does not end the drain of an upstream when it ends", func() {
		n := newNode(false)
		n.withCore(func(c *sequoiaowner.Core) {
			u := c.Upstream()
			u.Leaving = true
			c.SetUpstream(sequoiatimer.BootTime(), u)
			n.beginDrain(n.drainedSince())
		})
		give(n, order("north", 5))
		withdraw(n, "north", 6)
		Expect(admit(n, "")).To(Equal(reasonLeaving))
	})
})
