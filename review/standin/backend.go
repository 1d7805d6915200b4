package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const keys = 1 << 16

// keyEvent is a change of what a backend holds.
type keyEvent struct {
	at       time.Time
	from, to int
	// until is the end of the hold, zero after a release.
	until time.Time
	fence uint64
}

// arrival is a request that reached a backend.
type arrival struct {
	id    string
	key   int
	at    time.Time
	began time.Time
	ended time.Time
	// rejected is true if the backend did not run the request.
	rejected bool
	status   int
}

// backend is a stand-in for a server of a service.
type backend struct {
	rec     *recorder
	id      string
	service string
	slots   int
	sharded bool
	// work returns how long a request takes.
	work func(r *http.Request) time.Duration

	addr string
	srv  *http.Server
	born int64

	mu       sync.Mutex
	free     chan struct{}
	seen     [keys]uint64
	until    [keys]time.Time
	running  [keys]int
	idle     chan struct{}
	events   []keyEvent
	arrivals []*arrival
	waiting  int
	// sequence and state are what the heartbeats say.
	sequence int
	state    string
	// leaving is true once the backend has said that it leaves; its answers then say so too.
	leaving bool
	// onRelease is called when a release has been answered.
	onRelease func()
}

func startBackend(rec *recorder, id, service string, slots int, sharded bool, work func(r *http.Request) time.Duration) (*backend, error) {
	ln, err := listenFree()
	if err != nil {
		return nil, err
	}
	b := &backend{
		rec: rec, id: id, service: service, slots: slots, sharded: sharded, work: work, addr: ln.Addr().String(),
		born: time.Now().UnixMilli(), free: make(chan struct{}, slots), idle: make(chan struct{}), state: "ready",
	}
	for range slots {
		b.free <- struct{}{}
	}
	b.srv = &http.Server{Handler: b}
	go func() { _ = b.srv.Serve(ln) }()
	return b, nil
}

// exit ends the backend. What it runs is broken off.
func (b *backend) exit() {
	b.rec.log("backend %s exits", b.id)
	_ = b.srv.Close()
}

func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Instance-Id", b.id)
	switch r.URL.Path {
	case "/v1/grant":
		b.grant(w, r)
	case "/v1/release":
		b.release(w, r)
	default:
		b.run(w, r)
	}
}

type keyOrder struct {
	From     int    `json:"from"`
	To       int    `json:"to"`
	Fence    uint64 `json:"fence"`
	HoldTime string `json:"hold_time"`
	Handover string `json:"handover"`
}

func readOrder(r *http.Request) (o keyOrder, ok bool) {
	err := json.NewDecoder(r.Body).Decode(&o)
	return o, err == nil && o.From >= 0 && o.From <= o.To && o.To < keys
}

