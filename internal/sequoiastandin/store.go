package sequoiastandin

import (
	"context"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the store, the same as those of the platform's store.
const (
	MaxValueBytes      = 1_000_000
	maxRangeItems      = 1000
	defaultRangeItems  = 100
	maxRangeValueBytes = 4 << 20
	maxWait            = time.Minute
)

// StoreFaults configures the faults that the store injects.
type StoreFaults struct {
	// Down makes the store close every connection without a response. It keeps the stored values.
	Down bool
	// DelayMilliseconds is the delay before each call is processed.
	DelayMilliseconds int
	// ErrorEvery makes every n-th call fail with status 503 without being processed. Zero disables it.
	ErrorEvery int
	// DropReplies is the number of next writes that are applied but whose connection is closed without a reply.
	DropReplies int
}

// StoreCounts holds the number of calls of each kind since the store started, failed calls included.
type StoreCounts struct {
	Gets        int64
	Waits       int64
	Puts        int64
	Deletes     int64
	Ranges      int64
	LeaseGrants int64
	LeaseRenews int64
	// PendingWaits is the number of waits in progress.
	PendingWaits int64
}

// Total returns the number of calls of all kinds.
func (c StoreCounts) Total() int64 {
	return c.Gets + c.Waits + c.Puts + c.Deletes + c.Ranges + c.LeaseGrants + c.LeaseRenews
}

type storeItem struct {
	value    []byte
	revision uint64
	lease    uint64
}

// Store is an in-memory key-value store with compare-and-swap, leases and long polls.
type Store struct {
	listener *listener

	mu       sync.Mutex
	revision uint64
	items    map[string]storeItem
	// keys holds the keys of items in ascending order.
	keys      []string
	leases    map[uint64]*storeLease
	nextLease uint64
	// changed is closed and replaced when a value or a fault changes.
	changed chan struct{}
	faults  StoreFaults
	counts  StoreCounts
	calls   int
}

// StartStore starts a store that listens on an address. Port 0 selects a free port.
func StartStore(addr netip.AddrPort) (*Store, error) {
	s := &Store{
		items:   map[string]storeItem{},
		leases:  map[uint64]*storeLease{},
		changed: make(chan struct{}),
	}
	l, err := listen(addr, s.serve)
	if err != nil {
		return nil, err
	}
	s.listener = l
	return s, nil
}

// Addr returns the address that the store listens on.
func (s *Store) Addr() netip.AddrPort {
	return s.listener.addr
}

// Close stops the store and discards its values.
func (s *Store) Close() {
	s.SetFaults(StoreFaults{Down: true})
	s.listener.close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.leases {
		l.timer.Stop()
	}
}

// Counts returns the number of calls so far.
func (s *Store) Counts() StoreCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Faults returns the current faults. DropReplies is the number of replies still to be dropped.
func (s *Store) Faults() StoreFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults replaces the current faults.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.broadcast()
}

// SetDown makes the store unreachable or reachable again.
func (s *Store) SetDown(down bool) {
	f := s.Faults()
	f.Down = down
	s.SetFaults(f)
}

// DropReplies makes the store apply the next n writes but close their connections without a reply.
func (s *Store) DropReplies(n int) {
	f := s.Faults()
	f.DropReplies = n
	s.SetFaults(f)
}

func (s *Store) broadcast() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) serve(w http.ResponseWriter, r *http.Request) {
	path := r.URL.Path
	if strings.HasPrefix(path, "/control/") {
		s.serveControl(w, r)
		return
	}
	if !s.applyFaults(w, r) {
		return
	}
	key, isKey := strings.CutPrefix(path, "/v1/keys/")
	lease, isLease := strings.CutPrefix(path, "/v1/leases/")
	switch {
	case isKey && key != "" && r.Method == http.MethodGet:
		s.serveGet(w, r, key)
	case isKey && key != "" && r.Method == http.MethodPut:
		s.servePut(w, r, key)
	case isKey && key != "" && r.Method == http.MethodDelete:
		s.serveDelete(w, r, key)
	case path == "/v1/range" && r.Method == http.MethodGet:
		s.serveRange(w, r)
	case path == "/v1/leases" && r.Method == http.MethodPost:
		s.serveLeaseGrant(w, r)
	case isLease && r.Method == http.MethodPut:
		s.serveLeaseRenew(w, lease)
	default:
		http.Error(w, "no such resource", http.StatusNotFound)
	}
}

