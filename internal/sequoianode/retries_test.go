package sequoianode

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// retryFleet plays processes whose requests all fail, so that each is sent again as often as its budget allows. It keeps
// the times of the requests and of the retries.
type retryFleet struct {
	settings           Settings
	now                time.Time
	processes          []*retryBudgets
	requests, repeated []time.Time
}

func (f *retryFleet) join() { f.processes = append(f.processes, newRetryBudgets(f.settings)) }

// request makes a process count a request and retry as often as it may.
func (f *retryFleet) request(i int) {
	b := f.processes[i%len(f.processes)]
	f.requests = append(f.requests, f.now)
	b.countRequest(f.now, "s", len(f.processes))
	for b.take("s") {
		f.repeated = append(f.repeated, f.now)
	}
}

// count returns how many of the times lie in the window that ends at a time.
func (f *retryFleet) count(times []time.Time, end time.Time) (n int) {
	for _, t := range times {
		if !t.After(end) && t.After(end.Add(-f.settings.RetryWindow)) {
			n++
		}
	}
	return n
}

// excess returns by how much the retries in the window that ends now exceed what the requests allow: those of the window,
// the one before and the one half a window before, whichever has most.
func (f *retryFleet) excess() float64 {
	most := 0
	for _, back := range []time.Duration{0, f.settings.RetryWindow / 2, f.settings.RetryWindow} {
		most = max(most, f.count(f.requests, f.now.Add(-back)))
	}
	return float64(f.count(f.repeated, f.now)) - f.settings.RetryRatio*float64(most) - f.settings.RetrySlack
}

var _ = ginkgo.Describe("retry budgets of a fleet that changes", func() {
	settings := Settings{RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 58}

	// Guards against full budgets at each change in the number of members (review/more/budget.toml: 787 arrivals beyond the
	// first, 477 allowed).
	ginkgo.It("stay within the ratio and the slack while members join, end and are restarted in any order", func() {
		rapid.Check(ginkgo.GinkgoT(), func(t *rapid.T) {
			f := &retryFleet{settings: settings, now: time.Unix(1000, 0)}
			for range rapid.IntRange(1, 9).Draw(t, "members") {
				f.join()
			}
			for range rapid.IntRange(1, 60).Draw(t, "steps") {
				i := rapid.IntRange(0, len(f.processes)-1).Draw(t, "process")
				switch kind := rapid.SampledFrom([]string{"join", "end", "restart", "restart all", "requests", "pause"}).Draw(t, "kind"); {
				case kind == "join" && len(f.processes) < 20:
					f.join()
				case kind == "end" && len(f.processes) > 1:
					f.processes = append(f.processes[:i:i], f.processes[i+1:]...)
				case kind == "restart":
					f.processes[i] = newRetryBudgets(settings)
				case kind == "restart all":
					for k := range f.processes {
						f.processes[k] = newRetryBudgets(settings)
					}
				case kind == "pause":
					f.now = f.now.Add(time.Duration(rapid.IntRange(1, 90).Draw(t, "seconds")) * time.Second)
				}
				for range rapid.IntRange(0, 60).Draw(t, "requests") {
					f.now = f.now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
					f.request(i)
					if e := f.excess(); e > 0 {
						t.Fatalf("%v retries too many", e)
					}
				}
			}
		})
	})

	// Guards against budgets that are too small to be of use, after a start and while the number of members changes.
	ginkgo.It("allow most of the ratio while members join", func() {
		f := &retryFleet{settings: settings, now: time.Unix(1000, 0)}
		for range 9 {
			f.join()
		}
		for i := range 4000 {
			f.now = f.now.Add(10 * time.Millisecond)
			if i%400 == 0 {
				f.join()
			}
			f.request(i)
		}
		Expect(float64(len(f.repeated))).To(BeNumerically(">", 0.13*float64(len(f.requests))))
	})

	ginkgo.It("do not grow while entries of members are missing for a short time", func() {
		b := newRetryBudgets(settings)
		now := time.Unix(1000, 0)
		b.countRequest(now, "s", 9)
		for range 1000 {
			b.countRequest(now.Add(mostMembersMemory/2), "s", 1)
		}
		taken := 0
		for b.take("s") {
			taken++
		}
		Expect(taken).To(BeNumerically("<=", 58/9))
	})
})
