package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeatInterval = 870 * time.Millisecond
	slots             = 6
)

type keyGrant struct {
	from, to, fence uint64
	until           time.Time
}

// backend is a stand-in for the application on a machine. Each start is a new incarnation with a new id.
type backend struct {
	name, service, addr, control string
	sharded                      bool
	// onRun is called for each request that it begins to run, and may answer it.
	onRun func(b *backend, w http.ResponseWriter, r *http.Request, body []byte) bool
	// onGrant is called for each grant that it takes.
	onGrant func(b *backend, id string, g keyGrant)
	// handover returns the token of a release, nil for the usual one.
	handover func(id string) string

	mu       sync.Mutex
	id       string
	born     int64
	life     int
	sequence uint64
	state    string
	srv      *http.Server
	stop     chan struct{}
	grants   []keyGrant
	seen     []keyGrant
	running  map[uint64]int
	idle     *sync.Cond
	slots    chan struct{}
	// answered counts its answers.
	answered int
}

// start begins an incarnation. Its heartbeats begin after the delay.
func (b *backend) start(delay time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.life++
	b.id = fmt.Sprintf("i-%s%d%06x", b.name, b.life, time.Now().UnixMicro()&0xffffff)
	b.born, b.sequence, b.state = time.Now().UnixMilli(), 0, "ready"
	b.grants, b.seen, b.running = nil, nil, map[uint64]int{}
	b.idle = sync.NewCond(&b.mu)
	b.slots = make(chan struct{}, slots)
	b.stop = make(chan struct{})
	life := b.life
	ln, err := net.Listen("tcp", b.addr)
	check(err)
	b.srv = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { b.serve(life, w, r) })}
	go func(s *http.Server) { _ = s.Serve(ln) }(b.srv)
	go b.beat(life, b.stop, delay)
	record("backend %s starts as %s (first heartbeat arrives after %v)", b.name, b.id, delay)
}

// drain makes the backend announce that it is leaving.
func (b *backend) drain() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.state = "draining"
	record("backend %s reports that it is draining", b.name)
}

// crash ends the incarnation: its port closes and its connections are reset.
func (b *backend) crash() {
	b.mu.Lock()
	defer b.mu.Unlock()
	record("backend %s crashes as %s", b.name, b.id)
	close(b.stop)
	_ = b.srv.Close()
}

func (b *backend) beat(life int, stop chan struct{}, delay time.Duration) {
	wait := delay
	for {
		select {
		case <-stop:
			return
		case <-time.After(wait):
		}
		b.mu.Lock()
		if b.life != life {
			b.mu.Unlock()
			return
		}
		b.sequence++
		id := b.id
		body, _ := json.Marshal(map[string]any{
			"service": b.service, "address": b.addr, "zone": "bally", "version": "v1", "slots": slots, "state": b.state,
			"warmupRemaining": "0ms", "sequence": b.sequence, "born": b.born,
		})
		b.mu.Unlock()
		c := http.Client{Timeout: time.Second}
		resp, err := c.Post("http://"+b.control+"/v1/rpc?call=instances.heartbeat&of="+id, "application/json", bytes.NewReader(body))
		wait = heartbeatInterval
		if err != nil || resp.StatusCode != http.StatusOK {
			wait = 200 * time.Millisecond
		}
		if err == nil {
			_ = resp.Body.Close()
		}
	}
}

func (b *backend) serve(life int, w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	b.mu.Lock()
	id := b.id
	b.answered++
	b.mu.Unlock()
	switch r.URL.Path {
	case "/health":
		w.Header().Set("Instance-Id", id)
		return
	case "/v1/grant", "/v1/release":
		b.keyOrder(id, w, r, body)
		return
	}
	attempt := r.Header.Get("Attempt-Id")
	if attempt != "" {
		w.Header().Set("Attempt-Id", attempt)
	}
	refuse := func(status int) {
		w.Header().Set("Not-Executed", "1")
		w.Header().Set("Instance-Id", id)
		w.WriteHeader(status)
	}
	b.mu.Lock()
	key, _ := strconv.ParseUint(r.Header.Get("Shard-Key"), 10, 16)
	if e := r.Header.Get("Expected-Instance"); e != "" && e != id || b.sharded && !b.holds(key) {
		b.mu.Unlock()
		refuse(http.StatusMisdirectedRequest)
		return
	}
	select {
	case b.slots <- struct{}{}:
	default:
		b.mu.Unlock()
		refuse(http.StatusServiceUnavailable)
		return
	}
	b.running[key]++
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		b.running[key]--
		<-b.slots
		b.idle.Broadcast()
		b.mu.Unlock()
	}()
	ran(id, attempt, r, body)
	if b.onRun != nil && b.onRun(b, w, r, body) {
		return
	}
	if work, err := time.ParseDuration(r.URL.Query().Get("work")); err == nil {
		select {
		case <-time.After(work):
		case <-r.Context().Done():
			record("backend %s: the caller of %s closed its connection; dropped", id, attempt)
			return
		}
	}
	w.Header().Set("Response-Signature", "sig."+id+"."+attempt)
	_, _ = io.WriteString(w, "answer of "+id+" to "+attempt+"\n")
}

