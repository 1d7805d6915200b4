package sequoiafront

import (
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiamemory"
)

const (
	// budgetStep is the step in bytes in which a budget reserves memory for small amounts.
	budgetStep = 4 << 10
	// progressBytes is how many bytes of a request must arrive before their pace is looked at.
	progressBytes = 1 << 10
)

// budget reserves the memory of a request that is being read.
type budget struct {
	holding *sequoiamemory.Holding
	// keepPace counts bytes that have arrived, and returns the time up to which the request has kept up with minRate.
	keepPace       func(n int) time.Time
	used, reserved int64
	// arrived is the number of bytes since the last call of keepPace.
	arrived int
}

// charge adds n bytes, which may be negative.
func (b *budget) charge(n int64) error {
	b.used += n
	missing := b.used - b.reserved
	if missing <= 0 && missing > -budgetStep {
		return nil
	}
	step := (missing + budgetStep - 1) / budgetStep * budgetStep
	if !b.holding.Grow(step) {
		return errors.WithStack(errNoRoom)
	}
	b.reserved += step
	return nil
}

// progress counts n bytes that have arrived.
func (b *budget) progress(n int) {
	if b.arrived += n; b.arrived >= progressBytes {
		b.holding.ProgressAt(b.keepPace(b.arrived))
		b.arrived = 0
	}
}
