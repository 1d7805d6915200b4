package sequoianode

import (
	"context"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaowner"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiapeer"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiarouter"
)

func TestNode(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "Node")
}

// failure is an error that is both a result of forwarding and its cause, as those of sequoiapeer are.
type failure struct{ result, cause error }

func (f failure) Error() string   { return f.result.Error() }
func (f failure) Unwrap() []error { return []error{f.result, f.cause} }

var _ = ginkgo.Describe("evidence against another process", func() {
	// Guards against a slow upstream that makes its process count as unreachable (incident 1016: each request that ran
	// into its own deadline took an owner out of use for all others).
	ginkgo.DescribeTable("is a connection that fails, and no request that is slow",
		func(result, cause error, remaining time.Duration, want bool) {
			Expect(showsUnreachable(failure{result, cause}, remaining)).To(Equal(want))
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

var _ = ginkgo.Describe("directory", func() {
	newTestDirectory := func() *directory {
		d := newDirectory(Identity{Instance: "a", Domain: "north"})
		d.setMembers(map[string]sequoiaowner.Member{"near": member("near", "north"), "far": member("far", "south")})
		return d
	}
	report := func(d *directory, instance string, running int) {
		d.begin(instance)
		d.end(instance, &sequoiarouter.Response{
			Outcome: sequoiarouter.Answered, Status: 200,
			Load: sequoiarouter.Load{Running: running, Slots: 6, Work: 150 * time.Millisecond},
		})
	}

	ginkgo.It("prefers the own failure domain while the upstream there has room", func() {
		d := newTestDirectory()
		report(d, "near", 3)
		report(d, "far", 0)
		for range 20 {
			m, ok := d.choose("parts", nil)
			Expect(ok).To(BeTrue())
			Expect(m.Instance).To(Equal("near"))
		}
	})

	// Guards against callers that wait in their own failure domain while an upstream elsewhere is free.
	ginkgo.It("goes to another failure domain when the upstream in its own is full", func() {
		d := newTestDirectory()
		report(d, "near", 7)
		report(d, "far", 1)
		m, ok := d.choose("parts", nil)
		Expect(ok).To(BeTrue())
		Expect(m.Instance).To(Equal("far"))
	})

	ginkgo.It("sends nothing to a process that does not answer, until a probe reaches it", func() {
		d := newTestDirectory()
		Expect(d.unreachable("near")).To(BeTrue())
		Expect(d.unreachable("near")).To(BeFalse(), "a second probe of the same process")
		m, _ := d.choose("parts", nil)
		Expect(m.Instance).To(Equal("far"))
		_, ok := d.address("near")
		Expect(ok).To(BeFalse())
		d.reached("near")
		_, ok = d.address("near")
		Expect(ok).To(BeTrue())
	})

	// Guards against the loss of all upstreams at the return of a store whose leases lapsed while it was away.
	ginkgo.It("goes on with members whose entries have just lapsed", func() {
		d := newTestDirectory()
		d.setMembers(map[string]sequoiaowner.Member{})
		_, ok := d.choose("parts", nil)
		Expect(ok).To(BeTrue())
	})

	ginkgo.It("offers a request to no upstream twice", func() {
		d := newTestDirectory()
		_, ok := d.choose("parts", map[string]bool{"near": true, "far": true})
		Expect(ok).To(BeFalse())
	})
})

var _ = ginkgo.Describe("retry budgets", func() {
	ginkgo.It("keeps the retries of all processes together within the ratio and the slack", func() {
		const members, requests, slack = 9, 100, 58
		id := Identity{RetryRatio: 0.2, RetrySlack: slack}
		taken := 0
		for range members {
			b := newRetryBudgets(id)
			for range requests {
				b.begin("s", members)
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

	// Guards against the promise that a request has not run after an attempt that may have run it.
	ginkgo.It("never says that a request has not run after one that may have", func() {
		a := &attempt{}
		a.note(resp(sequoiarouter.Unknown, 0))
		a.note(resp(sequoiarouter.NotRun, 0))
		Expect(a.result(context.Background(), &sequoiarouter.Request{}).Outcome).To(Equal(sequoiarouter.Unknown))
	})

	ginkgo.It("prefers an upstream's answer, and keeps it when a retry says less", func() {
		a := &attempt{}
		a.note(resp(sequoiarouter.Answered, 500))
		a.note(resp(sequoiarouter.Unknown, 0))
		Expect(a.result(context.Background(), &sequoiarouter.Request{}).Status).To(Equal(500))
		a.note(resp(sequoiarouter.Answered, 200))
		Expect(a.result(context.Background(), &sequoiarouter.Request{}).Status).To(Equal(200))
	})

	ginkgo.DescribeTable("is told by the status",
		func(r sequoiarouter.Response, want int) { Expect(failureStatus(&r)).To(Equal(want)) },
		ginkgo.Entry("not run", sequoiarouter.Response{Outcome: sequoiarouter.NotRun, Reason: reasonNoOwner}, 503),
		ginkgo.Entry("no route", sequoiarouter.Response{Outcome: sequoiarouter.NotRun, Reason: reasonNoRoute}, 404),
		ginkgo.Entry("may have run", sequoiarouter.Response{Outcome: sequoiarouter.Unknown, Reason: reasonConnectionLost}, 502),
		ginkgo.Entry("ran out of time", sequoiarouter.Response{Outcome: sequoiarouter.Unknown, Reason: reasonDeadline}, 504),
	)
})
