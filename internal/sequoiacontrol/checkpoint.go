package sequoiacontrol

import (
	"time"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

// dueCheckpoint is a checkpoint that, as far as this process knows, is not in the store yet. The writer of the entry
// writes it at once. The planners try in turn later: an attempt costs one store call if another process was faster.
// Without them, the loss of the writer would leave the log without a checkpoint for another interval.
type dueCheckpoint struct {
	table   *sequoiatable.Table
	since   time.Time
	writer  bool
	tried   time.Time
	writing bool
}

// checkpointAttempts is the number of retry intervals after which a process that is no planner forgets a checkpoint.
const checkpointAttempts = 2 * witnessCount

func (c *Core) startCheckpoint(t *sequoiatable.Table, writer bool) {
	c.checkpoint = &dueCheckpoint{table: t, since: c.now, writer: writer}
}

func (c *Core) advanceCheckpoint() {
	d := c.checkpoint
	if d == nil || d.writing {
		return
	}
	retry := c.opt.timings.CheckpointRetryInterval
	wait := time.Duration(0)
	if !d.writer {
		position := c.plannerPosition(0)
		wait = time.Duration(position+1) * retry
		if position >= witnessCount {
			if c.now.Sub(d.since) >= checkpointAttempts*retry {
				c.checkpoint = nil
			}
			return
		}
	}
	if c.now.Sub(d.since) < wait || (!d.tried.IsZero() && c.now.Sub(d.tried) < retry) {
		return
	}
	d.tried = c.now
	d.writing = true
	c.emit(WriteCheckpoint{Table: d.table})
}

func (c *Core) checkpointWritten(ev CheckpointWritten) {
	d := c.checkpoint
	if d == nil || d.table.Index != ev.Index {
		return
	}
	d.writing = false
	if ev.Err == nil {
		c.checkpoint = nil
	}
}
