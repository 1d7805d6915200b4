// Package sequoiapoller makes the start, the hand-over of connections and the stop of nbio's event loops safe.
//
// An event loop of nbio clears its stop mark when its goroutine begins. An engine that is stopped before that never
// ends: Stop waits for ever, and the loop's goroutine spins. And nbio passes a connection to an event loop through the
// kernel only, which does not order memory accesses for the Go memory model.
package sequoiapoller

import (
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
	"github.com/pkg/errors"
)

const (
	// startTimeout bounds the wait for the event loops.
	startTimeout = 10 * time.Second
	// maxProbes bounds the pairs of sockets. nbio chooses the loop by the descriptor's number, and consecutive numbers
	// reach every loop with half as many pairs as there are loops.
	maxProbes = 256
)

// ErrNotStarted means that an event loop did not begin in time.
var ErrNotStarted = errors.New("the event loops did not start")

// Loops are the event loops of one engine.
type Loops struct {
	engine *nbio.Engine
	// published is written after a connection is constructed and read before an event loop uses it.
	published atomic.Uint64
	started   chan int
}

// probe is the session of a connection that shows that a loop runs.
type probe struct{}

// New sets the engine's handlers of new connections and of data. It is called before the engine starts. The engine's
// handler of closed connections also gets connections of this package, for which Own is true.
func New(engine *nbio.Engine, onData func(c *nbio.Conn, b []byte)) *Loops {
	l := &Loops{engine: engine, started: make(chan int, 2*maxProbes)}
	// nbio calls this when the connection is complete, before the event loop can see it.
	engine.OnOpen(func(*nbio.Conn) { l.published.Add(1) })
	engine.OnData(func(c *nbio.Conn, b []byte) {
		l.published.Load()
		if Own(c) {
			l.started <- l.index(c)
			return
		}
		onData(c, b)
	})
	return l
}

// Own reports whether the connection belongs to this package.
func Own(c *nbio.Conn) bool {
	_, ok := c.Session().(probe)
	return ok
}

// AwaitStart returns once each event loop of the started engine is running. It returns ErrNotStarted.
func (l *Loops) AwaitStart() error {
	var pairs [][]*nbio.Conn
	defer func() {
		// The event loop closes the other end. If it were closed here, the loop could take the event that reports the
		// end for one of a new connection with the same descriptor, and close that.
		for _, pair := range pairs {
			_ = pair[0].Close()
		}
	}()
	probed := map[int]bool{}
	for len(probed) < l.engine.NPoller {
		if len(pairs) >= maxProbes {
			return errors.Wrapf(ErrNotStarted, "%d of %d loops were reached", len(probed), l.engine.NPoller)
		}
		pair, err := l.addPair()
		if len(pair) > 0 {
			pairs = append(pairs, pair)
		}
		if err != nil {
			return err
		}
		for _, c := range pair {
			probed[l.index(c)] = true
			if _, err := c.Write([]byte{0}); err != nil {
				return errors.Wrap(err, "write to an event loop")
			}
		}
	}
	return l.await()
}

func (l *Loops) await() error {
	timeout := time.NewTimer(startTimeout)
	defer timeout.Stop()
	running := map[int]bool{}
	for len(running) < l.engine.NPoller {
		select {
		case i := <-l.started:
			running[i] = true
		case <-timeout.C:
			return errors.Wrapf(ErrNotStarted, "%d of %d loops run", len(running), l.engine.NPoller)
		}
	}
	return nil
}

func (l *Loops) index(c *nbio.Conn) int {
	return c.Hash() % l.engine.NPoller
}

// addPair passes both ends of a pair of connected sockets to the event loops.
func (l *Loops) addPair() ([]*nbio.Conn, error) {
	fds, err := socketPair()
	if err != nil {
		return nil, errors.Wrap(err, "open a pair of sockets")
	}
	var ends [2]net.Conn
	for i, fd := range fds {
		f := os.NewFile(uintptr(fd), "probe")
		end, fileErr := net.FileConn(f)
		_ = f.Close()
		if fileErr != nil {
			err = fileErr
			continue
		}
		ends[i] = end
	}
	var pair []*nbio.Conn
	for _, end := range ends {
		if end == nil {
			continue
		}
		c, addErr := l.add(end)
		if addErr != nil {
			err = addErr
			continue
		}
		pair = append(pair, c)
	}
	return pair, errors.Wrap(err, "use a pair of sockets")
}

func (l *Loops) add(end net.Conn) (*nbio.Conn, error) {
	c, err := nbio.NBConn(end)
	if err != nil {
		_ = end.Close()
		return nil, err
	}
	c.SetSession(probe{})
	return l.engine.AddConn(c)
}

func socketPair() ([2]int, error) {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	fds, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM, 0)
	if err != nil {
		return fds, err
	}
	for _, fd := range fds {
		syscall.CloseOnExec(fd)
		if err := syscall.SetNonblock(fd, true); err != nil {
			return fds, err
		}
	}
	return fds, nil
}
