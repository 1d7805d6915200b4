package sequoianode

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiafront"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoialog"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaowner"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiapeer"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaregistry"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaroute"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiarouter"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatimer"
)

func TestNode(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "Node")
}

// failure wraps both the result of forwarding and its cause, like the errors of sequoiapeer.
type failure struct{ result, cause error }

func (f failure) Error() string   { return f.result.Error() }
func (f failure) Unwrap() []error { return []error{f.result, f.cause} }

var _ = ginkgo.Describe("detection of an unreachable process", func() {
	// Guards against marking a process as unreachable because its upstream is slow (incident 1016: each request that
	// exceeded its own deadline made an owner unavailable to all other requests).
	ginkgo.DescribeTable("is a connection that fails, and no request that is slow",
		func(result, cause error, remaining time.Duration, want bool) {
			Expect(indicatesUnreachable(failure{result, cause}, remaining)).To(Equal(want))
		},
		ginkgo.Entry("the request's own deadline", sequoiapeer.ErrUnknown, context.DeadlineExceeded, time.Duration(0), false),
		ginkgo.Entry("a silent connection", sequoiapeer.ErrUnknown, sequoiapeer.ErrSilent, time.Second, true),
		ginkgo.Entry("a lost connection", sequoiapeer.ErrUnknown, sequoiapeer.ErrConnectionLost, time.Second, true),
		ginkgo.Entry("a connect that took too long", sequoiapeer.ErrNotSent, context.DeadlineExceeded, time.Second, true),
		ginkgo.Entry("a deadline during the connect", sequoiapeer.ErrNotSent, context.DeadlineExceeded, time.Duration(0), false),
	)
})

func member(name, domain string) sequoiaowner.Member {
	return sequoiaowner.Member{
		Instance: name, Domain: domain, Upstream: sequoiaowner.Upstream{ID: "u-" + name, Service: "parts", Slots: 6},
	}
}

// partsRequest returns a request with the usual objective of the service of the test's members.
func partsRequest() *sequoiarouter.Request {
	return &sequoiarouter.Request{Service: "parts", Objective: 600 * time.Millisecond, Deadline: time.Now().Add(1500 * time.Millisecond)}
}

var _ = ginkgo.Describe("directory", func() {
	newTestDirectory := func() *directory {
		d := newDirectory(Settings{Instance: "a", Domain: "north"})
		d.setMembers(map[string]sequoiaowner.Member{"near": member("near", "north"), "far": member("far", "south")})
		return d
	}
	report := func(d *directory, instance string, running int) {
		d.beginRequest(instance)
		d.endRequest(instance, &sequoiarouter.Response{
			Outcome: sequoiarouter.Answered, Status: 200,
			Load: sequoiarouter.Load{Running: running, Slots: 6, Work: 150 * time.Millisecond},
		})
	}

	ginkgo.It("prefers its own failure domain while the upstream there has room", func() {
		d := newTestDirectory()
		report(d, "near", 3)
		report(d, "far", 0)
		for range 20 {
			m, ok := d.choose(partsRequest(), nil)
			Expect(ok).To(BeTrue())
			Expect(m.Instance).To(Equal("near"))
		}
	})

	// Guards against requests that wait in their own failure domain while an upstream in another one is idle.
	ginkgo.It("goes to another failure domain when the upstream in its own is full", func() {
		d := newTestDirectory()
		report(d, "near", 7)
		report(d, "far", 1)
		m, ok := d.choose(partsRequest(), nil)
		Expect(ok).To(BeTrue())
		Expect(m.Instance).To(Equal("far"))
	})

	// Guards against requests that wait for an upstream's limit while another upstream has room.
	ginkgo.It("goes where a request may start at once when the limit of an upstream makes it wait", func() {
		d := newTestDirectory()
		d.beginRequest("near")
		d.endRequest("near", &sequoiarouter.Response{
			Outcome: sequoiarouter.Answered, Status: 200,
			Load: sequoiarouter.Load{Slots: 6, Work: 100 * time.Millisecond, StartDelay: 300 * time.Millisecond},
		})
		report(d, "far", 3)
		m, ok := d.choose(partsRequest(), nil)
		Expect(ok).To(BeTrue())
		Expect(m.Instance).To(Equal("far"))
	})

	ginkgo.It("sends nothing to a process that does not answer, until a probe reaches it", func() {
		d := newTestDirectory()
		Expect(d.markUnreachable("near")).To(BeTrue())
		Expect(d.markUnreachable("near")).To(BeFalse(), "a second probe of the same process")
		m, _ := d.choose(partsRequest(), nil)
		Expect(m.Instance).To(Equal("far"))
		_, ok := d.address("near")
		Expect(ok).To(BeFalse())
		d.markReachable("near")
		_, ok = d.address("near")
		Expect(ok).To(BeTrue())
	})

	// Guards against the loss of all upstreams after a store outage in which the members' leases expired.
	ginkgo.It("keeps using members whose entries have just expired", func() {
		d := newTestDirectory()
		d.setMembers(map[string]sequoiaowner.Member{})
		_, ok := d.choose(partsRequest(), nil)
		Expect(ok).To(BeTrue())
	})

	ginkgo.It("sends a request to no upstream twice", func() {
		d := newTestDirectory()
		_, ok := d.choose(partsRequest(), map[string]bool{"near": true, "far": true})
		Expect(ok).To(BeFalse())
	})
})

