package main

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

var cases = map[string]func(){
	"path": casePath, "break-off": caseBreakOff, "quick-restart": caseQuickRestart, "refused": caseRefused, "handover": caseHandover, "restored": caseRestored, "pipelined": casePipelined,
}

// configuration has one keyed service, dispatch, and one without keys, parts.
const configuration = `{"version":7,"services":[` +
	`{"name":"dispatch","healthCheckPath":"/health","maxConnections":110,"protocol":"h1","tls":false,"sharded":true,"warm":"2s","grants":"request"},` +
	`{"name":"parts","healthCheckPath":"/health","maxConnections":110,"protocol":"h1","tls":false}],` +
	`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1048576,"headerTimeout":"3000ms","idleTimeout":"15000ms"},` +
	`"virtualHosts":[{"host":"ficu95.example","paths":[` +
	`{"name":"lookup","prefix":"/lookup/","kind":"safe","timeout":"800ms","targetLatency":"300ms","priority":2,"service":"dispatch","maxAttempts":2},` +
	`{"name":"booking","prefix":"/booking/","kind":"unsafe","timeout":"1000ms","targetLatency":"400ms","priority":1,"service":"dispatch","maxAttempts":2},` +
	`{"name":"audit","prefix":"/audit/","kind":"safe","timeout":"1500ms","targetLatency":"600ms","priority":2,"service":"parts","maxAttempts":2},` +
	`{"name":"plate","prefix":"/plate/","kind":"safe","timeout":"4000ms","targetLatency":"800ms","priority":2,"service":"parts","maxAttempts":2},` +
	`{"name":"reserve","prefix":"/reserve/","kind":"unsafe","timeout":"1500ms","targetLatency":"600ms","priority":2,"service":"parts","maxAttempts":2}]}]}`

// deploy starts the store and one machine for each service.
func deploy(services ...string) (*store, []*machine) {
	s := newStore()
	s.configure(configuration)
	var machines []*machine
	zones := []string{"bally", "shibpur"}
	for i, service := range services {
		machines = append(machines, newMachine(i, service, service == "dispatch", s, zones))
	}
	for _, m := range machines {
		m.backend.start(0)
		m.start()
	}
	awaitReady(machines...)
	return s, machines
}

// casePath checks that a backend gets the path that the client sent.
func casePath() {
	_, ms := deploy("parts", "parts")
	awaitServed(ms[0], "/audit/x", []int{-1}, 20*time.Second)
	time.Sleep(3 * time.Second)
	targets := []string{"/audit/reel%7C7", "/audit/cords%2F7%7Cwhite", "/audit/%5Ba%5D?name=a|b", "/audit/white%5E7"}
	if trouble {
		targets = []string{"/audit/reel|7", "/audit/cords%2F7|white", "/audit/[a]?name=a|b", "/audit/white^7"}
	}
	var changed []string
	for _, target := range targets {
		for _, m := range ms {
			q := request{method: "GET", target: target, attempt: newAttempt(), key: -1, deadline: 1500 * time.Millisecond}
			record("client sends %s: GET %s", q.attempt, q.target)
			a := send(m.outbound, q)
			record("client got %s: %v", q.attempt, a)
			for _, r := range runsOf(q.attempt) {
				if r.target != target {
					changed = append(changed, target+" became "+r.target)
				}
			}
		}
	}
	if len(changed) > 0 {
		broken("UNASKED: %d runs with another path than the client's: %s", len(changed), strings.Join(changed, "; "))
	}
	held("all runs had the client's path")
}

