package sequoianode

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaadmission"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaowner"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaroute"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiarouter"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiawarmup"
)

var _ = ginkgo.Describe("a cold upstream", func() {
	newNode := func() *Node {
		n := startAnnounceNode(nil, 0)
		n.dialect.Caller = func(http.Header) string { return "" }
		n.withCore(func(*sequoiaowner.Core) {
			n.warmup.gate = sequoiawarmup.New(time.Now().Add(-time.Minute), sequoiawarmup.WithInterval(time.Second))
			n.setWarmupRule(sequoiaroute.Service{WarmupPeriod: 20 * time.Second, WarmupRate: 20})
		})
		return n
	}
	cold := func(sequence uint64, remaining time.Duration) Announcement {
		a := heartbeatOf(sequence)
		a.WarmUp, a.WarmUpStated = remaining, true
		return a
	}
	// started returns how many of 40 requests, each sent after the one before has ended, start within 500 ms.
	started := func(n *Node) (count int) {
		ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
		defer cancel()
		for range 40 {
			req := &sequoiarouter.Request{Service: "desk", Path: "/x", Deadline: time.Now().Add(2 * time.Second)}
			if r, reason, _ := n.admit(ctx, req, false); reason == "" {
				count++
				n.finish(r, nil)
			}
		}
		return count
	}

	// Guards against an upstream that crashes because it announces itself cold and gets the whole load.
	ginkgo.It("gets requests at the warm-up rate until it is warm", func() {
		n := newNode()
		Expect(accept(n, cold(1, 20*time.Second))).To(Succeed())
		Expect(n.load().ColdFor).To(BeNumerically("~", 20*time.Second, time.Second))
		Expect(n.ownMember().ColdFor).To(BeNumerically("~", 20*time.Second, time.Second))
		Expect(n.currentLoadReport().Open).To(BeFalse())
		Expect(started(n)).To(And(BeNumerically("<=", 10), BeNumerically(">=", 5)))
		Expect(accept(n, cold(2, 0))).To(Succeed())
		Expect(n.load().ColdFor).To(BeZero())
		Expect(started(n)).To(Equal(40))
	})

	// Guards against an upstream that was replaced while requests waited for the limit that the earlier one had named: they
	// went to the new one at that rate.
	ginkgo.It("gets waiting requests at the warm-up rate once it has been silent", func() {
		n := newNode()
		Expect(accept(n, cold(1, 0))).To(Succeed())
		var began atomic.Int32
		n.withCore(func(*sequoiaowner.Core) {
			n.warmup.gate = sequoiawarmup.New(time.Now().Add(-time.Minute), sequoiawarmup.WithInterval(50*time.Millisecond))
			n.warmup.gate.Announced(time.Now(), sequoiawarmup.Announcement{Stated: true})
			n.setWarmupRule(sequoiaroute.Service{WarmupPeriod: 20 * time.Second, WarmupRate: 5})
			n.queue.SetSlots(100)
			n.limit = rateLimit{named: true, perSecond: 100}
			n.applyLimit(time.Now())
			for range 60 {
				now := time.Now()
				n.queue.Submit(now, &sequoiaadmission.Ticket{
					Arrived: now, Objective: now.Add(5 * time.Second), Deadline: now.Add(10 * time.Second),
					OnDecision: func(reason string, _ time.Duration) {
						if n.noteStart(reason); reason == "" {
							began.Add(1)
						}
					},
				})
			}
			n.scheduleQueue(time.Now())
		})
		time.Sleep(500 * time.Millisecond)
		// At most 10 in the first 100 ms, and 5 a second afterwards.
		Expect(began.Load()).To(And(BeNumerically(">=", 5), BeNumerically("<=", 14)))
	})

	ginkgo.It("is known from a response of its health path", func() {
		n := newNode()
		Expect(accept(n, cold(1, 0))).To(Succeed())
		n.applyUpstreamState(n.core.Upstream(), time.Now(), ResponseAttributes{ColdFor: 5 * time.Second, ColdStated: true})
		Expect(n.load().ColdFor).To(BeNumerically("~", 5*time.Second, time.Second))
	})

	// Guards against a process that has just started and does not know yet that a cold upstream needs a limit.
	ginkgo.It("gets no forwarded request before the configuration is known", func() {
		n := newNode()
		Expect(accept(n, cold(1, time.Second))).To(Succeed())
		resp := n.serveForwarded(context.Background(), &sequoiarouter.Request{Service: "desk", Deadline: time.Now().Add(time.Second)})
		Expect(resp.Outcome).To(Equal(sequoiarouter.NotRun))
		Expect(resp.Reason).To(Equal(reasonNoConfiguration))
	})

	// Guards against a sender that fills a cold upstream because it is idle.
	ginkgo.It("is considered by other processes for its share only, until a response says that it is warm", func() {
		d := newDirectory(Settings{Instance: "a", Domain: "north"})
		d.setWarmupRates(&sequoiaroute.Configuration{Services: map[string]sequoiaroute.Service{"parts": {WarmupRate: 4.7}}})
		joined := member("cold", "north")
		joined.ColdFor, joined.Revision = 20*time.Second, 3
		d.setMembers(map[string]sequoiaowner.Member{"cold": joined, "far": member("far", "south")})
		chosen := func() int {
			n := 0
			for range 1000 {
				if m, ok := d.choose(partsRequest(), nil); ok && m.Instance == "cold" {
					n++
				}
			}
			return n
		}
		Expect(d.cold("cold")).To(BeTrue())
		// A warm upstream handles 40 requests per second, so the share is 0.12.
		Expect(chosen()).To(BeNumerically("~", 118, 60))
		d.beginRequest("cold")
		d.endRequest("cold", &sequoiarouter.Response{Outcome: sequoiarouter.Answered, Status: 200, Load: sequoiarouter.Load{Slots: 6}})
		Expect(d.cold("cold")).To(BeFalse())
		Expect(chosen()).To(Equal(1000))
	})
})
