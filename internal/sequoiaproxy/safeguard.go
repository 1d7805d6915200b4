package sequoiaproxy

import (
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiahttp"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiarouter"
)

// safeguards holds the safeguards that a test has removed to show that it detects the faults which they prevent.
type safeguards struct {
	notSent         bool
	connectionReuse bool
	drainWait       bool
}

// Names of the safeguards of this package.
const (
	// SafeguardNotSent reports a failed forward as NotRun only if the request was provably not sent.
	SafeguardNotSent = "NotSent"
	// SafeguardConnectionReuse closes the upstream connection of a cancelled request.
	SafeguardConnectionReuse = "ConnectionReuse"
)

// WithoutSafeguard removes one safeguard by name, so that a test can show that it detects the fault which the safeguard
// prevents. Without the router's SafeguardDrainWait, the end of a drain does not wait for requests in progress either.
// Names of other packages' safeguards have no effect. Production code never uses this option.
func WithoutSafeguard(name string) Option {
	return func(p *Proxy) {
		switch name {
		case SafeguardNotSent:
			p.removedSafeguards.notSent = true
		case SafeguardConnectionReuse:
			p.removedSafeguards.connectionReuse = true
		case sequoiarouter.SafeguardDrainWait:
			p.removedSafeguards.drainWait = true
		}
	}
}

// clientOptions returns the options of the HTTP client for the upstream.
func (s safeguards) clientOptions() []sequoiahttp.Option {
	if s.connectionReuse {
		return []sequoiahttp.Option{sequoiahttp.WithReuseOfCancelled()}
	}
	return nil
}
