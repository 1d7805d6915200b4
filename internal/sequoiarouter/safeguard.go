package sequoiarouter

// safeguards holds the safeguards that a test has disabled, to show that it detects the fault that each prevents.
type safeguards struct {
	identifiers bool
	floor       bool
	drainWait   bool
}

// Names of the safeguards in this package.
const (
	// SafeguardIdentifiers answers a duplicate of a retained request from its record.
	SafeguardIdentifiers = "Identifiers"
	// SafeguardFloor does not run a request whose first epoch is below the floor of its assignment.
	SafeguardFloor = "Floor"
	// SafeguardDrainWait reports closed keys as drained only once no request for them is in progress.
	SafeguardDrainWait = "DrainWait"
)

// WithoutSafeguard disables a safeguard by name, so that a test can show that it detects the fault that the safeguard
// prevents. Names of safeguards in other packages have no effect. Only tests use it.
func WithoutSafeguard(name string) Option {
	return func(c *config) {
		switch name {
		case SafeguardIdentifiers:
			c.disabled.identifiers = true
		case SafeguardFloor:
			c.disabled.floor = true
		case SafeguardDrainWait:
			c.disabled.drainWait = true
		}
	}
}
