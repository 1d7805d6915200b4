package sequoiainstance

import (
	"context"
	"sync"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiacontrol"
)

// pendingCommands holds the commands that wait for a reply of the control core, by command ID.
type pendingCommands struct {
	mu      sync.Mutex
	lastID  uint64
	replies map[uint64]chan sequoiacontrol.Reply
}

func newPendingCommands() *pendingCommands {
	return &pendingCommands{replies: map[uint64]chan sequoiacontrol.Reply{}}
}

func (c *pendingCommands) add() (uint64, chan sequoiacontrol.Reply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastID++
	reply := make(chan sequoiacontrol.Reply, 1)
	c.replies[c.lastID] = reply
	return c.lastID, reply
}

func (c *pendingCommands) remove(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.replies, id)
}

func (c *pendingCommands) deliver(r sequoiacontrol.Reply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if reply := c.replies[r.ID]; reply != nil {
		reply <- r
		delete(c.replies, r.ID)
	}
}

// submitCommand sends a command to the control core and waits for its reply. If ctx ends first, it returns ctx's error,
// and the command may still be executed.
func (in *Instance) submitCommand(ctx context.Context, cmd sequoiacontrol.Command) (uint64, error) {
	id, reply := in.pendingCommands.add()
	defer in.pendingCommands.remove(id)
	cmd.ID = id
	in.post(cmd)
	select {
	case r := <-reply:
		return r.Index, r.Err
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}
