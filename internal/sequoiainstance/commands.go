package sequoiainstance

import (
	"context"
	"sync"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiacontrol"
)

// commands matches the core's replies to the commands that wait for them.
type commands struct {
	mu      sync.Mutex
	last    uint64
	waiting map[uint64]chan sequoiacontrol.Reply
}

func newCommands() *commands {
	return &commands{waiting: map[uint64]chan sequoiacontrol.Reply{}}
}

func (c *commands) add() (uint64, chan sequoiacontrol.Reply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last++
	reply := make(chan sequoiacontrol.Reply, 1)
	c.waiting[c.last] = reply
	return c.last, reply
}

func (c *commands) remove(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiting, id)
}

func (c *commands) reply(r sequoiacontrol.Reply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if reply := c.waiting[r.ID]; reply != nil {
		reply <- r
		delete(c.waiting, r.ID)
	}
}

// command gives a command to the core and waits for its reply. It returns ctx's error if that ends first; the command
// may then still be carried out.
func (in *Instance) command(ctx context.Context, cmd sequoiacontrol.Command) (uint64, error) {
	id, reply := in.commands.add()
	defer in.commands.remove(id)
	cmd.ID = id
	in.post(cmd)
	select {
	case r := <-reply:
		return r.Index, r.Err
	case <-ctx.Done():
		return 0, ctx.Err()
	}
}