func (b *backend) grant(w http.ResponseWriter, r *http.Request) {
	at := time.Now()
	o, ok := readOrder(r)
	hold, err := time.ParseDuration(o.HoldTime)
	if !ok || err != nil {
		w.WriteHeader(400)
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for k := o.From; k <= o.To; k++ {
		if b.seen[k] > o.Fence {
			b.rec.logAt(at, "backend %s refuses keys %d-%d with fence %d: it has seen %d", b.id, o.From, o.To, o.Fence, b.seen[k])
			w.WriteHeader(409)
			return
		}
	}
	if !b.until[o.From].After(at) || b.seen[o.From] != o.Fence {
		b.rec.logAt(at, "backend %s is granted keys %d-%d with fence %d for %s", b.id, o.From, o.To, o.Fence, o.HoldTime)
	}
	for k := o.From; k <= o.To; k++ {
		b.seen[k], b.until[k] = o.Fence, at.Add(hold)
	}
	b.events = append(b.events, keyEvent{at, o.From, o.To, at.Add(hold), o.Fence})
	w.WriteHeader(200)
}

func (b *backend) release(w http.ResponseWriter, r *http.Request) {
	at := time.Now()
	o, ok := readOrder(r)
	if !ok {
		w.WriteHeader(400)
		return
	}
	b.mu.Lock()
	for k := o.From; k <= o.To; k++ {
		b.until[k] = time.Time{}
	}
	b.events = append(b.events, keyEvent{at, o.From, o.To, time.Time{}, o.Fence})
	for b.busy(o.From, o.To) {
		idle := b.idle
		b.mu.Unlock()
		<-idle
		b.mu.Lock()
	}
	onRelease := b.onRelease
	b.mu.Unlock()
	b.rec.logAt(at, "backend %s releases keys %d-%d with fence %d", b.id, o.From, o.To, o.Fence)
	w.Header().Set("Lease-Handover", fmt.Sprintf("%016x", rand.Uint64()))
	w.WriteHeader(200)
	if onRelease != nil {
		onRelease()
	}
}

// busy reports whether work is running on some of the keys. The caller must hold mu.
func (b *backend) busy(from, to int) bool {
	for k := from; k <= to; k++ {
		if b.running[k] > 0 {
			return true
		}
	}
	return false
}

func (b *backend) run(w http.ResponseWriter, r *http.Request) {
	a := &arrival{id: r.Header.Get("Attempt-Id"), at: time.Now(), key: -1}
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("Attempt-Id", a.id)
	deadline, err := strconv.ParseFloat(r.Header.Get("Deadline-Ms"), 64)
	if err != nil {
		deadline = 1000
	}
	end := a.at.Add(time.Duration(deadline * float64(time.Millisecond)))
	if v := r.Header.Get("Shard-Key"); v != "" {
		a.key, _ = strconv.Atoi(v)
	}
	b.mu.Lock()
	b.arrivals = append(b.arrivals, a)
	holds := !b.sharded || a.key >= 0 && a.key < keys && b.until[a.key].After(a.at)
	full := b.waiting >= 24
	b.mu.Unlock()
	reject := func(status int) {
		a.rejected, a.status = true, status
		b.rec.logAt(a.at, "backend %s rejects request %s: %d", b.id, a.id, status)
		w.Header().Set("Not-Executed", "1")
		b.mu.Lock()
		if b.leaving {
			w.Header().Set("Server-Leaving", "1")
		}
		b.mu.Unlock()
		w.WriteHeader(status)
	}
	switch expected := r.Header.Get("Expected-Instance"); {
	case expected != "" && expected != b.id || !holds:
		reject(421)
		return
	case a.id == "":
		reject(400)
		return
	case full:
		reject(503)
		return
	}
	b.mu.Lock()
	b.waiting++
	b.mu.Unlock()
	inTime := false
	select {
	case <-b.free:
		inTime = true
	case <-time.After(time.Until(end)):
	case <-r.Context().Done():
	}
	b.mu.Lock()
	b.waiting--
	b.mu.Unlock()
	if !inTime {
		reject(503)
		return
	}
	defer func() { b.free <- struct{}{} }()
	work := b.work(r)
	b.mu.Lock()
	a.began = time.Now()
	if a.key >= 0 {
		b.running[a.key]++
	}
	b.mu.Unlock()
	b.rec.logAt(a.began, "backend %s runs request %s (key %d)", b.id, a.id, a.key)
	status := 200
	select {
	case <-time.After(work):
	case <-time.After(time.Until(end)):
		status = 504
	case <-r.Context().Done():
		status = 0
	}
	b.mu.Lock()
	a.ended, a.status = time.Now(), status
	if a.key >= 0 {
		b.running[a.key]--
		if status == 200 && b.sharded && !b.until[a.key].After(a.ended) && !b.until[a.key].IsZero() {
			status = 500
		}
	}
	close(b.idle)
	b.idle = make(chan struct{})
	if b.leaving {
		w.Header().Set("Server-Leaving", "1")
	}
	b.mu.Unlock()
	if status == 0 {
		b.rec.logAt(a.ended, "backend %s drops request %s: its connection was closed", b.id, a.id)
		return
	}
	b.rec.logAt(a.ended, "backend %s ends request %s: %d", b.id, a.id, status)
	w.Header().Set("Response-Signature", b.id+"."+a.id)
	w.Header().Set("Content-Type", "text/plain")
	w.WriteHeader(status)
	_, _ = io.WriteString(w, b.id+" "+a.id+"\n")
}

// holds returns the intervals in which a backend held a key.
func (b *backend) holds(key int) (out [][2]time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var from, until time.Time
	for _, e := range b.events {
		if key < e.from || key > e.to {
			continue
		}
		if !until.IsZero() && !until.After(e.at) {
			out = append(out, [2]time.Time{from, until})
			until = time.Time{}
		}
		switch {
		case e.until.IsZero() && !until.IsZero():
			out = append(out, [2]time.Time{from, e.at})
			until = time.Time{}
		case e.until.IsZero():
		case until.IsZero():
			from, until = e.at, e.until
		default:
			until = e.until
		}
	}
	if !until.IsZero() {
		out = append(out, [2]time.Time{from, until})
	}
	return out
}