// caseBreakOff checks that a stopping process doesn't break off requests at which the backend is at work.
func caseBreakOff() {
	_, ms := deploy("dispatch", "parts")
	a, b := ms[0], ms[1]
	awaitServed(a, "/audit/x", []int{-1}, 20*time.Second)
	const bookings = 5
	var kept []*client
	for range bookings {
		c, err := dial(a.outbound)
		check(err)
		if got := c.do(request{method: "GET", target: "/audit/x", attempt: newAttempt(), key: -1, deadline: 1500 * time.Millisecond}); got.status != 200 {
			cannotRun("a kept connection isn't served: %v", got)
		}
		kept = append(kept, c)
	}
	time.Sleep(4 * time.Second)
	a.signal(syscall.SIGTERM)
	time.Sleep(200 * time.Millisecond)
	var wg sync.WaitGroup
	answers, ids := make([]answer, bookings), make([]string, bookings)
	for i, c := range kept {
		ids[i] = newAttempt()
		wg.Go(func() {
			q := request{method: "POST", target: "/reserve/spool?work=700ms", attempt: ids[i], key: -1, deadline: 1500 * time.Millisecond, body: "spool"}
			record("client sends %s: POST %s", q.attempt, q.target)
			answers[i] = c.do(q)
			record("client got %s: %v", q.attempt, answers[i])
		})
	}
	time.Sleep(300 * time.Millisecond)
	name := "X-Client-Name: Zoe"
	if trouble {
		name = "X-Client-Name: Zo\xeb"
	}
	q := request{method: "GET", target: "/audit/y", attempt: newAttempt(), key: -1, deadline: 800 * time.Millisecond, extra: []string{name}}
	record("another client sends %s: GET %s with the header %q", q.attempt, q.target, name)
	record("another client got %s: %v", q.attempt, send(a.outbound, q))
	wg.Wait()
	lost := 0
	for i, got := range answers {
		if len(runsOf(ids[i])) == 0 {
			record("%s wasn't run", ids[i])
			continue
		}
		if got.err != nil || got.signature == "" {
			lost++
		}
	}
	if !b.alive() {
		broken("the process %s ended", b.name)
	}
	if lost > 0 {
		broken("LOST: %d of %d requests at which the backend was at work were broken off after the SIGTERM", lost, bookings)
	}
	held("all requests at which the backend was at work were answered")
}

// caseQuickRestart checks that no backend takes a key with a fence that another backend had.
func caseQuickRestart() {
	_, ms := deploy("dispatch", "dispatch", "dispatch", "dispatch", "dispatch")
	type holder struct {
		id    string
		fence uint64
	}
	var mu sync.Mutex
	highest := map[uint64]holder{}
	var violation string
	onGrant := func(b *backend, id string, g keyGrant) {
		mu.Lock()
		defer mu.Unlock()
		for k := g.from; k <= g.to; k++ {
			h, ok := highest[k]
			if ok && h.id != id && g.fence <= h.fence && violation == "" {
				violation = "backend " + id + " took keys that " + h.id + " had with the same fence"
				record("grant to %s: keys %d to %d, fence %d; %s had key %d with fence %d", id, g.from, g.to, g.fence, h.id, k, h.fence)
			}
			if !ok || g.fence >= h.fence {
				highest[k] = holder{id, g.fence}
			}
		}
	}
	for _, m := range ms {
		m.backend.mu.Lock()
		m.backend.onGrant = onGrant
		m.backend.mu.Unlock()
	}
	awaitServed(ms[0], "/lookup/x", []int{1, 20000, 40000, 65000}, 30*time.Second)
	time.Sleep(4 * time.Second)
	for round := range 6 {
		b := ms[round%len(ms)].backend
		if trouble {
			b.crash()
			time.Sleep(500 * time.Millisecond)
			b.start(500 * time.Millisecond)
		}
		time.Sleep(6 * time.Second)
		mu.Lock()
		v := violation
		mu.Unlock()
		if v != "" {
			broken("OWNER: %s", v)
		}
	}
	held("each backend took its keys with a fence above those of the others")
}

