package sequoiastandin

import (
	"io"
	"net/http"
	"strconv"
	"time"
)

const maxLeaseDuration = time.Hour

type storeLease struct {
	duration time.Duration
	expires  time.Time
	timer    *time.Timer
}

// LeaseRequest is the body of a request for a lease.
type LeaseRequest struct {
	DurationMilliseconds int64
}

// Lease is the response to a request that grants or renews a lease.
type Lease struct {
	ID                   uint64 `json:",string"`
	DurationMilliseconds int64
}

func (s *Store) servePut(w http.ResponseWriter, r *http.Request, key string) {
	value, err := io.ReadAll(io.LimitReader(r.Body, MaxValueBytes+1))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if len(value) > MaxValueBytes {
		http.Error(w, "the value is too large", http.StatusRequestEntityTooLarge)
		return
	}
	lease, err := parseLeaseID(r.URL.Query().Get("lease"))
	if err != nil {
		http.Error(w, "no such lease", http.StatusGone)
		return
	}
	s.mu.Lock()
	if lease != 0 && !s.leaseValid(lease) {
		s.mu.Unlock()
		http.Error(w, "no such lease", http.StatusGone)
		return
	}
	item, found := s.get(key)
	if !preconditionHolds(r, item, found) {
		s.mu.Unlock()
		writePreconditionFailed(w, item, found)
		return
	}
	revision := s.set(key, storeItem{value: value, lease: lease})
	reply := s.allowReply()
	s.mu.Unlock()
	if !reply {
		dropConnection(w)
		return
	}
	w.Header().Set("ETag", etag(revision))
	w.WriteHeader(http.StatusOK)
}

func parseLeaseID(s string) (uint64, error) {
	if s == "" {
		return 0, nil
	}
	return strconv.ParseUint(s, 10, 64)
}

func (s *Store) serveLeaseGrant(w http.ResponseWriter, r *http.Request) {
	var req LeaseRequest
	if !readJSON(w, r, &req) {
		return
	}
	d := time.Duration(req.DurationMilliseconds) * time.Millisecond
	if req.DurationMilliseconds <= 0 || d > maxLeaseDuration {
		http.Error(w, "the lease duration is out of range", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.nextLease++
	id := s.nextLease
	l := &storeLease{duration: d, expires: time.Now().Add(d)}
	l.timer = time.AfterFunc(d, func() { s.onLeaseTimer(id) })
	s.leases[id] = l
	reply := s.allowReply()
	s.mu.Unlock()
	if !reply {
		dropConnection(w)
		return
	}
	writeJSON(w, http.StatusOK, Lease{ID: id, DurationMilliseconds: req.DurationMilliseconds})
}

func (s *Store) serveLeaseRenew(w http.ResponseWriter, rawID string) {
	id, err := strconv.ParseUint(rawID, 10, 64)
	s.mu.Lock()
	valid := err == nil && s.leaseValid(id)
	reply := true
	var d time.Duration
	if valid {
		l := s.leases[id]
		d = l.duration
		l.expires = time.Now().Add(d)
		reply = s.allowReply()
	}
	s.mu.Unlock()
	switch {
	case !valid:
		http.Error(w, "no such lease", http.StatusGone)
	case !reply:
		dropConnection(w)
	default:
		writeJSON(w, http.StatusOK, Lease{ID: id, DurationMilliseconds: d.Milliseconds()})
	}
}

// leaseValid reports whether a lease exists and has not expired. It is exact even if the timer runs late.
func (s *Store) leaseValid(id uint64) bool {
	l := s.leases[id]
	return l != nil && time.Now().Before(l.expires)
}

func (s *Store) onLeaseTimer(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return
	}
	if remaining := time.Until(l.expires); remaining > 0 {
		l.timer.Reset(remaining)
		return
	}
	s.expire(id)
}

// expire removes a lease and the keys that are bound to it.
func (s *Store) expire(id uint64) {
	delete(s.leases, id)
	var bound []string
	for key, item := range s.items {
		if item.lease == id {
			bound = append(bound, key)
		}
	}
	for _, key := range bound {
		s.remove(key)
	}
}