// applyFaults counts the call and applies the faults that precede its processing. It returns false if the call must not
// be processed.
func (s *Store) applyFaults(w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	s.count(r)
	s.calls++
	f := s.faults
	fail := f.ErrorEvery > 0 && s.calls%f.ErrorEvery == 0
	s.mu.Unlock()
	if f.DelayMilliseconds > 0 {
		time.Sleep(time.Duration(f.DelayMilliseconds) * time.Millisecond)
	}
	if f.Down || s.Faults().Down {
		dropConnection(w)
		return false
	}
	if fail {
		http.Error(w, "injected error", http.StatusServiceUnavailable)
		return false
	}
	return true
}

func (s *Store) count(r *http.Request) {
	c := &s.counts
	lease := strings.HasPrefix(r.URL.Path, "/v1/leases")
	switch {
	case lease && r.Method == http.MethodPost:
		c.LeaseGrants++
	case lease:
		c.LeaseRenews++
	case r.URL.Path == "/v1/range":
		c.Ranges++
	case r.Method == http.MethodPut:
		c.Puts++
	case r.Method == http.MethodDelete:
		c.Deletes++
	case r.URL.Query().Has("wait"):
		c.Waits++
	default:
		c.Gets++
	}
}

func (s *Store) serveControl(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/control/faults" && r.Method == http.MethodPost:
		var f StoreFaults
		if readJSON(w, r, &f) {
			s.SetFaults(f)
			writeJSON(w, http.StatusOK, f)
		}
	case r.URL.Path == "/control/faults":
		writeJSON(w, http.StatusOK, s.Faults())
	case r.URL.Path == "/control/counts":
		writeJSON(w, http.StatusOK, s.Counts())
	default:
		http.Error(w, "no such resource", http.StatusNotFound)
	}
}

// allowReply reports whether the reply to an applied write may be sent, and counts DropReplies down if not.
func (s *Store) allowReply() bool {
	if s.faults.DropReplies == 0 {
		return true
	}
	s.faults.DropReplies--
	return false
}

func etag(revision uint64) string {
	return `"` + strconv.FormatUint(revision, 10) + `"`
}

// parseETag parses a quoted revision. It returns false if the text is not one.
func parseETag(s string) (uint64, bool) {
	unquoted, err := strconv.Unquote(s)
	if err != nil {
		return 0, false
	}
	v, err := strconv.ParseUint(unquoted, 10, 64)
	return v, err == nil
}

// get returns the value of a key. It removes a value whose lease has expired.
func (s *Store) get(key string) (storeItem, bool) {
	item, ok := s.items[key]
	if ok && item.lease != 0 && !s.leaseValid(item.lease) {
		s.expire(item.lease)
		return storeItem{}, false
	}
	return item, ok
}

func (s *Store) set(key string, item storeItem) uint64 {
	if _, ok := s.items[key]; !ok {
		i, _ := slices.BinarySearch(s.keys, key)
		s.keys = slices.Insert(s.keys, i, key)
	}
	s.revision++
	item.revision = s.revision
	s.items[key] = item
	s.broadcast()
	return item.revision
}

func (s *Store) remove(key string) {
	if i, ok := slices.BinarySearch(s.keys, key); ok {
		s.keys = slices.Delete(s.keys, i, i+1)
	}
	delete(s.items, key)
	s.revision++
	s.broadcast()
}

func (s *Store) serveGet(w http.ResponseWriter, r *http.Request, key string) {
	q := r.URL.Query()
	wait, errWait := parseOptional(q.Get("wait"))
	after, errAfter := parseOptional(q.Get("after"))
	if errWait != nil || errAfter != nil {
		http.Error(w, "wait and after must be numbers", http.StatusBadRequest)
		return
	}
	timeout := min(time.Duration(wait)*time.Millisecond, maxWait)
	item, found, dropped := s.awaitKey(r.Context(), key, after, timeout)
	switch {
	case dropped:
		dropConnection(w)
	case !found:
		http.Error(w, "no such key", http.StatusNotFound)
	case item.revision <= after:
		w.Header().Set("ETag", etag(item.revision))
		w.WriteHeader(http.StatusNotModified)
	default:
		w.Header().Set("ETag", etag(item.revision))
		w.Header().Set("Content-Length", strconv.Itoa(len(item.value)))
		_, _ = w.Write(item.value)
	}
}

