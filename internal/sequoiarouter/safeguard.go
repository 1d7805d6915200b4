package sequoiarouter

// safeguards lets a test remove a rule to show that it detects the fault which the rule prevents.
type safeguards struct {
	identifiers bool
	floor       bool
	drainWait   bool
}

// Names of the safeguards of this package.
const (
	// SafeguardIdentifiers: a duplicate of a retained request is answered from its record.
	SafeguardIdentifiers = "Identifiers"
	// SafeguardFloor: a request stamped below the floor of its assignment is not run.
	SafeguardFloor = "Floor"
	// SafeguardDrainWait: closed keys count as drained only once no request for them is in progress.
	SafeguardDrainWait = "DrainWait"
)

// WithoutSafeguard removes one safeguard by name, so that a test can show that it detects the fault which the safeguard
// prevents. Other names have no effect: they belong to other packages. The product never uses it.
func WithoutSafeguard(name string) Option {
	return func(c *config) {
		switch name {
		case SafeguardIdentifiers:
			c.removed.identifiers = true
		case SafeguardFloor:
			c.removed.floor = true
		case SafeguardDrainWait:
			c.removed.drainWait = true
		}
	}
}