var _ = ginkgo.Describe("retry budgets", func() {
	ginkgo.It("keeps the retries of all processes together within the ratio and the slack", func() {
		const members, requests, slack = 9, 100, 58
		settings := Settings{RetryRatio: 0.2, RetrySlack: slack}
		taken := 0
		for range members {
			b := newRetryBudgets(settings)
			for range requests {
				b.countRequest("s", members)
				for b.take("s") {
					taken++
				}
			}
		}
		Expect(taken).To(BeNumerically("<=", int(0.2*members*requests)+slack))
		Expect(taken).To(BeNumerically(">", 100))
	})
})

var _ = ginkgo.Describe("the outcome of several attempts", func() {
	resp := func(o sequoiarouter.Outcome, status int) *sequoiarouter.Response {
		return &sequoiarouter.Response{Outcome: o, Status: status}
	}

	// Guards against a client that repeats a request because a failed second attempt hid the unknown outcome of the first.
	ginkgo.It("never reports that a request has not run after an attempt that may have run it", func() {
		a := &attemptState{}
		a.addResponse(resp(sequoiarouter.Unknown, 0))
		a.addResponse(resp(sequoiarouter.NotRun, 0))
		Expect(a.result(context.Background(), &sequoiarouter.Request{}).Outcome).To(Equal(sequoiarouter.Unknown))
	})

	ginkgo.It("prefers an upstream's response and keeps it when a retry is less informative", func() {
		a := &attemptState{}
		a.addResponse(resp(sequoiarouter.Answered, 500))
		a.addResponse(resp(sequoiarouter.Unknown, 0))
		Expect(a.result(context.Background(), &sequoiarouter.Request{}).Status).To(Equal(500))
		a.addResponse(resp(sequoiarouter.Answered, 200))
		Expect(a.result(context.Background(), &sequoiarouter.Request{}).Status).To(Equal(200))
	})

	ginkgo.DescribeTable("determines the HTTP status",
		func(r sequoiarouter.Response, want int) { Expect(failureStatus(&r)).To(Equal(want)) },
		ginkgo.Entry("not run", sequoiarouter.Response{Outcome: sequoiarouter.NotRun, Reason: reasonNoOwner}, 503),
		ginkgo.Entry("no route", sequoiarouter.Response{Outcome: sequoiarouter.NotRun, Reason: reasonNoRoute}, 404),
		ginkgo.Entry("may have run", sequoiarouter.Response{Outcome: sequoiarouter.Unknown, Reason: reasonConnectionLost}, 502),
		ginkgo.Entry("ran out of time", sequoiarouter.Response{Outcome: sequoiarouter.Unknown, Reason: reasonDeadline}, 504),
	)
})

var _ = ginkgo.Describe("requests of one connection", func() {
	newTestNode := func() *Node {
		var b bytes.Buffer
		timers := sequoiatimer.New()
		log := sequoialog.NewEvents(&b, timers)
		ginkgo.DeferCleanup(func() {
			log.Close()
			timers.Close()
		})
		return New(Settings{Instance: "a"}, Dialect{NewStore: func(sequoiaregistry.RoundTrip) sequoiaregistry.Store { return sequoiaregistry.Store{} }}, nil, log, timers)
	}

	// Guards against requests that are run beside others although they may run only once.
	ginkgo.It("may run concurrently only on routes that allow repeats, without a body or with a method that has none", func() {
		n := newTestNode()
		request := func(method, target, body string) *http.Request {
			r := httptest.NewRequest(method, target, strings.NewReader(body))
			r.Host = "h"
			return r
		}
		Expect(n.mayRunAgain(request("GET", "/safe/", ""))).To(BeFalse(), "without a configuration")
		cfg := &sequoiaroute.Configuration{
			Hosts:  map[string][]sequoiaroute.Route{"h": {{Prefix: "/safe/", Idempotent: true}, {Prefix: "/once/"}}},
			Limits: sequoiaroute.Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 1000},
		}
		cfg.Sort()
		n.config.Store(cfg)
		Expect(n.mayRunAgain(request("GET", "/safe/", "body"))).To(BeTrue())
		Expect(n.mayRunAgain(request("POST", "/safe/", ""))).To(BeTrue())
		Expect(n.mayRunAgain(request("POST", "/safe/", "body"))).To(BeFalse())
		Expect(n.mayRunAgain(request("GET", "/once/", ""))).To(BeFalse())
		Expect(n.mayRunAgain(request("GET", "/other", ""))).To(BeFalse())
		Expect(n.requestLimits()).To(Equal(sequoiafront.Limits{MaxHead: 16384, MaxBody: 1000}))
	})

	ginkgo.It("are counted in metrics by the reason of their refusal, and their memory by kind", func() {
		n := newTestNode()
		w := httptest.NewRecorder()
		n.metrics.handler().ServeHTTP(w, httptest.NewRequest("GET", "/", http.NoBody))
		for _, line := range []string{
			`sequoia_memory_held_bytes{kind="Request"} 0`, `sequoia_requests_refused_total{reason="NoRoom"} 0`,
			`sequoia_connections_closed_total{reason="Write"} 0`,
		} {
			Expect(w.Body.String()).To(ContainSubstring(line))
		}
	})
})
