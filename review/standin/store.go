package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeDelay is the time of one answer of the store.
const storeDelay = 4 * time.Millisecond

type storeItem struct {
	Key       string `json:"key"`
	Value     []byte `json:"value"`
	Revision  uint64 `json:"revision"`
	CreatedAt uint64 `json:"createdAt"`
	LeaseID   uint64 `json:"leaseId"`
	IsDeleted bool   `json:"isDeleted,omitempty"`
}

type txn struct {
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

type lease struct {
	ttl time.Duration
	end time.Time
}

// store is a stand-in for the platform's metadata store.
type store struct {
	rec  *recorder
	addr string
	srv  *http.Server

	// late, if set, decides about a transaction: with a positive duration it gets no answer and is executed after that
	// time if its condition still holds.
	late func(t *txn) time.Duration

	mu       sync.Mutex
	revision uint64
	items    map[string]storeItem
	leases   map[uint64]*lease
	events   []storeItem
	changed  chan struct{}
}

func startStore(rec *recorder) (*store, error) {
	ln, err := listenFree()
	if err != nil {
		return nil, err
	}
	s := &store{
		rec: rec, addr: ln.Addr().String(), revision: 1, items: map[string]storeItem{}, leases: map[uint64]*lease{},
		changed: make(chan struct{}),
	}
	s.srv = &http.Server{Handler: s}
	go func() { _ = s.srv.Serve(ln) }()
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.mu.Lock()
			s.expire()
			s.mu.Unlock()
		}
	}()
	return s, nil
}

// put writes an item. The caller must hold mu.
func (s *store) put(key string, value []byte, lease uint64) {
	s.revision++
	it := storeItem{Key: key, Value: value, Revision: s.revision, CreatedAt: s.revision, LeaseID: lease}
	if old, ok := s.items[key]; ok {
		it.CreatedAt = old.CreatedAt
	}
	s.items[key] = it
	s.events = append(s.events, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

// remove removes an item. The caller must hold mu.
func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.events = append(s.events, storeItem{Key: key, Revision: s.revision, IsDeleted: true})
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire ends the leases that were not renewed. The caller must hold mu.
func (s *store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.end) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	for key, it := range s.items {
		if it.LeaseID == id {
			s.remove(key)
		}
	}
}

// setConfiguration writes the operator's configuration.
func (s *store) setConfiguration(v any) {
	b, _ := json.Marshal(v)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put("op/config", b, 0)
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	q := r.URL.Query()
	switch path := r.URL.Path; {
	case path == "/v1/kv-key":
		s.mu.Lock()
		it, ok := s.items[q.Get("key")]
		at := s.revision
		s.mu.Unlock()
		if !ok {
			reply(w, 404, map[string]any{"at": at})
			return
		}
		reply(w, 200, struct {
			storeItem
			At uint64 `json:"at"`
		}{it, at})
	case path == "/v1/kv-range":
		s.mu.Lock()
		items := []storeItem{}
		for key, it := range s.items {
			if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
				items = append(items, it)
			}
		}
		at := s.revision
		s.mu.Unlock()
		sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
		reply(w, 200, map[string]any{"items": items, "hasMore": false, "at": at})
	case path == "/v1/kv-watch":
		s.watch(w, r)
	case path == "/v1/kv-txn":
		s.transact(w, r)
	case path == "/v1/kv-lease":
		var in struct {
			TTL string `json:"ttl_time"`
		}
		_ = json.NewDecoder(r.Body).Decode(&in)
		ttl, err := time.ParseDuration(in.TTL)
		if err != nil {
			reply(w, 400, nil)
			return
		}
		s.mu.Lock()
		s.revision++
		id := s.revision + 1<<32
		s.leases[id] = &lease{ttl, time.Now().Add(ttl)}
		s.mu.Unlock()
		reply(w, 200, map[string]any{"leaseId": id, "ttl_time": in.TTL})
	case strings.HasPrefix(path, "/v1/kv-keep/"), strings.HasPrefix(path, "/v1/kv-lease-end/"):
		id, _ := strconv.ParseUint(path[strings.LastIndex(path, "/")+1:], 10, 64)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.expire()
		l, ok := s.leases[id]
		if !ok {
			reply(w, 404, nil)
			return
		}
		if strings.HasPrefix(path, "/v1/kv-keep/") {
			l.end = time.Now().Add(l.ttl)
		} else {
			s.endLease(id)
		}
		reply(w, 200, map[string]any{"ttl_time": l.ttl.String()})
	default:
		reply(w, 400, nil)
	}
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timeout := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []storeItem{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, q.Get("prefix")) {
				events = append(events, e)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, 200, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			reply(w, 200, map[string]any{"events": events, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var t txn
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		reply(w, 400, nil)
		return
	}
	if s.late != nil {
		if d := s.late(&t); d > 0 {
			// The answer is lost, and so is all that follows on this connection.
			time.AfterFunc(d, func() {
				status, _ := s.execute(&t)
				s.rec.log("store: the transaction whose answer was lost is executed: %d", status)
			})
			<-r.Context().Done()
			return
		}
	}
	status, v := s.execute(&t)
	reply(w, status, v)
}

// execute applies a transaction if its conditions hold.
func (s *store) execute(t *txn) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	for _, e := range t.Expected {
		if s.items[e.Key].Revision != e.Revision {
			items := []storeItem{}
			for _, e := range t.Expected {
				if it, ok := s.items[e.Key]; ok {
					items = append(items, it)
				}
			}
			return 412, map[string]any{"items": items}
		}
	}
	for _, p := range t.Puts {
		if _, ok := s.leases[p.LeaseID]; p.LeaseID != 0 && !ok {
			return 404, nil
		}
	}
	for _, p := range t.Puts {
		s.put(p.Key, p.Value, p.LeaseID)
	}
	for _, key := range t.Remove {
		s.remove(key)
	}
	return 200, map[string]any{"revision": s.revision}
}
