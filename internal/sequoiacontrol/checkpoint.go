package sequoiacontrol

import (
	"time"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

// pendingCheckpoint is a checkpoint that this process does not yet know to be in the store. The writer of the log entry
// writes the checkpoint immediately. The planners try later, one after another; an attempt costs one store call if
// another process has already written it. Without them, the loss of the writer would leave the log without a checkpoint
// until the next checkpoint interval.
type pendingCheckpoint struct {
	table     *sequoiatable.Table
	createdAt time.Time
	// writer is set if this process wrote the log entry.
	writer  bool
	triedAt time.Time
	writing bool
}

// checkpointRetentionIntervals is the number of retry intervals after which a process that is not a planner discards a
// pending checkpoint.
const checkpointRetentionIntervals = 2 * witnessCount

func (c *Core) scheduleCheckpoint(t *sequoiatable.Table, writer bool) {
	c.checkpoint = &pendingCheckpoint{table: t, createdAt: c.now, writer: writer}
}

func (c *Core) advanceCheckpoint() {
	p := c.checkpoint
	if p == nil || p.writing {
		return
	}
	retry := c.opt.timings.CheckpointRetryInterval
	wait := time.Duration(0)
	if !p.writer {
		position := c.plannerPosition(0)
		wait = time.Duration(position+1) * retry
		if position >= witnessCount {
			if c.now.Sub(p.createdAt) >= checkpointRetentionIntervals*retry {
				c.checkpoint = nil
			}
			return
		}
	}
	if c.now.Sub(p.createdAt) < wait || (!p.triedAt.IsZero() && c.now.Sub(p.triedAt) < retry) {
		return
	}
	p.triedAt = c.now
	p.writing = true
	c.emit(WriteCheckpoint{Table: p.table})
}

func (c *Core) handleCheckpointWritten(ev CheckpointWritten) {
	p := c.checkpoint
	if p == nil || p.table.Index != ev.Index {
		return
	}
	p.writing = false
	if ev.Err == nil {
		c.checkpoint = nil
	}
}