// caseRefused checks that an unsafe request that has run isn't answered as one that hasn't.
func caseRefused() {
	_, ms := deploy("dispatch", "parts")
	m, b := ms[0], ms[1].backend
	awaitServed(m, "/audit/x", []int{-1}, 20*time.Second)
	time.Sleep(3 * time.Second)
	var mu sync.Mutex
	n := 0
	b.onRun = func(b *backend, w http.ResponseWriter, r *http.Request, body []byte) bool {
		if !trouble || !strings.HasPrefix(r.URL.Path, "/reserve/") {
			return false
		}
		mu.Lock()
		n++
		fails := n%5 == 2 || n%5 == 4
		mu.Unlock()
		if !fails {
			return false
		}
		time.Sleep(50 * time.Millisecond)
		w.Header().Set("Response-Signature", "sig")
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	}
	refused := 0
	for range 20 {
		q := request{method: "POST", target: "/reserve/spool", attempt: newAttempt(), key: -1, deadline: 1500 * time.Millisecond, body: "spool"}
		record("client sends %s: POST %s", q.attempt, q.target)
		a := send(m.outbound, q)
		record("client got %s: %v", q.attempt, a)
		if len(runsOf(q.attempt)) > 0 && (a.status == 503 || a.status == 429 || a.status == 408 || a.status == 421) {
			refused++
		}
	}
	if refused > 0 {
		broken("REFUSED: %d of 20 unsafe requests ran and were answered 503", refused)
	}
	held("no request that ran was answered as refused")
}

// caseHandover checks that the system recovers from a kill of all processes after a backend has handed out wrong bytes.
func caseHandover() {
	_, ms := deploy("dispatch", "dispatch", "dispatch")
	leaving, staying := ms[0], ms[1:]
	var keys []int
	for k := 0; k < 65536; k += 1024 {
		keys = append(keys, k)
	}
	awaitServed(ms[1], "/lookup/x", []int{1, 20000, 40000, 65000}, 30*time.Second)
	time.Sleep(4 * time.Second)
	load := func(what string, d time.Duration) (served, sent int) {
		for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(15 * time.Millisecond) {
			m, key := staying[sent%len(staying)], keys[sent*7%len(keys)]
			q := request{method: "GET", target: "/lookup/x", attempt: newAttempt(), key: key, deadline: 800 * time.Millisecond}
			a := send(m.outbound, q)
			record("%s, key %d at %s: %v", q.attempt, key, m.name, a)
			if sent++; a.err == nil && a.status == http.StatusOK && a.signature != "" {
				served++
			}
		}
		record("%s: %d of %d requests served", what, served, sent)
		return served, sent
	}
	// Garbling lasts for garbleTime. In that time the backend spoils one byte of one of its answers, the first one to a
	// release.
	const garbleTime = 5 * time.Second
	var spoilt sync.Once
	leaving.backend.mu.Lock()
	leaving.backend.handover = func(token string) string {
		if trouble {
			spoilt.Do(func() { token = token[:8] + "\xd9" + token[9:] })
		}
		return token
	}
	answered := leaving.backend.answered
	leaving.backend.mu.Unlock()
	quiet := make(chan struct{})
	go func() {
		defer close(quiet)
		load("while a backend garbles", garbleTime)
	}()
	time.Sleep(3 * time.Second)
	leaving.backend.drain()
	<-quiet
	leaving.backend.mu.Lock()
	answered = leaving.backend.answered - answered
	leaving.backend.mu.Unlock()
	record("the leaving backend answered %d calls while it garbled, of which it spoilt one (%.1f%%)", answered, 100/float64(max(1, answered)))
	time.Sleep(2 * time.Second)
	before, sentBefore := load("before the final fault", 5*time.Second)
	for _, m := range staying {
		m.signal(syscall.SIGKILL)
	}
	leaving.signal(syscall.SIGTERM)
	time.Sleep(1500 * time.Millisecond)
	for _, m := range staying {
		m.kill()
		m.start()
	}
	time.Sleep(1500*time.Millisecond + 15*time.Second)
	served, sent := load("later than recovery after the machines are back", 10*time.Second)
	if 4*before < sentBefore {
		cannotRun("less than a quarter was served before the final fault: %d of %d", before, sentBefore)
	}
	if 4*served < sent {
		broken("RECOVER: %d of %d requests served later than recovery, %d of %d before the final fault", served, sent, before, sentBefore)
	}
	held("%d of %d requests served later than recovery, %d of %d before the final fault", served, sent, before, sentBefore)
}

