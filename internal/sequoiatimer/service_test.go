package sequoiatimer_test

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatimer"
)

func TestTimer(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "sequoiatimer")
}

var _ = ginkgo.Describe("Service", func() {
	var clock *sequoiatimer.ManualClock
	var service *sequoiatimer.Service
	var calls int
	count := func(time.Time) { calls++ }

	ginkgo.BeforeEach(func() {
		calls = 0
		clock = sequoiatimer.NewManualClock(time.Unix(1000, 0))
		service = sequoiatimer.New(sequoiatimer.WithClock(clock.Clock()))
	})

	ginkgo.It("coalesces late ticks, so that a process does not run all missed ticks after a pause", func() {
		service.Every(100*time.Millisecond, count)
		clock.Advance(350 * time.Millisecond)
		Expect(calls).To(Equal(3))
		clock.Jump(1020 * time.Millisecond)
		Expect(calls).To(Equal(4))
		clock.Advance(30 * time.Millisecond)
		Expect(calls).To(Equal(5), "the tick after a pause is at the next multiple of the interval")
	})

	ginkgo.It("runs After only once, and no subscription after Cancel or Close, when its component may have stopped", func() {
		service.After(time.Second, count)
		service.After(time.Second, count).Cancel()
		service.Every(time.Minute, count)
		clock.Advance(3 * time.Second)
		Expect(calls).To(Equal(1))
		service.Close()
		service.After(time.Second, count)
		clock.Advance(time.Hour)
		Expect(calls).To(Equal(1))
	})

	ginkgo.It("stops a subscription that cancels itself during its own call", func() {
		var sub *sequoiatimer.Subscription
		sub = service.Every(time.Second, func(time.Time) {
			calls++
			sub.Cancel()
		})
		clock.Advance(time.Minute)
		Expect(calls).To(Equal(1))
	})

	ginkgo.It("does not delay a subscriber because of a slow one, on the system clock", func() {
		service := sequoiatimer.New()
		defer service.Close()
		release := make(chan struct{})
		defer close(release)
		service.Every(time.Millisecond, func(time.Time) { <-release })
		var ticks atomic.Int64
		service.Every(time.Millisecond, func(time.Time) { ticks.Add(1) })
		Eventually(ticks.Load).WithTimeout(5 * time.Second).Should(BeNumerically(">", 5))
	})
})
