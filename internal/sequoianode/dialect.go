// Package sequoianode assembles the process that runs beside an upstream on the users' platform: the front for
// clients, the forwarding between processes, the queue before the upstream, and the ownership of keys.
package sequoianode

import (
	"net/http"
	"net/netip"
	"time"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiahttp"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiakeyspace"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaowner"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaregistry"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaroute"
)

// Attributes are what a request's header says to the router.
type Attributes struct {
	// ID is the request's identifier, which the upstream's response repeats.
	ID string
	// Timeout is how long the client waits, zero if it does not say.
	Timeout time.Duration
	// Key is valid if HasKey is true.
	Key    sequoiakeyspace.Key
	HasKey bool
}

// UpstreamCall is what an upstream is told besides the client's request.
type UpstreamCall struct {
	// Remaining is the time after which the client no longer waits.
	Remaining time.Duration
	// Upstream is the identifier of the upstream that is meant.
	Upstream string
	// Origin is the service of the instance where the request began.
	Origin string
}

// Verdict is what an upstream's response says besides its status and body.
type Verdict struct {
	// NotRun is true if the upstream says that it did not run the request.
	NotRun bool
	// WrongUpstream is true if another upstream than the one that was meant responded. It did not run the request.
	WrongUpstream bool
	// Signed is true if the response is the upstream's own.
	Signed bool
}

// Announcement is what an upstream says of itself.
type Announcement struct {
	Upstream sequoiaowner.Upstream
	Address  netip.AddrPort
	Sequence uint64
	// Warming is how long the upstream remains slow after its start.
	Warming time.Duration
	// Gone is true if the upstream deregisters.
	Gone bool
}

// Dialect translates between the platform's protocol and the router's types. All fields must be set.
type Dialect struct {
	// ReadRequest reads the header of a client's request. It returns an error for a header that is not valid.
	ReadRequest func(h http.Header) (Attributes, error)
	// PrepareUpstream sets what the upstream is told.
	PrepareUpstream func(h http.Header, c UpstreamCall)
	// ReadResponse reads the status and header of an upstream's response.
	ReadResponse func(status int, h http.Header) Verdict
	// RequestID reads the identifier that a response repeats, empty if it has none.
	RequestID func(h http.Header) string
	// SetRetryAfter sets the time after which a client is asked to come back.
	SetRetryAfter func(h http.Header, d time.Duration)
	// ReadAnnouncement reads an upstream's announcement. ok is false if the request is not one.
	ReadAnnouncement func(r *http.Request, body []byte) (a Announcement, ok bool, err error)
	// ReadyPath is the path of the platform's question whether the process is ready.
	ReadyPath string
	// Grant and Release return the request for an order to the upstream.
	Grant   func(g sequoiaowner.Grant) (*sequoiahttp.Request, error)
	Release func(r sequoiaowner.Release) (*sequoiahttp.Request, error)
	// Fenced reports whether an order was refused because of a higher fence.
	Fenced func(status int) bool
	// Handover reads what an upstream returns when it releases keys.
	Handover func(h http.Header) string
	// ConfigurationKey is the store's key of the operator's configuration.
	ConfigurationKey string
	// Store returns the store that is reached by an exchange.
	Store func(e sequoiaregistry.RoundTrip) sequoiaregistry.Store
	// ReadConfiguration decodes the operator's configuration.
	ReadConfiguration func(b []byte) (*sequoiaroute.Configuration, error)
}

// Identity is what a process knows of itself from its settings.
type Identity struct {
	Instance string
	Domain   string
	// Service is the service of the upstream on the instance.
	Service string
	// Upstream is the upstream's address.
	Upstream netip.AddrPort
	// Heartbeat is the interval of the upstream's announcements.
	Heartbeat time.Duration
	// Outbound takes clients' requests, Announce the upstream's announcements, Ready the platform's question.
	Outbound, Announce, Ready netip.AddrPort
	// Forward takes requests from other processes, Metrics serves the metrics; it is invalid if there are none.
	Forward, Metrics netip.AddrPort
	// Drain is how long after an acknowledged leave an upstream may still get requests.
	Drain time.Duration
	// Grace is the time from SIGTERM to SIGKILL.
	Grace time.Duration
	// RetryRatio, RetryWindow and RetrySlack bound the retries of all processes together: in each window as many as
	// the ratio of the requests, and the slack.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
}
