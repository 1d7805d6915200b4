package sequoiafleet

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// errNoOwner reports a fault that needs an owner where there is none.
var errNoOwner = errors.New("no process owns keys of the service")

// owner returns the node of the deployment's first service that owns the most keys.
func (f *Fleet) owner() (*Node, error) {
	var best *Node
	most := 0
	for _, n := range f.Nodes {
		s := n.Process.Snapshot()
		m := s.Table.Member(s.Self)
		if n.Service == f.Deployment.Services[0].Name && m != nil && m.Owned > most {
			best, most = n, m.Owned
		}
	}
	if best == nil {
		return nil, errNoOwner
	}
	return best, nil
}

// KillOwner ends the process and the upstream that own the most keys of the first service at once.
func KillOwner(at time.Duration) Fault {
	return Fault{At: at, Name: "kill an owner", Do: func(_ context.Context, f *Fleet) error {
		n, err := f.owner()
		if err != nil {
			return err
		}
		f.Remove(n)
		n.Kill()
		return nil
	}}
}

// DrainOwner makes the process that owns the most keys of the first service hand them over and stop.
func DrainOwner(at time.Duration) Fault {
	return Fault{At: at, Name: "drain an owner", Do: func(ctx context.Context, f *Fleet) error {
		n, err := f.owner()
		if err != nil {
			return err
		}
		if err := n.Process.Drain(ctx, "Demo"); err != nil {
			return err
		}
		f.Remove(n)
		n.Kill()
		return nil
	}}
}
