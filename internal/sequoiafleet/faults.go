package sequoiafleet

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// errNoOwner reports that a fault targets an owner but no process owns keys.
var errNoOwner = errors.New("no process owns keys of the service")

// owner returns the node that owns the most keys of the deployment's first service.
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

// KillOwner returns a fault that kills the owner with the most keys of the first service together with its upstream.
func KillOwner(at time.Duration) Fault {
	return Fault{At: at, Name: "kill an owner", Inject: func(_ context.Context, f *Fleet) error {
		n, err := f.owner()
		if err != nil {
			return err
		}
		f.Remove(n)
		n.Kill()
		return nil
	}}
}

// DrainOwner returns a fault that makes the owner with the most keys of the first service hand them over and stop.
func DrainOwner(at time.Duration) Fault {
	return Fault{At: at, Name: "drain an owner", Inject: func(ctx context.Context, f *Fleet) error {
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
