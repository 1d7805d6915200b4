package sequoiafront

import (
	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiamemory"
)

const (
	// budgetStep is the step in bytes in which a budget reserves memory for small amounts.
	budgetStep = 4 << 10
	// progressBytes is how many bytes of a body must arrive to count as progress. A byte now and then keeps no memory from
	// being given to others.
	progressBytes = 1 << 10
)

// budget reserves the memory of a request that is being read.
type budget struct {
	holding *sequoiamemory.Holding
	// conn is the holding of the connection, which makes progress with the request.
	conn           *sequoiamemory.Holding
	used, reserved int64
	// arrived is the number of bytes since the last progress.
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
		b.arrived = 0
		b.holding.Progress()
		b.conn.Progress()
	}
}