// fencesOfEra is how many fences the system gives out between two restores of the store before they reach those that it takes
// for fences of the next era.
const fencesOfEra = 1 << 20

// ageTable makes the table of keys in the store what it is after fencesOfEra further changes: the highest fence, to which those
// of the ranges are relative, is the last number of the value (CBOR, 4 bytes). It returns both values of it.
func ageTable(s *store) (before, after uint32) {
	s.locked(func() {
		for key, it := range s.items {
			n := len(it.Value)
			if n < 6 || it.Value[0] != 0x83 || it.Value[n-5] != 0x1a || it.LeaseID != 0 {
				continue
			}
			v := bytes.Clone(it.Value)
			before = binary.BigEndian.Uint32(v[n-4:])
			after = before + fencesOfEra
			binary.BigEndian.PutUint32(v[n-4:], after)
			s.put(key, v, 0)
			return
		}
	})
	return before, after
}

// caseRestored checks that no key is taken with an older fence, nor held by two backends, after the store came back from a copy.
func caseRestored() {
	s, ms := deploy("dispatch", "dispatch", "dispatch")
	awaitServed(ms[0], "/lookup/x", []int{1, 20000, 40000, 65000}, 30*time.Second)
	time.Sleep(2 * time.Second)
	for _, m := range ms {
		m.signal(syscall.SIGKILL)
		m.kill()
	}
	if os.Getenv("AGED") != "0" {
		before, after := ageTable(s)
		if before == 0 {
			cannotRun("no table in the store")
		}
		record("the table has the fences of a system that has changed it %d times more: %d in place of %d", fencesOfEra, after, before)
	}
	for _, m := range ms {
		m.start()
	}
	awaitReady(ms...)
	awaitServed(ms[0], "/lookup/x", []int{1, 20000, 40000, 65000}, 30*time.Second)

	type holder struct {
		id    string
		fence uint64
	}
	var mu sync.Mutex
	highest := map[uint64]holder{}
	older, twice := "", ""
	for _, m := range ms {
		m.backend.mu.Lock()
		m.backend.onGrant = func(b *backend, id string, g keyGrant) {
			mu.Lock()
			defer mu.Unlock()
			for k := g.from; k <= g.to; k++ {
				h := highest[k]
				if h.id != "" && h.id != id && g.fence <= h.fence && older == "" {
					older = fmt.Sprintf("%s took key %d with fence %d after %s had it with %d", id, k, g.fence, h.id, h.fence)
					record("grant to %s: keys %d to %d, fence %d; %s", id, g.from, g.to, g.fence, older)
				}
				if g.fence >= h.fence {
					highest[k] = holder{id, g.fence}
				}
			}
		}
		m.backend.mu.Unlock()
	}
	// Looks every 10 ms for a key that two backends hold.
	go func() {
		since := map[int]time.Time{}
		for ; ; time.Sleep(10 * time.Millisecond) {
			for key := 0; key < 65536; key += 512 {
				var ids []string
				for _, m := range ms {
					m.backend.mu.Lock()
					if m.backend.holds(uint64(key)) {
						ids = append(ids, m.backend.id)
					}
					m.backend.mu.Unlock()
				}
				if len(ids) < 2 {
					delete(since, key)
					continue
				}
				if since[key].IsZero() {
					since[key] = time.Now()
				}
				mu.Lock()
				if time.Since(since[key]) > 500*time.Millisecond && twice == "" {
					twice = fmt.Sprintf("%v hold key %d for over 0.5 s", ids, key)
					record("%s", twice)
				}
				mu.Unlock()
			}
		}
	}()
	time.Sleep(5 * time.Second)
	c := s.takeCopy()
	record("the store is copied")
	ms[0].signal(syscall.SIGTERM)
	select {
	case <-ms[0].ended:
	case <-time.After(6 * time.Second):
		ms[0].kill()
	}
	record("process %s has ended", ms[0].name)
	time.Sleep(500 * time.Millisecond)
	ms[0].start()
	awaitReady(ms[0])
	time.Sleep(time.Second)
	if trouble {
		record("the store is away")
		s.locked(func() { s.down = true })
		time.Sleep(300 * time.Millisecond)
		s.restore(c)
		s.locked(func() { s.down = false })
		record("the store is back from the copy")
	}
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		m, key := ms[attempts.n%3], attempts.n*977%65536
		q := request{method: "GET", target: "/lookup/x", attempt: newAttempt(), key: key, deadline: 800 * time.Millisecond}
		record("%s, key %d at %s: %v", q.attempt, key, m.name, send(m.outbound, q))
	}
	mu.Lock()
	o, t := older, twice
	mu.Unlock()
	if o != "" || t != "" {
		broken("OWNER: %s; %s", o, t)
	}
	held("no key was taken with an older fence or held by two backends")
}

