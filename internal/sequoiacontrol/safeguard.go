package sequoiacontrol

// disabledSafeguards lets a test disable safety rules to show that it detects the faults that they prevent.
type disabledSafeguards struct {
	takeoverWithoutPromises bool
	leaseFromReply          bool
	uncoveredWitnessSet     bool
	reopenOnUnknownResult   bool
	staleConfigurationBase  bool
	ignoreDrain             bool
}

// Names of the safeguards of this package.
const (
	// SafeguardPromises makes a takeover wait for the witnesses' promises and the end of the lease.
	SafeguardPromises = "Promises"
	// SafeguardLeaseFromSend makes a holder count its lease from the time it sent the renewal.
	SafeguardLeaseFromSend = "LeaseFromSend"
	// SafeguardWitnessOverlap allows a witness set to be proposed only once it supports the published lease end.
	SafeguardWitnessOverlap = "WitnessOverlap"
	// SafeguardUnknownMove keeps keys closed while the result of the append that moves them is unknown.
	SafeguardUnknownMove = "UnknownMove"
	// SafeguardConfigurationBase rejects a configuration that is based on an older revision than the current one.
	SafeguardConfigurationBase = "ConfigurationBase"
	// SafeguardDrain makes a process that is told to drain move its keys away.
	SafeguardDrain = "Drain"
)

// WithoutSafeguard disables the named safeguard, so that a test can show that it detects the fault which the safeguard
// prevents. Unknown names are ignored, since they belong to other packages. It is for tests only.
func WithoutSafeguard(name string) Option {
	return func(o *options) {
		switch name {
		case SafeguardPromises:
			o.disabled.takeoverWithoutPromises = true
		case SafeguardLeaseFromSend:
			o.disabled.leaseFromReply = true
		case SafeguardWitnessOverlap:
			o.disabled.uncoveredWitnessSet = true
		case SafeguardUnknownMove:
			o.disabled.reopenOnUnknownResult = true
		case SafeguardConfigurationBase:
			o.disabled.staleConfigurationBase = true
		case SafeguardDrain:
			o.disabled.ignoreDrain = true
		}
	}
}
