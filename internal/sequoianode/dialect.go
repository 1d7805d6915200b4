// Package sequoianode implements the sidecar process that runs next to an upstream on the users' platform. It combines
// the HTTP front end for clients, request forwarding between processes, the admission queue of the upstream, and key
// ownership.
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

// RequestAttributes holds the routing information from the headers of a client's request.
type RequestAttributes struct {
	// ID is the request ID, which the upstream echoes in its response.
	ID string
	// Timeout is how long the client waits for a response; zero if the request does not specify it.
	Timeout time.Duration
	// Key is valid if HasKey is true.
	Key    sequoiakeyspace.Key
	HasKey bool
}

// UpstreamCall holds the metadata that is sent to an upstream along with a client's request.
type UpstreamCall struct {
	// Remaining is the time left until the client stops waiting.
	Remaining time.Duration
	// UpstreamID identifies the upstream that the request is intended for.
	UpstreamID string
	// Origin is the service of the instance that received the request from the client.
	Origin string
}

// ResponseAttributes holds the information from an upstream's response besides its status and body.
type ResponseAttributes struct {
	// NotRun is true if the upstream reports that it did not run the request.
	NotRun bool
	// WrongUpstream is true if the response came from a different upstream than the intended one, which did not run the
	// request.
	WrongUpstream bool
	// Signed is true if the response carries a signature, which shows that the upstream itself generated it.
	Signed bool
	// Limited is true if the upstream names a limit, and RateLimit is the limit: the number of requests per second that
	// it accepts from all instances together.
	Limited   bool
	RateLimit float64
	// Leaving is true if the upstream is shutting down.
	Leaving bool
	// ColdFor is how much longer the upstream is cold, if ColdStated is true.
	ColdFor    time.Duration
	ColdStated bool
	// Load is the load that the upstream states, if LoadStated is true.
	Load       UpstreamLoad
	LoadStated bool
	// Malformed describes an attribute that could not be read; it is left out.
	Malformed error
}

// UpstreamLoad is the load that an upstream states in a response.
type UpstreamLoad struct {
	// Running and Waiting are the numbers of requests in progress and queued, and Slots that of requests that it processes
	// concurrently.
	Running, Waiting, Slots int
	// Speed is how long work takes there at that moment, relative to the usual time, zero if the upstream does not say.
	Speed float64
}

// Refused reports whether the upstream that sent the response did not run the request.
func (a ResponseAttributes) Refused() bool { return a.NotRun || a.WrongUpstream }

// MaxSlots is the largest number of slots that an upstream may announce. The length of its queue is a multiple of it.
const MaxSlots = 1 << 16

// Announcement is a heartbeat or deregistration sent by an upstream.
type Announcement struct {
	Upstream sequoiaowner.Upstream
	Address  netip.AddrPort
	Sequence uint64
	// WarmUp is how much longer the upstream is cold, if WarmUpStated is true.
	WarmUp       time.Duration
	WarmUpStated bool
	// Deregistered is true if the upstream deregisters itself.
	Deregistered bool
}

// Dialect translates between the platform's protocol and the types of the router. All fields must be set.
type Dialect struct {
	// ReadRequest parses the headers of a client's request. It returns an error if a header is invalid.
	ReadRequest func(h http.Header) (RequestAttributes, error)
	// PrepareUpstream sets the headers that carry the metadata of a call to an upstream.
	PrepareUpstream func(h http.Header, c UpstreamCall)
	// ReadResponse evaluates the status and headers of an upstream's response.
	ReadResponse func(status int, h http.Header) ResponseAttributes
	// Caller returns the credentials with which a request names its caller, or an empty string if it has none.
	Caller func(h http.Header) string
	// RequestID returns the request ID that a response echoes, or an empty string if it has none.
	RequestID func(h http.Header) string
	// SetRetryAfter sets the header that tells a client when to retry.
	SetRetryAfter func(h http.Header, d time.Duration)
	// ReadAnnouncement parses an upstream's announcement. ok is false if the request is not an announcement.
	ReadAnnouncement func(r *http.Request, body []byte) (a Announcement, ok bool, err error)
	// ReadyPath is the path of the platform's readiness check.
	ReadyPath string
	// Grant and Release return the request that grants keys to the upstream or asks it to release them.
	Grant   func(g sequoiaowner.Grant) (*sequoiahttp.Request, error)
	Release func(r sequoiaowner.Release) (*sequoiahttp.Request, error)
	// Fenced reports whether the upstream rejected a grant because it has seen a higher fence.
	Fenced func(status int) bool
	// Handover returns the handover data from an upstream's response to a release.
	Handover func(h http.Header) string
	// ConfigurationKey is the key of the operator's configuration in the store.
	ConfigurationKey string
	// OperatorPrefix is the prefix of the keys of all items of the operator in the store, ConfigurationKey among them.
	OperatorPrefix string
	// EvacuatedDomain returns the failure domain that is being evacuated while the store holds an item with the key. ok is
	// false for other keys.
	EvacuatedDomain func(key string) (domain string, ok bool)
	// NewStore returns a store client that sends its calls through the given exchange function.
	NewStore func(e sequoiaregistry.RoundTrip) sequoiaregistry.Store
	// ReadConfiguration decodes the operator's configuration.
	ReadConfiguration func(b []byte) (*sequoiaroute.Configuration, error)
}

// drainLimit returns how long a leaving upstream gets requests.
func (s Settings) drainLimit() time.Duration {
	return time.Duration(drainFraction * float64(s.DrainPeriod))
}

// Settings configures one process.
type Settings struct {
	Instance string
	Domain   string
	// Service is the service of the upstream on the instance.
	Service string
	// Upstream is the upstream's address.
	Upstream netip.AddrPort
	// Heartbeat is the interval of the upstream's announcements.
	Heartbeat time.Duration
	// Outbound, Announce and Ready are the listen addresses for client requests, for announcements of the upstream and
	// for readiness checks.
	Outbound, Announce, Ready netip.AddrPort
	// Forward is the listen address for requests from other processes. Metrics is the listen address for metrics; if it
	// is invalid, metrics are not served.
	Forward, Metrics netip.AddrPort
	// FirstStart is true only when the whole deployment starts for the first time.
	FirstStart bool
	// DrainPeriod is how long an upstream may still receive requests after its deregistration was acknowledged.
	DrainPeriod time.Duration
	// GracePeriod is the time from SIGTERM to SIGKILL.
	GracePeriod time.Duration
	// RetryRatio, RetryWindow and RetrySlack limit the total number of retries of all processes: in each window, at
	// most RetryRatio times the number of requests, plus RetrySlack.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64
	// ColdOver and ColdSlack limit what all processes together send to a cold upstream: in each second, at most ColdOver
	// times the service's WarmupRate plus ColdSlack requests. Zero values set no limit beyond WarmupRate.
	ColdOver, ColdSlack float64
	// EvacuationTime is how long after an order to evacuate a failure domain its upstreams may still be sent requests; zero
	// stands for a default.
	EvacuationTime time.Duration
	// MemoryLimit is the memory in bytes above which the platform ends the process, MaxDescriptors the number of file
	// descriptors that it may open, and LinkRate the capacity of the instance's link in bytes per second. Zero values mean
	// that the settings do not say.
	MemoryLimit    int64
	MaxDescriptors int
	LinkRate       float64
}
