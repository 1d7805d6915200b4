package sequoiaspread

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a burst that goes to the one upstream that has answered quick requests, because others that have not
// answered any yet are assumed to take DefaultWork.
func TestBurstBeforeReports(t *testing.T) {
	for _, test := range []struct {
		name    string
		domains [3]string
	}{{"OneDomain", [3]string{"a", "a", "a"}}, {"ThreeDomains", [3]string{"a", "b", "c"}}} {
		t.Run(test.name, func(t *testing.T) {
			RegisterTestingT(t)
			const burst, slots = 24, 6
			req := Request{Work: time.Millisecond, TypicalWork: time.Millisecond, Left: time.Second}
			candidates := make([]Candidate, 3)
			for i := range candidates {
				candidates[i] = Candidate{Domain: test.domains[i], Age: time.Hour, Slots: slots}
			}
			candidates[2].Work = time.Millisecond
			home := New("a", rand.New(rand.NewPCG(1, 2)).IntN)
			for range burst {
				candidates[home.Choose(candidates, req)].Outstanding++
			}
			Expect(candidates[2].Outstanding).To(BeNumerically("<=", burst/3))
			Expect(candidates[0].Outstanding).To(BeNumerically(">=", burst/3))
		})
	}
}
