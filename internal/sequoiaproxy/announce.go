package sequoiaproxy

import (
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiacontrol"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiafront"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

// Guarantee texts of the response to an announcement. They state what is guaranteed if the upstream behaves as it
// declared, and what is not.
const (
	guaranteeChecked = "Guaranteed: a key has one owner even if this upstream freezes, provided that it rejects, before " +
		"running and again before committing, a request whose Sequoia-Incarnation is not the granted one, whose grant has " +
		"expired, or whose Sequoia-Epoch is lower than the highest seen for its key."
	guaranteeUnchecked = "Guaranteed: no request is started here after the lease has ended, Sequoia-Deadline is no later " +
		"than the end of the lease, and a successor starts after it. Not guaranteed: that a key has one owner if this " +
		"upstream commits a request after Sequoia-Deadline, as it may after a freeze, or if this instance's wall clock is " +
		"set back, which lengthens deadlines by as much. Only an upstream that checks grants is protected when it freezes."
)

// Announcement is the body of POST /v1/announce.
type Announcement struct {
	Service      string
	Address      netip.AddrPort
	Slots        int
	Connections  int
	ChecksGrants bool
	// Load and Healthy may be stale or wrong. They are only exported as metrics and affect no decision.
	Load     float64
	Healthy  bool
	Draining bool
}

// Grant is the response to an announcement. GrantMilliseconds counts from the time at which the announcement was sent.
type Grant struct {
	Incarnation       sequoiatable.IncarnationID
	GrantMilliseconds int64
	Guarantee         string
}

// announcementState is the state of the local upstream according to its announcements.
type announcementState struct {
	mu            sync.Mutex
	lastAnnounced time.Time
	current       sequoiacontrol.Upstream
	present       bool
	// silentIncarnation is the incarnation during which the upstream stopped announcing itself. No upstream is accepted
	// for it again, because unfinished requests of the silent one may still run under it.
	silentIncarnation sequoiatable.IncarnationID
}

// Errors of an announcement.
var (
	errInvalidAnnouncement = errors.New("invalid announcement")
	errOtherUpstream       = errors.New("another upstream has announced itself to this process")
	errIncarnationEnding   = errors.New("the upstream stopped announcing itself; its incarnation is being revoked")
)

func (p *Proxy) serveAnnounce(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	var a Announcement
	body, err := io.ReadAll(r.Body)
	if err == nil {
		err = json.Unmarshal(body, &a)
	}
	if err != nil {
		writeError(w, r, http.StatusBadRequest, errors.Wrap(errInvalidAnnouncement, err.Error()))
		return
	}
	if err := p.acceptAnnouncement(now, a); err != nil {
		status := http.StatusConflict
		if errors.Is(err, errInvalidAnnouncement) {
			status = http.StatusBadRequest
		}
		writeError(w, r, status, err)
		return
	}
	writeJSON(w, r, p.grant(now, a))
}

func (p *Proxy) acceptAnnouncement(now time.Time, a Announcement) error {
	switch {
	case a.Service == "":
		return errors.Wrap(errInvalidAnnouncement, "Service is empty")
	case !a.Address.IsValid() || a.Address.Port() == 0:
		return errors.Wrap(errInvalidAnnouncement, "Address: want IP:port")
	case a.Slots <= 0 || a.Connections <= 0:
		return errors.Wrap(errInvalidAnnouncement, "Slots and Connections: want positive numbers")
	}
	u := sequoiacontrol.Upstream{
		Service: a.Service, Address: a.Address, Slots: a.Slots, Connections: a.Connections,
		ChecksGrants: a.ChecksGrants, Draining: a.Draining,
	}
	changed, err := p.announcements.update(now, u, p.router.Snapshot(), p.announcementTimeout)
	if err != nil {
		return err
	}
	p.metrics.recordAnnouncement(a)
	if !changed {
		return nil
	}
	p.upstream.SetMaxIdle(u.Connections)
	p.router.SetUpstream(now, u)
	if p.OnUpstream != nil {
		p.OnUpstream(u)
	}
	return nil
}

func (a *announcementState) update(
	now time.Time, u sequoiacontrol.Upstream, s *sequoiacontrol.Snapshot, timeout time.Duration,
) (changed bool, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.present && a.current.Address != u.Address {
		return false, errors.Wrap(errOtherUpstream, a.current.Address.String())
	}
	// The announcement timeout may have passed although checkSilence has not run since.
	late := a.present && now.Sub(a.lastAnnounced) >= timeout
	ending := s != nil && a.silentIncarnation == s.Self && a.silentIncarnation != 0 && s.Table.Member(s.Self) != nil
	if late || ending {
		return false, errIncarnationEnding
	}
	changed = !a.present || a.current != u
	a.present, a.current, a.lastAnnounced = true, u, now
	return changed, nil
}

// checkSilence reports the upstream as gone if it has not announced itself within the announcement timeout.
func (p *Proxy) checkSilence(now time.Time) {
	a := &p.announcements
	a.mu.Lock()
	if !a.present || now.Sub(a.lastAnnounced) < p.announcementTimeout {
		a.mu.Unlock()
		return
	}
	gone := a.current
	gone.Gone = true
	a.present = false
	a.silentIncarnation = 0
	if s := p.router.Snapshot(); s != nil {
		a.silentIncarnation = s.Self
	}
	a.mu.Unlock()
	p.router.SetUpstream(now, gone)
	if p.OnUpstream != nil {
		p.OnUpstream(gone)
	}
}

func (p *Proxy) grant(now time.Time, a Announcement) Grant {
	g := Grant{Guarantee: guaranteeUnchecked}
	if a.ChecksGrants {
		g.Guarantee = guaranteeChecked
	}
	if s := p.router.Snapshot(); s != nil {
		g.Incarnation = s.Self
		g.GrantMilliseconds = max(0, s.LeaseEnd.Sub(now).Milliseconds())
	}
	return g
}

func writeError(w http.ResponseWriter, r *http.Request, status int, err error) {
	sequoiafront.WriteResponse(w, r, status, []byte(strconv.Quote(err.Error())+"\n"))
}

func writeJSON(w http.ResponseWriter, r *http.Request, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		writeError(w, r, http.StatusInternalServerError, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	sequoiafront.WriteResponse(w, r, http.StatusOK, body)
}
