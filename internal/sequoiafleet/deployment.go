// Package sequoiafleet runs a whole deployment on loopback within one operating system process: stand-ins for the store
// and the upstreams, and a sequoiaspring process beside each upstream. The demo, the benchmarks and the failure tests
// use it.
package sequoiafleet

import (
	"path"
	"time"

	"github.com/pkg/errors"

	sequoiaexamples "github.com/sequoiaspring/sequoiaspring/examples"
)

// ErrDeployment reports an unknown deployment name.
var ErrDeployment = errors.New("unknown deployment; allowed: howrah, pinehollow")

// ServicePlan describes the upstreams of one service.
type ServicePlan struct {
	Name           string
	Upstreams      int
	Slots          int
	Connections    int
	ConnectionCost time.Duration
	ServiceTime    time.Duration
}

// Deployment describes the region, failure domains and services of one of the users' deployments.
type Deployment struct {
	Name           string
	Region         string
	FailureDomains []string
	Services       []ServicePlan
	// Configuration is the configuration document to apply.
	Configuration string
}

// FindDeployment returns the deployment called name, either howrah or pinehollow.
func FindDeployment(name string) (Deployment, error) {
	var d Deployment
	switch name {
	case "howrah":
		d = howrah()
	case "pinehollow":
		d = pinehollow()
	default:
		return d, errors.Wrapf(ErrDeployment, "%q", name)
	}
	data, err := sequoiaexamples.Files.ReadFile(path.Join(name, "configuration.hujson"))
	if err != nil {
		return d, errors.Wrap(err, "read the example configuration")
	}
	d.Configuration = string(data)
	return d, nil
}

func howrah() Deployment {
	plan := ServicePlan{Slots: 6, Connections: 110, ConnectionCost: time.Millisecond, ServiceTime: 4 * time.Millisecond}
	dispatch, parts := plan, plan
	dispatch.Name, dispatch.Upstreams = "dispatch", 5
	parts.Name, parts.Upstreams = "parts", 4
	return Deployment{
		Name: "howrah", Region: "bengal-west",
		FailureDomains: []string{"howrah-north", "howrah-south", "bally", "shibpur"},
		Services:       []ServicePlan{dispatch, parts},
	}
}

func pinehollow() Deployment {
	plan := ServicePlan{Slots: 9, Connections: 70, ConnectionCost: time.Millisecond, ServiceTime: 4 * time.Millisecond}
	desk, stock := plan, plan
	desk.Name, desk.Upstreams = "order-desk", 5
	stock.Name, stock.Upstreams = "yard-stock", 4
	return Deployment{
		Name: "pinehollow", Region: "deep-south",
		FailureDomains: []string{"mobile-yard", "hattiesburg-yard", "lafayette-yard"},
		Services:       []ServicePlan{desk, stock},
	}
}
