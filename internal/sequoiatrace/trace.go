// Package sequoiatrace generates and replays traces of a service. A trace lists the upstreams, the request rate and the
// events that affect the upstreams. A replay simulates several placement and load-balancing policies on a deterministic
// queueing model and compares the results. The only I/O is on the readers and writers that callers pass in.
package sequoiatrace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"

	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaplacement"
)

// ErrTrace is returned for a trace that cannot be replayed.
var ErrTrace = errors.New("not a valid trace")

// Kind is the type of an event.
type Kind string

// Event kinds.
const (
	// KindRate sets the request rate to PerSecond.
	KindRate Kind = "Rate"
	// KindHotKey sends the fraction Share of all requests to Key; zero removes the hot key.
	KindHotKey Kind = "HotKey"
	// KindJoin adds Upstream, which starts cold.
	KindJoin Kind = "Join"
	// KindLeave drains and removes Upstream.
	KindLeave Kind = "Leave"
	// KindLoseDomain makes all upstreams of FailureDomain fail without notice.
	KindLoseDomain Kind = "LoseDomain"
	// KindSlow multiplies the service time of Upstream's requests by Factor.
	KindSlow Kind = "Slow"
	// KindMisreport makes Upstream's load endpoint report ReportedBusySlots instead of the actual load.
	KindMisreport Kind = "Lie"
)

// Upstream describes an upstream.
type Upstream struct {
	ID            uint64
	FailureDomain string
	Slots         int
}

// Header is the first line of a trace.
type Header struct {
	Name       string
	Deployment string
	Service    string
	Divided    bool
	Shards     uint32
	// Keys is the number of keys. Key n is requested with a probability proportional to 1/(n+10).
	Keys            int
	Seed            uint64
	DurationSeconds float64
	// RequestSeconds is the mean service time of a request; service times are exponentially distributed.
	RequestSeconds float64
	Upstreams      []Upstream
	// Cold reports whether the upstreams start cold.
	Cold    bool
	Weights sequoiaplacement.Weights
	// MovesPerMinute, Hysteresis and HotKeyBusySlots are the service's configured balancing parameters.
	MovesPerMinute  int
	Hysteresis      float64
	HotKeyBusySlots float64
}

// Event is an event that occurs At seconds after the start of the trace. Fields that its kind doesn't use are zero.
type Event struct {
	At                float64
	Kind              Kind
	PerSecond         float64   `json:",omitempty"`
	Key               int       `json:",omitempty"`
	Share             float64   `json:",omitempty"`
	Upstream          *Upstream `json:",omitempty"`
	FailureDomain     string    `json:",omitempty"`
	Factor            float64   `json:",omitempty"`
	ReportedBusySlots float64   `json:",omitempty"`
}

// Outcome is the last line of a trace: the bounds that the configured policy must not exceed. They are requirements,
// not results of an earlier run.
type Outcome struct {
	// LongestUnavailableSeconds bounds the time without an owner of any key: 2 s after a failure.
	LongestUnavailableSeconds float64
	// OverloadedSeconds bounds the time in which an upstream receives more work than its slots can process. The hottest
	// keys change within minutes, so balancing must not take more than a few minutes.
	OverloadedSeconds float64
	// MovesPerMinute bounds the balancing moves in every minute; it is the configured limit.
	MovesPerMinute int
	// DepartureSeconds bounds the time in which a leaving upstream still receives new requests.
	DepartureSeconds float64
}

// line is one line of a trace; exactly one field is set.
type line struct {
	Header  *Header  `json:",omitempty"`
	Event   *Event   `json:",omitempty"`
	Outcome *Outcome `json:",omitempty"`
}

// Trace is a recorded or generated sequence of events with its header and its bounds.
type Trace struct {
	Header  Header
	Events  []Event
	Outcome Outcome
}

// Write writes the trace as JSON lines.
func (t *Trace) Write(w io.Writer) error {
	enc := json.NewEncoder(w)
	if err := enc.Encode(line{Header: &t.Header}); err != nil {
		return errors.Wrap(err, "write trace")
	}
	for i := range t.Events {
		if err := enc.Encode(line{Event: &t.Events[i]}); err != nil {
			return errors.Wrap(err, "write trace")
		}
	}
	return errors.Wrap(enc.Encode(line{Outcome: &t.Outcome}), "write trace")
}

