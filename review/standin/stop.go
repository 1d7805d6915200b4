package main

import (
	"net/http"
	"sync"
	"syscall"
	"time"
)

// playStop checks LOST: a machine gets SIGTERM while backends work on requests that its clients sent before.
func playStop(p *play) verdict {
	const (
		grace    = 6 * time.Second
		deadline = 8 * time.Second
		work     = "5300"
		// before is how long before the SIGTERM the requests are sent; their work ends 4.9 s after it.
		before = 400 * time.Millisecond
	)
	p.configure("stock", false, route("count", "safe", "stock", deadline, 6*time.Second), route("hold", "unsafe", "stock", deadline, 6*time.Second))
	if err := p.addMachines(3, "stock", 6, false, workOf); err != nil {
		return p.fail("start: %v", err)
	}
	for _, m := range p.machines {
		m.keepBeating(nil)
	}
	if !p.awaitReady(20*time.Second, "/count/1", false) {
		return p.fail("the deployment does not serve")
	}
	time.Sleep(4 * time.Second)
	m := p.machines[0]
	answers := make([]answer, 6)
	var wg sync.WaitGroup
	for i := range answers {
		wg.Go(func() {
			method, path := http.MethodGet, "/count/1?work="+work
			if i%2 == 1 {
				method, path = http.MethodPost, "/hold/1?work="+work
			}
			answers[i] = p.request(m, method, path, -1, deadline, nil)
		})
	}
	time.Sleep(before)
	stopped := time.Now()
	if p.trouble {
		p.rec.log("process of %s gets SIGTERM", m.name)
		m.signal(syscall.SIGTERM)
		go func() {
			if !m.awaitExit(grace) {
				m.signal(syscall.SIGKILL)
				m.awaitExit(time.Second)
			}
			time.Sleep(500 * time.Millisecond)
			_ = m.start()
		}()
	}
	wg.Wait()
	result := held
	for _, a := range answers {
		ran := p.run(a.id)
		switch {
		case ran == nil:
			p.rec.say("request %s has not run: %d", a.id, a.status)
		case a.status == 200 && a.signed:
		case ran.status != 0:
			p.rec.say("request %s: its backend ended it with %d, the client got %d", a.id, ran.status, a.status)
			result = broken
		default:
			p.rec.say("request %s was broken off %.2f s after the SIGTERM, %.1f s before the end of the grace period, while its backend was at work; the client got %d (%v)",
				a.id, ran.ended.Sub(stopped).Seconds(), grace.Seconds()-ran.ended.Sub(stopped).Seconds(), a.status, a.err)
			if ran.ended.Sub(stopped) < grace-grace/6 {
				result = broken
			}
		}
	}
	return result
}

// run returns the run of a request, nil if no backend ran it.
func (p *play) run(id string) *arrival {
	for _, m := range p.machines {
		m.backend.mu.Lock()
		for _, a := range m.backend.arrivals {
			if a.id == id && !a.began.IsZero() {
				m.backend.mu.Unlock()
				return a
			}
		}
		m.backend.mu.Unlock()
	}
	return nil
}
