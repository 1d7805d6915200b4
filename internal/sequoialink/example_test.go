package sequoialink_test

import (
	"fmt"
	"time"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoialink"
)

// A link of 10 Mbit/s receives two bodies. The second one cannot arrive before its deadline behind the first.
func ExampleScheduler() {
	now := time.Unix(0, 0)
	s := sequoialink.New(10e6 / 8)
	first := &sequoialink.Transfer{Size: 60_000, Deadline: now.Add(100 * time.Millisecond)}
	second := &sequoialink.Transfer{Size: 60_000, Deadline: now.Add(101 * time.Millisecond)}
	fmt.Println("first refused:", s.Offer(now, first) != nil)
	refusal := s.Offer(now, second)
	fmt.Println("second refused:", refusal.Reason, refusal.RetryAfter.Round(time.Millisecond))
	for _, d := range s.Advance(now) {
		fmt.Println("granted:", d.Granted)
	}
	complete, _ := s.Arrived(now.Add(30*time.Millisecond), first, 32_768)
	fmt.Println("complete:", complete)
	for _, d := range s.Advance(now.Add(30 * time.Millisecond)) {
		fmt.Println("granted:", d.Granted)
	}
	// Output:
	// first refused: false
	// second refused: LinkBusy 20ms
	// granted: 32768
	// complete: false
	// granted: 60000
}
