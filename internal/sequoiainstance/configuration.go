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

// errUnreadableConfiguration reports that this process cannot parse the configuration document in the log, for
// example because a later version wrote it.
var errUnreadableConfiguration = errors.New("the configuration in the log cannot be read; the previous one stays in force")

// configure applies a configuration revision to the data path and to placement decisions.
func (in *Instance) configure(c sequoiatable.Configuration) {
	cfg, err := sequoiasettings.ParseConfiguration("configuration", c.Document)
	if err != nil {
		in.logFault("ConfigurationRejected", errors.Wrapf(errUnreadableConfiguration, "revision %d: %s", c.Revision, err))
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
