package main

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeItem is an item of the platform's store, or a change event of one.
type storeItem struct {
	Key       string `json:"key"`
	Value     []byte `json:"value"`
	Revision  uint64 `json:"revision"`
	CreatedAt uint64 `json:"createdAt"`
	LeaseID   uint64 `json:"leaseId"`
	IsDeleted bool   `json:"isDeleted,omitempty"`
}

type storeLease struct {
	ttl   time.Duration
	until time.Time
}

// storeCopy is a state to which the store may be restored.
type storeCopy struct {
	items    map[string]storeItem
	leases   map[uint64]storeLease
	revision uint64
}

// store is a stand-in for the platform's metadata store.
type store struct {
	addr string

	mu       sync.Mutex
	changed  chan struct{}
	items    map[string]storeItem
	events   []storeItem
	leases   map[uint64]storeLease
	revision uint64
	era      uint64
	down     bool
}

func newStore() *store {
	s := &store{
		changed: make(chan struct{}), items: map[string]storeItem{}, leases: map[uint64]storeLease{}, revision: 1, era: 1,
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	s.addr = ln.Addr().String()
	go func() { _ = http.Serve(ln, s) }()
	go func() {
		for {
			time.Sleep(20 * time.Millisecond)
			s.locked(s.expire)
		}
	}()
	return s
}

func (s *store) locked(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) put(key string, value []byte, lease uint64) {
	s.revision++
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.CreatedAt
	}
	it := storeItem{Key: key, Value: value, Revision: s.revision, CreatedAt: created, LeaseID: lease}
	s.items[key] = it
	s.events = append(s.events, it)
	s.notify()
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.revision++
	s.events = append(s.events, storeItem{Key: key, Revision: s.revision, IsDeleted: true})
	s.notify()
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if s.items[key].LeaseID == id {
			s.remove(key)
		}
	}
}

func (s *store) expire() {
	for id, l := range s.leases {
		if time.Now().After(l.until) {
			s.endLease(id)
		}
	}
}

// configure writes the operator's configuration.
func (s *store) configure(text string) {
	s.locked(func() { s.put("op/config", []byte(text), 0) })
}

func (s *store) takeCopy() (c storeCopy) {
	s.locked(func() { c = storeCopy{maps.Clone(s.items), maps.Clone(s.leases), s.revision} })
	return c
}

// restore returns to a copy. The operator writes its configuration again.
func (s *store) restore(c storeCopy) {
	s.locked(func() {
		cfg := s.items["op/config"]
		s.items, s.revision = maps.Clone(c.items), c.revision
		s.leases = map[uint64]storeLease{}
		for id, l := range c.leases {
			l.until = time.Now().Add(l.ttl)
			s.leases[id] = l
		}
		s.events = slices.DeleteFunc(s.events, func(e storeItem) bool { return e.Revision > c.revision })
		s.era++
		s.put("op/config", cfg.Value, 0)
	})
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	if r.URL.Path == "/v1/kv-watch" {
		s.watch(w, r)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	if s.down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.expire()
	q := r.URL.Query()
	lease, _ := strconv.ParseUint(r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:], 10, 64)
	switch {
	case r.URL.Path == "/v1/kv-key":
		it, ok := s.items[q.Get("key")]
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, it)
	case r.URL.Path == "/v1/kv-range":
		items := []storeItem{}
		for key, it := range s.items {
			if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
				items = append(items, it)
			}
		}
		sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
		reply(w, map[string]any{"items": items, "hasMore": false, "at": s.revision})
	case r.URL.Path == "/v1/kv-lease":
		var in struct {
			TTL string `json:"ttl_time"`
		}
		_ = json.NewDecoder(r.Body).Decode(&in)
		ttl, _ := time.ParseDuration(in.TTL)
		ttl = max(ttl, time.Second)
		s.revision++
		s.leases[s.revision] = storeLease{ttl, time.Now().Add(ttl)}
		reply(w, map[string]any{"leaseId": s.revision, "ttl_time": in.TTL})
	case strings.HasPrefix(r.URL.Path, "/v1/kv-keep/"):
		l, ok := s.leases[lease]
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		l.until = time.Now().Add(l.ttl)
		s.leases[lease] = l
		reply(w, map[string]any{})
	case strings.HasPrefix(r.URL.Path, "/v1/kv-lease-end/"):
		s.endLease(lease)
		reply(w, map[string]any{})
	case r.URL.Path == "/v1/kv-txn":
		s.transact(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"expected"`
		Puts []struct {
			Key     string `json:"key"`
			Value   []byte `json:"value"`
			LeaseID uint64 `json:"leaseId"`
		} `json:"puts"`
		Remove []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	current, met := []storeItem{}, true
	for _, e := range t.Expected {
		it, ok := s.items[e.Key]
		met = met && it.Revision == e.Revision
		if ok {
			current = append(current, it)
		}
	}
	if !met {
		w.WriteHeader(http.StatusPreconditionFailed)
		reply(w, map[string]any{"items": current})
		return
	}
	for _, p := range t.Puts {
		if _, ok := s.leases[p.LeaseID]; p.LeaseID != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	for _, p := range t.Puts {
		s.put(p.Key, p.Value, p.LeaseID)
	}
	for _, key := range t.Remove {
		s.remove(key)
	}
	reply(w, map[string]any{"revision": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	over := false
	for {
		s.mu.Lock()
		w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
		events, at, down, changed := []storeItem{}, s.revision, s.down, s.changed
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, q.Get("prefix")) {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		switch {
		case down:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case after > at:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0 || over:
			reply(w, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-end:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}