// Read parses a trace in the format of Write. For an invalid trace, it returns ErrTrace with the line number, if any.
func Read(r io.Reader) (*Trace, error) {
	t := &Trace{}
	scanner := bufio.NewScanner(r)
	n, done := 0, false
	for scanner.Scan() {
		n++
		if done {
			return nil, errors.Wrapf(ErrTrace, "line %d: unexpected line after the outcome", n)
		}
		var l line
		dec := json.NewDecoder(bytes.NewReader(scanner.Bytes()))
		dec.DisallowUnknownFields()
		if err := dec.Decode(&l); err != nil {
			return nil, errors.Wrapf(ErrTrace, "line %d: %v", n, err)
		}
		switch {
		case l.Header != nil && n == 1:
			t.Header = *l.Header
		case l.Event != nil && n > 1:
			t.Events = append(t.Events, *l.Event)
		case l.Outcome != nil && n > 1:
			t.Outcome = *l.Outcome
			done = true
		default:
			return nil, errors.Wrapf(ErrTrace, "line %d: expected one header, then events, then the outcome", n)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, errors.Wrap(err, "read trace")
	}
	if !done {
		return nil, errors.Wrap(ErrTrace, "the outcome is missing")
	}
	return t, t.validate()
}

// Limits of a trace. They keep a replay to a few seconds and a few megabytes of memory.
const (
	maximumDurationSeconds = 86_400
	maximumRequests        = 20_000_000
	maximumUpstreams       = 1_000
	maximumKeys            = 1_000_000
	maximumSlots           = 10_000
)

func (t *Trace) validate() error {
	h := &t.Header
	switch {
	case h.Shards == 0 || h.Shards > 65_536:
		return errors.Wrapf(ErrTrace, "Shards %d; allowed: 1 to 65536", h.Shards)
	case h.Keys < 1 || h.Keys > maximumKeys:
		return errors.Wrapf(ErrTrace, "Keys %d; allowed: 1 to %d", h.Keys, maximumKeys)
	case h.DurationSeconds <= 0 || h.DurationSeconds > maximumDurationSeconds:
		return errors.Wrapf(ErrTrace, "DurationSeconds %v; allowed: above 0, to %d", h.DurationSeconds, maximumDurationSeconds)
	case h.RequestSeconds <= 0:
		return errors.Wrapf(ErrTrace, "RequestSeconds %v; allowed: above 0", h.RequestSeconds)
	case len(h.Upstreams) == 0 || len(h.Upstreams) > maximumUpstreams:
		return errors.Wrapf(ErrTrace, "%d upstreams; allowed: 1 to %d", len(h.Upstreams), maximumUpstreams)
	}
	known := map[uint64]bool{}
	for _, u := range h.Upstreams {
		if err := validateUpstream(u, known); err != nil {
			return err
		}
	}
	at := 0.0
	for i, e := range t.Events {
		if e.At < at || e.At > h.DurationSeconds {
			return errors.Wrapf(ErrTrace, "event %d at %v s; allowed: in order of time, up to DurationSeconds", i, e.At)
		}
		at = e.At
		if err := e.validate(h, known); err != nil {
			return errors.Wrapf(err, "event %d", i)
		}
	}
	return nil
}

func validateUpstream(u Upstream, known map[uint64]bool) error {
	if u.ID == 0 || known[u.ID] || u.Slots < 1 || u.Slots > maximumSlots {
		return errors.Wrapf(ErrTrace, "upstream %d with %d slots; allowed: an unused ID above 0, 1 to %d slots", u.ID, u.Slots, maximumSlots)
	}
	known[u.ID] = true
	return nil
}

func (e *Event) validate(h *Header, known map[uint64]bool) error {
	switch e.Kind {
	case KindRate:
		if e.PerSecond < 0 || e.PerSecond*h.DurationSeconds > maximumRequests {
			return errors.Wrapf(ErrTrace, "PerSecond %v; allowed: 0 to %v", e.PerSecond, maximumRequests/h.DurationSeconds)
		}
	case KindHotKey:
		if e.Key < 0 || e.Key >= h.Keys || e.Share < 0 || e.Share > 1 {
			return errors.Wrapf(ErrTrace, "Key %d, Share %v; allowed: Key 0 to Keys-1, Share 0 to 1", e.Key, e.Share)
		}
	case KindJoin:
		if e.Upstream == nil {
			return errors.Wrap(ErrTrace, "Upstream is missing")
		}
		return validateUpstream(*e.Upstream, known)
	case KindLeave, KindSlow, KindMisreport:
		if e.Upstream == nil || !known[e.Upstream.ID] {
			return errors.Wrap(ErrTrace, "Upstream is missing or unknown")
		}
		if e.Kind == KindSlow && e.Factor <= 0 {
			return errors.Wrapf(ErrTrace, "Factor %v; allowed: above 0", e.Factor)
		}
	case KindLoseDomain:
	default:
		return errors.Wrapf(ErrTrace, "Kind %q; allowed: Rate, HotKey, Join, Leave, LoseDomain, Slow, Lie", e.Kind)
	}
	return nil
}
