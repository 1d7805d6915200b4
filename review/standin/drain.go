package main

import (
	"net/http"
	"sync"
	"time"
)

// playDrain checks DRAIN: requests wait for a backend that has turned slow when it says that it is leaving.
func playDrain(p *play) verdict {
	const (
		drain    = 2000 * time.Millisecond
		deadline = 3000 * time.Millisecond
		aim      = 800 * time.Millisecond
		work     = 280 * time.Millisecond
		slowTime = 9 * time.Second
		// slow is how many times as long requests take then, and onset how long before the backend leaves that begins.
		slow  = 12
		onset = 1100 * time.Millisecond
	)
	var mu sync.Mutex
	factor := 1
	p.configure("stock", false, route("count", "safe", "stock", deadline, aim))
	workNow := func(r *http.Request) time.Duration {
		if r.URL.Query().Get("work") == "" {
			return 5 * time.Millisecond
		}
		mu.Lock()
		defer mu.Unlock()
		return work * time.Duration(factor)
	}
	if err := p.addMachines(3, "stock", 8, false, workNow); err != nil {
		return p.fail("start: %v", err)
	}
	for _, m := range p.machines[1:] {
		m.backend.work = func(r *http.Request) time.Duration {
			if r.URL.Query().Get("work") == "" {
				return 5 * time.Millisecond
			}
			return work
		}
	}
	stops := make([]chan struct{}, len(p.machines))
	for i, m := range p.machines {
		stops[i] = make(chan struct{})
		m.keepBeating(stops[i])
	}
	if !p.awaitReady(20*time.Second, "/count/1", false) {
		return p.fail("the deployment does not serve")
	}
	// 60 requests a second for 24 slots that process 85 a second.
	var wg sync.WaitGroup
	began := time.Now()
	leaving := p.machines[0]
	var acked time.Time
	ok := false
	wg.Go(func() {
		time.Sleep(5 * time.Second)
		if p.trouble {
			p.rec.log("backend %s turns slow: requests take %d times as long", leaving.backend.id, slow)
			mu.Lock()
			factor = slow
			mu.Unlock()
			time.AfterFunc(slowTime, func() {
				mu.Lock()
				defer mu.Unlock()
				factor = 1
			})
		}
		time.Sleep(onset)
		acked, ok = leaving.leave()
		time.Sleep(drain + time.Second)
		leaving.deregister()
		close(stops[0])
		leaving.backend.exit()
	})
	for i := 0; time.Since(began) < 12*time.Second; i++ {
		wg.Go(func() {
			p.request(p.machines[i%3], http.MethodGet, "/count/1?work=1", -1, deadline, nil)
		})
		time.Sleep(16 * time.Millisecond)
	}
	wg.Wait()
	if !ok {
		return p.fail("the backend got no acknowledgement")
	}
	b := leaving.backend
	b.mu.Lock()
	defer b.mu.Unlock()
	result := held
	for _, a := range b.arrivals {
		if late := a.at.Sub(acked); late > drain && a.status != 421 {
			p.rec.say("request %s reaches backend %s %d ms after the acknowledgement, %d ms are allowed; it ends with %d",
				a.id, b.id, late.Milliseconds(), drain.Milliseconds(), a.status)
			result = broken
		}
	}
	return result
}
