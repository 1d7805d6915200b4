package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// playMoves checks OWNER: a process that moves keys is killed while its write of the move has got no answer from the store,
// and the store executes that write a few seconds later.
func playMoves(p *play) verdict {
	const (
		storeLate   = 3 * time.Second
		restartTime = 500 * time.Millisecond
		duration    = 45 * time.Second
		maxOverlap  = 500 * time.Millisecond
	)
	p.configure("desk", true, route("look", "safe", "desk", 2*time.Second, 500*time.Millisecond))
	var mu sync.Mutex
	armed, done := false, false
	killed := make(chan struct{})
	p.store.late = func(t *txn) time.Duration {
		mu.Lock()
		defer mu.Unlock()
		// The first write under a condition, other than of an entry under a lease, after keys were released.
		if !p.trouble || !armed || done || len(t.Expected) == 0 || len(t.Puts) != 1 || t.Puts[0].LeaseID != 0 {
			return 0
		}
		done = true
		p.rec.log("store: the answer to a write of %q under a condition is lost", t.Puts[0].Key)
		close(killed)
		return storeLate
	}
	if err := p.addMachines(3, "desk", 6, true, workOf); err != nil {
		return p.fail("start: %v", err)
	}
	for _, m := range p.machines {
		m.keepBeating(nil)
	}
	if !p.awaitReady(20*time.Second, "/look/1", true) {
		return p.fail("the deployment does not serve all keys")
	}
	busy := p.machines[0]
	busy.backend.mu.Lock()
	busy.backend.onRelease = func() {
		mu.Lock()
		defer mu.Unlock()
		armed = true
	}
	busy.backend.mu.Unlock()
	go func() {
		select {
		case <-killed:
		case <-p.ctx.Done():
			return
		}
		time.Sleep(50 * time.Millisecond)
		p.rec.log("process of %s is killed", busy.name)
		busy.signal(syscall.SIGKILL)
		busy.awaitExit(time.Second)
		time.Sleep(restartTime)
		_ = busy.start()
	}()
	// Busy keys lie close to one another.
	var wg sync.WaitGroup
	for i, began := 0, time.Now(); time.Since(began) < duration; i++ {
		wg.Go(func() {
			p.request(p.machines[i%3], http.MethodGet, "/look/1?work=120", 100+i*7%300, 2*time.Second, nil)
		})
		time.Sleep(40 * time.Millisecond)
	}
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	if p.trouble && !done {
		return p.fail("no keys were moved")
	}
	return p.checkOwners(maxOverlap)
}

// checkOwners compares what the backends held.
func (p *play) checkOwners(maxOverlap time.Duration) verdict {
	result := held
	for key := 0; key < keys; key++ {
		if key > 400 && key%256 != 0 {
			continue
		}
		for i, m := range p.machines {
			for _, other := range p.machines[i+1:] {
				for _, x := range m.backend.holds(key) {
					for _, y := range other.backend.holds(key) {
						from, to := x[0], x[1]
						if y[0].After(from) {
							from = y[0]
						}
						if y[1].Before(to) {
							to = y[1]
						}
						if to.Sub(from) <= maxOverlap {
							continue
						}
						a, b := m.backend.began(key, from, to), other.backend.began(key, from, to)
						line := fmt.Sprintf("key %d is held by %s and %s from %s to %s, which begin %d and %d requests on it then",
							key, m.backend.id, other.backend.id, p.rec.at(from), p.rec.at(to), a, b)
						if result == held {
							p.rec.say("%s", line)
						} else {
							p.rec.log("%s", line)
						}
						result = broken
					}
				}
			}
		}
	}
	return result
}

// began returns the number of requests on a key that the backend began in a span.
func (b *backend) began(key int, from, to time.Time) (n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, a := range b.arrivals {
		if a.key == key && a.began.After(from) && a.began.Before(to) {
			n++
		}
	}
	return n
}