func parseOptional(s string) (uint64, error) {
	if s == "" {
		return 0, nil
	}
	return strconv.ParseUint(s, 10, 32)
}

// awaitKey waits until the revision of a key is above after, the timeout expires or the context is done, and returns
// the current value of the key. It returns dropped if the store is down.
func (s *Store) awaitKey(ctx context.Context, key string, after uint64, timeout time.Duration) (item storeItem, found, dropped bool) {
	deadline := time.NewTimer(timeout)
	defer deadline.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	if timeout > 0 {
		s.counts.PendingWaits++
		defer func() { s.counts.PendingWaits-- }()
	}
	done := timeout <= 0
	for {
		if s.faults.Down {
			return storeItem{}, false, true
		}
		item, found = s.get(key)
		if done || found && item.revision > after {
			return item, found, false
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-deadline.C:
			done = true
		case <-ctx.Done():
			done = true
		}
		s.mu.Lock()
	}
}

func (s *Store) serveDelete(w http.ResponseWriter, r *http.Request, key string) {
	s.mu.Lock()
	item, found := s.get(key)
	allowed := preconditionHolds(r, item, found)
	reply := true
	if found && allowed {
		s.remove(key)
		reply = s.allowReply()
	}
	s.mu.Unlock()
	switch {
	case !reply:
		dropConnection(w)
	case !found:
		http.Error(w, "no such key", http.StatusNotFound)
	case !allowed:
		writePreconditionFailed(w, item, found)
	default:
		w.WriteHeader(http.StatusNoContent)
	}
}

// preconditionHolds checks If-None-Match and If-Match against the current value.
func preconditionHolds(r *http.Request, item storeItem, found bool) bool {
	if r.Header.Get("If-None-Match") == "*" && found {
		return false
	}
	match := r.Header.Get("If-Match")
	if match == "" {
		return true
	}
	revision, ok := parseETag(match)
	return ok && found && revision == item.revision
}

func writePreconditionFailed(w http.ResponseWriter, item storeItem, found bool) {
	if found {
		w.Header().Set("ETag", etag(item.revision))
	}
	http.Error(w, "the precondition does not hold", http.StatusPreconditionFailed)
}

// RangeItem is a key in a range response.
type RangeItem struct {
	Key      string
	Revision uint64
	Value    []byte
}

// RangeResponse holds keys in ascending order. More is true if a limit truncated the list.
type RangeResponse struct {
	Items []RangeItem
	More  bool
}

func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := parseOptional(q.Get("limit"))
	if err != nil {
		http.Error(w, "limit must be a number", http.StatusBadRequest)
		return
	}
	if limit == 0 {
		limit = defaultRangeItems
	}
	if s.Faults().Down {
		dropConnection(w)
		return
	}
	writeJSON(w, http.StatusOK, s.list(q.Get("prefix"), q.Get("after"), int(min(limit, maxRangeItems))))
}

func (s *Store) list(prefix, after string, limit int) RangeResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	start, found := slices.BinarySearch(s.keys, max(prefix, after))
	if found && s.keys[start] == after {
		start++
	}
	var resp RangeResponse
	size := 0
	// The keys are copied since get removes the keys of an expired lease during the iteration.
	for _, key := range slices.Clone(s.keys[start:]) {
		if !strings.HasPrefix(key, prefix) {
			break
		}
		item, ok := s.get(key)
		if !ok {
			continue
		}
		if len(resp.Items) == limit || size > 0 && size+len(item.value) > maxRangeValueBytes {
			resp.More = true
			break
		}
		size += len(item.value)
		resp.Items = append(resp.Items, RangeItem{Key: key, Revision: item.revision, Value: item.value})
	}
	return resp
}