// holds reports whether it holds a key. The caller holds mu.
func (b *backend) holds(key uint64) bool {
	for _, g := range b.grants {
		if g.from <= key && key <= g.to && time.Now().Before(g.until) {
			return true
		}
	}
	return false
}

func (b *backend) keyOrder(id string, w http.ResponseWriter, r *http.Request, body []byte) {
	var o struct {
		From, To, Fence uint64
		HoldTime        string `json:"hold_time"`
	}
	hold := time.Duration(0)
	if json.Unmarshal(body, &o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	hold, _ = time.ParseDuration(o.HoldTime)
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.URL.Path == "/v1/grant" {
		for _, g := range b.seen {
			if g.from <= o.To && o.From <= g.to && g.fence > o.Fence {
				record("backend %s refuses a grant of keys %d to %d with fence %d", id, o.From, o.To, o.Fence)
				w.WriteHeader(http.StatusConflict)
				return
			}
		}
	}
	var rest []keyGrant
	for _, g := range b.grants {
		if g.from > o.To || g.to < o.From {
			rest = append(rest, g)
			continue
		}
		if g.from < o.From {
			rest = append(rest, keyGrant{g.from, o.From - 1, g.fence, g.until})
		}
		if g.to > o.To {
			rest = append(rest, keyGrant{o.To + 1, g.to, g.fence, g.until})
		}
	}
	b.grants = rest
	if r.URL.Path == "/v1/release" {
		for b.worksOn(o.From, o.To) {
			b.idle.Wait()
		}
		token := fmt.Sprintf("%016x", o.Fence<<16|o.From)
		if b.handover != nil {
			token = b.handover(token)
		}
		record("backend %s released keys %d to %d with fence %d, Lease-Handover %q", id, o.From, o.To, o.Fence, token)
		w.Header().Set("Lease-Handover", token)
		return
	}
	g := keyGrant{o.From, o.To, o.Fence, time.Now().Add(hold)}
	b.grants = append(b.grants, g)
	record("backend %s takes keys %d to %d with fence %d for %v", id, o.From, o.To, o.Fence, hold)
	b.seen = append(b.seen, g)
	if len(b.seen) > 200 {
		b.seen = b.seen[100:]
	}
	if b.onGrant != nil {
		b.onGrant(b, id, g)
	}
}

func (b *backend) worksOn(from, to uint64) bool {
	for key, n := range b.running {
		if n > 0 && from <= key && key <= to {
			return true
		}
	}
	return false
}

// arrival is a request that a backend began to run.
type arrival struct {
	id, attempt, method, target, caller, body string
	at                                        time.Time
}

var (
	arrivalsMu sync.Mutex
	arrivals   []arrival
)

func ran(id, attempt string, r *http.Request, body []byte) {
	a := arrival{id, attempt, r.Method, r.RequestURI, r.Header.Get("Caller-Service"), string(body[:min(len(body), 4096)]), time.Now()}
	arrivalsMu.Lock()
	arrivals = append(arrivals, a)
	arrivalsMu.Unlock()
	record("backend %s runs %s: %s %s", id, attempt, a.method, a.target)
}

func runsOf(attempt string) (out []arrival) {
	arrivalsMu.Lock()
	defer arrivalsMu.Unlock()
	for _, a := range arrivals {
		if a.attempt == attempt {
			out = append(out, a)
		}
	}
	return out
}

func splitHost(addr string) string { return addr[:strings.LastIndex(addr, ":")] }
