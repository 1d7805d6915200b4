package sequoiaproxy

import (
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiahttp"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiarouter"
)

// safeguards lets a test remove a rule to show that it detects the fault which the rule prevents.
type safeguards struct {
	notSent         bool
	connectionReuse bool
	drainWait       bool
}

// Names of the safeguards of this package.
const (
	// SafeguardNotSent: a failed forward is NotRun only if the request was provably not sent.
	SafeguardNotSent = "NotSent"
	// SafeguardConnectionReuse: the upstream connection of a cancelled request is closed.
	SafeguardConnectionReuse = "ConnectionReuse"
)

// WithoutSafeguard removes one safeguard by name, so that a test can show that it detects the fault which the safeguard
// prevents. With the router's SafeguardDrainWait the end of a drain does not wait for requests in progress either.
// Other names have no effect: they belong to other packages. The product never uses it.
func WithoutSafeguard(name string) Option {
	return func(p *Proxy) {
		switch name {
		case SafeguardNotSent:
			p.removed.notSent = true
		case SafeguardConnectionReuse:
			p.removed.connectionReuse = true
		case sequoiarouter.SafeguardDrainWait:
			p.removed.drainWait = true
		}
	}
}

// upstream returns the options of the client for the upstream.
func (s safeguards) upstream() []sequoiahttp.Option {
	if s.connectionReuse {
		return []sequoiahttp.Option{sequoiahttp.WithReuseOfCancelled()}
	}
	return nil
}
