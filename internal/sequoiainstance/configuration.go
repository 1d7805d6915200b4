package sequoiainstance

import (
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoialog"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaplacement"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiarouter"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiasettings"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

// errConfiguration reports a document in the log that this process cannot read, for example one of a later version.
var errConfiguration = errors.New("the configuration in the log cannot be read; the earlier one stays in force")

// configure puts a new configuration revision in force in the data path and for placement decisions.
func (in *Instance) configure(c sequoiatable.Configuration) {
	cfg, err := sequoiasettings.ParseConfiguration("configuration", c.Document)
	if err != nil {
		in.logFault("ConfigurationRejected", errors.Wrapf(errConfiguration, "revision %d: %s", c.Revision, err))
		return
	}
	limits := map[string]sequoiarouter.Limits{}
	for _, s := range cfg.Services {
		limits[s.Name] = serviceLimits(s)
	}
	in.router.Configure(time.Now(), limits)
	in.configuration.Store(&cfg)
	in.log.Placement(sequoialog.Decision{
		Name: "ConfigurationInForce", Epoch: sequoiatable.Epoch(c.Revision),
		Reason: "operator " + strconv.Quote(c.Operator),
	})
}

func serviceLimits(s sequoiasettings.Service) sequoiarouter.Limits {
	const percent = 100
	l := sequoiarouter.Limits{
		ResendWindow: s.ResendWindow, InFlight: s.Limits.InFlight, Queued: s.Limits.Queued,
		RetryFraction: s.Limits.RetryPercent / percent, Timeout: s.Limits.Timeout, MaximumBodyBytes: s.MaximumBodyBytes,
	}
	if l.RetryFraction == 0 {
		l.RetryFraction = -1
	}
	return l
}

// tuning returns the balancing parameters in force for a service.
func (in *Instance) tuning(service string) sequoiaplacement.Tuning {
	cfg := in.configuration.Load()
	if cfg == nil {
		return sequoiaplacement.Tuning{}
	}
	s, ok := cfg.Service(service)
	if !ok {
		return sequoiaplacement.Tuning{}
	}
	return s.Tuning()
}
