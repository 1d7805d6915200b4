package sequoiaowner_test

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiakeyspace"
)

// checkOwners returns an error if two upstreams hold the same key.
func (w *world) checkOwners() error {
	type holding struct {
		p *process
		h heldRange
	}
	var all []holding
	for _, p := range w.processes {
		for _, h := range p.upstream.held {
			if p.upstream.alive && h.until.After(w.now) {
				all = append(all, holding{p, h})
			}
		}
	}
	for _, x := range all {
		if err := w.checkFence(x.p, x.h); err != nil {
			return err
		}
	}
	for i, x := range all {
		for _, y := range all[i+1:] {
			if x.p != y.p && x.h.from <= y.h.to && y.h.from <= x.h.to {
				return errors.Errorf("at %v keys %d to %d are held by %s (fence %d, for another %v) and %s (fence %d, for another %v)",
					w.now.Sub(w.began), max(x.h.from, y.h.from), min(x.h.to, y.h.to), x.p.name, x.h.fence, x.h.until.Sub(w.now),
					y.p.name, y.h.fence, y.h.until.Sub(w.now))
			}
		}
	}
	return nil
}

// fencedKey is the highest fence with which a key was held, and the process beside the upstream that held it.
type fencedKey struct {
	fence sequoiakeyspace.Fence
	p     *process
}

// checkFence returns an error if a key is held with a fence that is not above those with which others held it before.
func (w *world) checkFence(p *process, h heldRange) error {
	for i := (int(h.from) + sampleDistance - 1) / sampleDistance; i*sampleDistance <= int(h.to); i++ {
		top := w.fences[i]
		if top.p != nil && top.p != p && h.fence <= top.fence {
			return errors.Errorf("at %v key %d is held by %s with fence %d after %s held it with fence %d",
				w.now.Sub(w.began), i*sampleDistance, p.name, h.fence, top.p.name, top.fence)
		}
		if h.fence >= top.fence {
			w.fences[i] = fencedKey{h.fence, p}
		}
	}
	return nil
}

// unserved returns keys that no upstream holds.
func (w *world) unserved() []sequoiakeyspace.Key {
	var keys []sequoiakeyspace.Key
	for key := 0; key <= int(sequoiakeyspace.MaxKey); key += sampleDistance {
		if !slices.ContainsFunc(w.processes, func(p *process) bool { return p.upstream.holds(w.now, sequoiakeyspace.Key(key)) }) {
			keys = append(keys, sequoiakeyspace.Key(key))
		}
	}
	return keys
}

func (u *modelUpstream) holds(now time.Time, key sequoiakeyspace.Key) bool {
	return u.alive && slices.ContainsFunc(u.held, func(h heldRange) bool {
		return h.from <= key && key <= h.to && h.until.After(now)
	})
}
