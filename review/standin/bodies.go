package main

import (
	"bytes"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// maxBodyBytes is the limit of a request's body in the configuration.
const maxBodyBytes = 67108864

// memoryLimit is limits.memoryMb of the small sites, in bytes.
const memoryLimit = 284 << 20

// memory returns the resident memory of a machine's process.
func (m *machine) memory() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	select {
	case <-m.exited:
		return 0
	default:
	}
	b, _ := os.ReadFile("/proc/" + strconv.Itoa(m.process.Process.Pid) + "/statm")
	fields := strings.Fields(string(b))
	if len(fields) < 3 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1])
	return pages * os.Getpagesize()
}

// limitMemory kills the process of a machine whenever it exceeds its memory, and starts it again, as the platform does.
func (m *machine) limitMemory(kills *atomic.Int64, peak *atomic.Int64) {
	for m.fleet.ctx.Err() == nil {
		n := m.memory()
		if int64(n) > peak.Load() {
			peak.Store(int64(n))
		}
		if n > memoryLimit {
			m.fleet.rec.say("process of %s has %d MB of %d MB and is killed", m.name, n>>20, memoryLimit>>20)
			kills.Add(1)
			m.signal(syscall.SIGKILL)
			m.awaitExit(time.Second)
			time.Sleep(500 * time.Millisecond)
			_ = m.start()
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// playBodies checks that processes stay within their memory while clients send bodies that the configuration allows.
func playBodies(p *play) verdict {
	const (
		rounds   = 3
		deadline = 3 * time.Second
	)
	size := 60 << 20
	if !p.trouble {
		size = 1200
	}
	p.configure("stock", false, route("count", "safe", "stock", deadline, time.Second), route("hold", "unsafe", "stock", deadline, time.Second))
	if err := p.addMachines(3, "stock", 6, false, workOf); err != nil {
		return p.fail("start: %v", err)
	}
	for _, m := range p.machines {
		m.keepBeating(nil)
	}
	if !p.awaitReady(20*time.Second, "/count/1", false) {
		return p.fail("the deployment does not serve")
	}
	kills := make([]atomic.Int64, len(p.machines))
	peaks := make([]atomic.Int64, len(p.machines))
	for i, m := range p.machines {
		go m.limitMemory(&kills[i], &peaks[i])
	}
	// Each machine also has four clients that keep their connections.
	var others, large sync.WaitGroup
	var cut atomic.Int64
	stop := make(chan struct{})
	for _, m := range p.machines {
		for range 4 {
			others.Go(func() { p.keepAsking(m, deadline, stop, &cut) })
		}
	}
	body := make([]byte, size)
	for range rounds {
		time.Sleep(5 * time.Second)
		for _, m := range p.machines[:2] {
			large.Go(func() {
				p.rec.log("client of %s sends a body of %d bytes; the configuration allows %d", m.name, size, maxBodyBytes)
				p.request(m, http.MethodPost, "/hold/1?work=50", -1, deadline, bytes.NewReader(body))
			})
		}
		large.Wait()
	}
	time.Sleep(time.Second)
	close(stop)
	others.Wait()
	machines := 0
	for i, m := range p.machines {
		p.rec.say("process of %s: at most %d MB, killed %d times", m.name, peaks[i].Load()>>20, kills[i].Load())
		if kills[i].Load() >= rounds {
			machines++
		}
	}
	p.rec.say("%d other requests, which backends were running, got no answer", cut.Load())
	if machines >= 2 || cut.Load() > 3 {
		return broken
	}
	return held
}

// keepAsking sends small requests on kept connections, one after the other, and counts those that were running at a
// backend when their connection was closed.
func (p *play) keepAsking(m *machine, deadline time.Duration, stop <-chan struct{}, cut *atomic.Int64) {
	kept := &http.Transport{DisableCompression: true, MaxConnsPerHost: 1}
	defer kept.CloseIdleConnections()
	for {
		select {
		case <-stop:
			return
		default:
		}
		a := p.requestOn(kept, m, http.MethodGet, "/count/1?work=200", -1, deadline, nil)
		if ran := p.run(a.id); a.err != nil && ran != nil && ran.status == 0 {
			cut.Add(1)
		}
		if a.status != 200 {
			time.Sleep(200 * time.Millisecond)
		}
	}
}