// plateBytes is the size of the answer that the client is slow to read: more than the sockets on the way hold.
const plateBytes = 6 << 20

// casePipelined checks that a stopping process answers a request that it has passed on, although it was sent behind another one.
func casePipelined() {
	_, ms := deploy("dispatch", "parts")
	a, b := ms[0], ms[1].backend
	b.onRun = func(b *backend, w http.ResponseWriter, r *http.Request, body []byte) bool {
		if r.URL.Path != "/plate/large" {
			return false
		}
		w.Header().Set("Response-Signature", "sig."+r.Header.Get("Attempt-Id"))
		w.Header().Set("Content-Length", strconv.Itoa(plateBytes))
		_, _ = w.Write(bytes.Repeat([]byte("p"), plateBytes))
		return true
	}
	awaitServed(a, "/plate/x", []int{-1}, 20*time.Second)
	dialer := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 16<<10) })
	}}
	conn, err := dialer.Dial("tcp", a.outbound)
	check(err)
	r := bufio.NewReader(conn)
	send := func(target string) string {
		id := newAttempt()
		record("client sends %s: GET %s", id, target)
		fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: 4000\r\n\r\n", target, host, id)
		return id
	}
	receive := func(id string) (complete bool) {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			record("client got no answer to %s: %v", id, err)
			return false
		}
		n, err := io.Copy(io.Discard, resp.Body)
		record("client got %s: %d, %d bytes, %v, closes %v", id, resp.StatusCode, n, err, resp.Close)
		return err == nil
	}
	_ = conn.SetDeadline(time.Now().Add(60 * time.Second))
	if !receive(send("/plate/kept")) {
		cannotRun("the kept connection isn't served")
	}
	time.Sleep(4 * time.Second)
	if trouble {
		a.signal(syscall.SIGTERM)
	}
	time.Sleep(200 * time.Millisecond)
	start := time.Now()
	first := send("/plate/large")
	time.Sleep(200 * time.Millisecond)
	second := send("/plate/second")
	time.Sleep(300 * time.Millisecond)
	record("the client begins to read %d ms after its first request", time.Since(start).Milliseconds())
	if !receive(first) {
		cannotRun("the first request wasn't answered")
	}
	answered := receive(second)
	record("%d ms after the first request", time.Since(start).Milliseconds())
	runs := len(runsOf(second))
	if runs == 0 {
		held("the second request wasn't passed on")
	}
	if !answered {
		broken("LOST: the second request was passed on and run, and the connection ended without an answer to it")
	}
	held("the second request was passed on and answered")
}
