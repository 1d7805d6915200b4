package sequoiatimer

import (
	"context"
	"sync"
	"time"
)

// Sleep waits for d of real time, or until ctx is done, in which case it returns ctx's error.
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

// WaitWithTimeout waits for group for at most d of real time. Goroutines that have not returned by then keep running.
func WaitWithTimeout(group *sync.WaitGroup, d time.Duration) {
	finished := make(chan struct{})
	go func() {
		group.Wait()
		close(finished)
	}()
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-finished:
	case <-t.C:
	}
}
