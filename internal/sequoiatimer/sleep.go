package sequoiatimer

import (
	"context"
	"sync"
	"time"
)

// Sleep waits for d of real time. It returns ctx's error if that ends first.
func Sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Await waits for a group for at most d of real time. Goroutines that have not ended by then go on.
func Await(group *sync.WaitGroup, d time.Duration) {
	ended := make(chan struct{})
	go func() {
		group.Wait()
		close(ended)
	}()
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ended:
	case <-t.C:
	}
}
