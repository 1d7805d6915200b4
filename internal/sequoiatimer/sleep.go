package sequoiatimer

import (
	"context"
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
