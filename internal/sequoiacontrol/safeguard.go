package sequoiacontrol

// safeguards lets a test remove a rule to show that it detects the fault which the rule prevents.
type safeguards struct {
	takeoverWithoutPromises bool
	leaseFromAnswer         bool
	witnessSetAtOnce        bool
	reopenUnknown           bool
	anyConfigurationBase    bool
	drainIgnored            bool
}

// Names of the safeguards of this package.
const (
	// SafeguardPromises: a takeover waits for the witnesses' promises and the end of the lease (L4).
	SafeguardPromises = "Promises"
	// SafeguardLeaseFromSend: a holder counts its lease from the moment it sent the renewal (L1).
	SafeguardLeaseFromSend = "LeaseFromSend"
	// SafeguardWitnessOverlap: a witness set is proposed only once it supports the published lease end (L3).
	SafeguardWitnessOverlap = "WitnessOverlap"
	// SafeguardUnknownMove: keys stay closed while the result of the append that moves them is not known.
	SafeguardUnknownMove = "UnknownMove"
	// SafeguardConfigurationBase: a configuration that is based on an older revision than the one in force is refused.
	SafeguardConfigurationBase = "ConfigurationBase"
	// SafeguardDrain: a process that was told to drain moves its keys away.
	SafeguardDrain = "Drain"
)

// WithoutSafeguard removes one safeguard by name, so that a test can show that it detects the fault which the safeguard
// prevents. Other names have no effect: they belong to other packages. The product never uses it.
func WithoutSafeguard(name string) Option {
	return func(o *options) {
		switch name {
		case SafeguardPromises:
			o.removed.takeoverWithoutPromises = true
		case SafeguardLeaseFromSend:
			o.removed.leaseFromAnswer = true
		case SafeguardWitnessOverlap:
			o.removed.witnessSetAtOnce = true
		case SafeguardUnknownMove:
			o.removed.reopenUnknown = true
		case SafeguardConfigurationBase:
			o.removed.anyConfigurationBase = true
		case SafeguardDrain:
			o.removed.drainIgnored = true
		}
	}
}
