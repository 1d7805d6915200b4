package sequoiafront

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// minTurn is how long a client has to send its next request, or the part of one that keeps up with minRate, before its
	// connection may be replaced.
	minTurn = 200 * time.Millisecond
	// stallTime is how long a client must have taken nothing of a response before its connection may be replaced.
	stallTime = time.Second
	// slotWait limits how long a new connection waits for the place of another one. Clients give up after about as long.
	slotWait = time.Second
	// slotRetry is how long a new connection waits before it tries again to reserve memory.
	slotRetry = 20 * time.Millisecond
	// closingFraction is the part of a listener's connections that may be open beyond its limit while they are being closed.
	closingFraction = 8
	// candidateBatch is the number of connections that one search for those to replace returns, since it looks at all of them.
	candidateBatch = 64
)

// slots are the connections that a listener may have. When all are taken, a new connection takes the place of the one whose
// client has used it longest ago: an idle one, one whose request arrives too slowly, or one whose client does not read. The
// replaced one stays open until its client has seen the end, or until its place is needed too.
type slots struct {
	max int
	// freed is signaled when a connection has ended.
	freed chan struct{}

	// mu is not held while another lock is taken.
	mu sync.Mutex
	// open are the connections, without those in closing, which are being closed, oldest first.
	open    map[*serverConn]struct{}
	closing []*serverConn
	// candidates are connections that a search has found, in the order in which they may be replaced.
	candidates []candidate
}

// candidate is a connection that may be replaced from a time on, unless its client has used it since.
type candidate struct {
	conn *serverConn
	at   int64
}

func newSlots(max int) *slots {
	return &slots{max: max, freed: make(chan struct{}, 1), open: map[*serverConn]struct{}{}}
}

// acquire adds a connection, if need be in place of another one, for which it waits up to slotWait. reserve reserves what
// the connection needs. acquire returns false if there is no place.
func (s *slots) acquire(c *serverConn, reserve func() bool) bool {
	for end := time.Now().Add(slotWait); ; {
		if s.add(c, reserve) {
			return true
		}
		wait, ok := s.makeRoom(time.Now())
		if !ok || time.Now().After(end) {
			return false
		}
		s.awaitFreed(wait)
	}
}

// add adds a connection if there is a place for it.
func (s *slots) add(c *serverConn, reserve func() bool) bool {
	s.mu.Lock()
	full := len(s.open) >= s.max || len(s.open)+len(s.closing) >= s.max+s.max/closingFraction
	s.mu.Unlock()
	if full || !reserve() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open[c] = struct{}{}
	return true
}

// makeRoom ends the connection to replace, and one that is being closed if there are too many of these. It returns how long
// to wait before the next attempt, and false if no connection can be replaced.
func (s *slots) makeRoom(now time.Time) (wait time.Duration, ok bool) {
	if s.cutClosing() {
		return slotRetry, true
	}
	for {
		next, found := s.oldest()
		if !found {
			return 0, false
		}
		if wait := time.Duration(next.at - now.UnixNano()); wait > 0 {
			return wait, true
		}
		s.dropCandidate()
		if next.conn.replace(next.at) {
			return 0, true
		}
	}
}

// cutClosing reports whether too many connections are being closed for another one to be replaced. It then closes the oldest
// of them that it has not closed yet.
func (s *slots) cutClosing() bool {
	s.mu.Lock()
	if len(s.open)+len(s.closing) < s.max+s.max/closingFraction || len(s.closing) == 0 {
		s.mu.Unlock()
		return false
	}
	i := slices.IndexFunc(s.closing, func(c *serverConn) bool { return !c.cut })
	if i < 0 {
		s.mu.Unlock()
		return true
	}
	oldest := s.closing[i]
	oldest.cut = true
	s.mu.Unlock()
	_ = oldest.Close()
	return true
}

// oldest returns the connection that may be replaced first.
func (s *slots) oldest() (candidate, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.candidates) > 0 {
		first := s.candidates[0]
		if _, open := s.open[first.conn]; open && first.conn.replaceableAt.Load() == first.at {
			return first, true
		}
		s.candidates = s.candidates[1:]
	}
	for c := range s.open {
		if at := c.replaceableAt.Load(); at != 0 {
			s.candidates = append(s.candidates, candidate{c, at})
		}
	}
	slices.SortFunc(s.candidates, func(x, y candidate) int { return cmp.Compare(x.at, y.at) })
	s.candidates = slices.Clone(s.candidates[:min(len(s.candidates), candidateBatch)])
	if len(s.candidates) == 0 {
		return candidate{}, false
	}
	return s.candidates[0], true
}

func (s *slots) dropCandidate() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.candidates = s.candidates[1:]
}

// awaitFreed waits until a connection has ended, for d at most.
func (s *slots) awaitFreed(d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-s.freed:
	case <-t.C:
	}
}

// beginClose records that a connection is being closed. It makes room for another one.
func (s *slots) beginClose(c *serverConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.open[c]; !ok {
		return
	}
	delete(s.open, c)
	s.closing = append(s.closing, c)
	s.signal()
}

// release removes a connection that has ended.
func (s *slots) release(c *serverConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open, c)
	if i := slices.Index(s.closing, c); i >= 0 {
		s.closing = slices.Delete(s.closing, i, i+1)
	}
	s.signal()
}

func (s *slots) signal() {
	select {
	case s.freed <- struct{}{}:
	default:
	}
}
