package main

import (
	"net/http"
	"sync"
	"syscall"
	"time"
)

// playLateHeartbeat checks DRAIN: after a backend has been acknowledged as gone, the process beside it restarts, and a
// heartbeat that the backend sent before arrives.
func playLateHeartbeat(p *play) verdict {
	const (
		drain       = 2000 * time.Millisecond
		stability   = 3000 * time.Millisecond
		restartTime = 500 * time.Millisecond
		// lateness is how long after the acknowledgement the heartbeat arrives.
		lateness = 4000 * time.Millisecond
		// serves is how long the backend goes on serving.
		serves = 4300 * time.Millisecond
	)
	p.configure("stock", false, route("count", "safe", "stock", time.Second, 300*time.Millisecond),
		route("hold", "unsafe", "stock", time.Second, 600*time.Millisecond))
	if err := p.addMachines(3, "stock", 6, false, workOf); err != nil {
		return p.fail("start: %v", err)
	}
	stops := make([]chan struct{}, len(p.machines))
	for i, m := range p.machines {
		stops[i] = make(chan struct{})
		m.keepBeating(stops[i])
	}
	if !p.awaitReady(20*time.Second, "/count/1", false) {
		return p.fail("the deployment does not serve")
	}
	m := p.machines[0]
	var acked, restarted time.Time
	ok := false
	var wg sync.WaitGroup
	wg.Go(func() {
		time.Sleep(5 * time.Second)
		close(stops[0])
		time.Sleep(100 * time.Millisecond)
		beat := m.beat()
		p.rec.log("backend %s sends a heartbeat that is held up: %s", m.backend.id, beat)
		time.Sleep(100 * time.Millisecond)
		if acked, ok = m.deregister(); !ok {
			return
		}
		if p.trouble {
			time.Sleep(100 * time.Millisecond)
			p.rec.log("process of %s is killed", m.name)
			m.signal(syscall.SIGKILL)
			m.awaitExit(time.Second)
			time.Sleep(restartTime)
			_ = m.start()
			restarted = time.Now()
			time.Sleep(time.Until(acked.Add(lateness)))
			p.rec.log("the heartbeat that was held up arrives: acknowledged %t", m.send("call=instances.heartbeat&of="+m.backend.id, beat))
		}
		time.Sleep(time.Until(acked.Add(serves)))
		m.backend.exit()
	})
	for i, began := 0, time.Now(); time.Since(began) < 14*time.Second; i++ {
		wg.Go(func() {
			p.request(p.machines[i%3], http.MethodPost, "/hold/1?work=400", -1, time.Second, nil)
		})
		time.Sleep(20 * time.Millisecond)
	}
	wg.Wait()
	if !ok {
		return p.fail("the backend got no acknowledgement")
	}
	n, lost := 0, 0
	m.backend.mu.Lock()
	defer m.backend.mu.Unlock()
	for _, a := range m.backend.arrivals {
		// The restarted machine is in touch again after the stability.
		if a.at.Sub(acked) > drain && a.at.Sub(restarted) > stability && a.status != 421 {
			if n == 0 {
				p.rec.say("request %s reaches backend %s %d ms after the acknowledgement, %d ms are allowed",
					a.id, m.backend.id, a.at.Sub(acked).Milliseconds(), drain.Milliseconds())
			}
			n++
			if !a.began.IsZero() && a.status == 0 {
				lost++
			}
		}
	}
	p.rec.say("%d requests reach the backend too late; %d of them are broken off by its exit", n, lost)
	if n > 0 {
		return broken
	}
	return held
}
