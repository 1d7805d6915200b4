package sequoianode

import (
	"net/http"
	"time"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiarouter"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaspread"
)

// usageSmoothing is the weight of a new response in the moving averages of a route's usage.
const usageSmoothing = 0.1

// usage is what the requests of each route take at upstreams, as this process has seen it.
type usage struct {
	routes map[string]routeUsage
	// work holds the mean duration of the requests of a service at its upstreams.
	work map[string]time.Duration
}

// routeUsage is the mean duration of a route's requests at upstreams, with their wait there, and the mean size of the
// responses in bytes.
type routeUsage struct {
	work          time.Duration
	responseBytes float64
}

func newUsage() usage {
	return usage{routes: map[string]routeUsage{}, work: map[string]time.Duration{}}
}

// observe records what an upstream's response to a request has taken and transferred. Failures are left out, because they
// may be quicker or slower than the work.
func (u usage) observe(req *sequoiarouter.Request, took time.Duration, resp *sequoiarouter.Response) {
	if resp.Outcome != sequoiarouter.Answered || resp.Status >= http.StatusInternalServerError {
		return
	}
	r, known := u.routes[req.Route]
	if !known {
		r = routeUsage{work: took, responseBytes: float64(len(resp.Body))}
	}
	r.work += time.Duration(usageSmoothing * float64(took-r.work))
	r.responseBytes += usageSmoothing * (float64(len(resp.Body)) - r.responseBytes)
	u.routes[req.Route] = r
	if work := resp.Load.Work; work > 0 {
		mean, known := u.work[req.Service]
		if !known {
			mean = work
		}
		u.work[req.Service] = mean + time.Duration(usageSmoothing*float64(work-mean))
	}
}

// expect returns what is known of a request before it is sent.
func (u usage) expect(req *sequoiarouter.Request) sequoiaspread.Request {
	r := u.routes[req.Route]
	left := time.Until(req.Deadline)
	if req.Objective > 0 {
		left = min(left, req.Objective)
	}
	return sequoiaspread.Request{
		Work: r.work, TypicalWork: u.work[req.Service], Left: left, BodyBytes: len(req.Body), ResponseBytes: int(r.responseBytes),
	}
}
