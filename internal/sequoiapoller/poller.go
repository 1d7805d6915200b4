// Package sequoiapoller works around race conditions in starting and stopping nbio's event loops and in passing
// connections to them.
//
// An nbio event loop clears its stop flag when its goroutine starts. If the engine is stopped before that, Stop blocks
// forever and the loop's goroutine spins. In addition, nbio passes a connection to an event loop only through the
// kernel, which does not establish a happens-before relation in the Go memory model.
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
	// startTimeout limits the wait for the event loops to start.
	startTimeout = 10 * time.Second
	// maxSocketPairs is the maximum number of socket pairs used as probes. nbio selects the loop by the file descriptor
	// number, so with consecutive numbers half as many pairs as loops reach every loop.
	maxSocketPairs = 256
)

// ErrNotStarted reports that an event loop did not start in time.
var ErrNotStarted = errors.New("the event loops did not start")

// Loops represents the event loops of one engine.
type Loops struct {
	engine *nbio.Engine
	// published is written after a connection is constructed and read before an event loop uses it, which orders the
	// memory accesses.
	published atomic.Uint64
	running   chan int
}

// probe is the session value of a connection that tests whether a loop is running.
type probe struct{}

// New sets the engine's OnOpen and OnData handlers. It must be called before the engine starts. The engine's OnClose
// handler is also called for this package's probe connections, for which IsProbe returns true.
func New(engine *nbio.Engine, onData func(c *nbio.Conn, b []byte)) *Loops {
	l := &Loops{engine: engine, running: make(chan int, 2*maxSocketPairs)}
	// nbio calls this when the connection is fully constructed, before the event loop can access it.
	engine.OnOpen(func(*nbio.Conn) { l.published.Add(1) })
	engine.OnData(func(c *nbio.Conn, b []byte) {
		l.published.Load()
		if IsProbe(c) {
			l.running <- l.loopIndex(c)
			return
		}
		onData(c, b)
	})
	return l
}

// IsProbe reports whether the connection is a probe of this package.
func IsProbe(c *nbio.Conn) bool {
	_, ok := c.Session().(probe)
	return ok
}

// AwaitStart waits until all event loops of the started engine are running. It returns ErrNotStarted if they do not
// start in time.
func (l *Loops) AwaitStart() error {
	var pairs [][]*nbio.Conn
	defer func() {
		// The event loop closes the other end. If it were closed here, the loop could attribute the close event to a
		// new connection with the same file descriptor and close that one.
		for _, pair := range pairs {
			_ = pair[0].Close()
		}
	}()
	probed := map[int]bool{}
	for len(probed) < l.engine.NPoller {
		if len(pairs) >= maxSocketPairs {
			return errors.Wrapf(ErrNotStarted, "%d of %d loops have a probe", len(probed), l.engine.NPoller)
		}
		pair, err := l.addSocketPair()
		if len(pair) > 0 {
			pairs = append(pairs, pair)
		}
		if err != nil {
			return err
		}
		for _, c := range pair {
			probed[l.loopIndex(c)] = true
			if _, err := c.Write([]byte{0}); err != nil {
				return errors.Wrap(err, "write to an event loop")
			}
		}
	}
	return l.awaitProbes()
}

func (l *Loops) awaitProbes() error {
	timeout := time.NewTimer(startTimeout)
	defer timeout.Stop()
	running := map[int]bool{}
	for len(running) < l.engine.NPoller {
		select {
		case i := <-l.running:
			running[i] = true
		case <-timeout.C:
			return errors.Wrapf(ErrNotStarted, "%d of %d loops are running", len(running), l.engine.NPoller)
		}
	}
	return nil
}

func (l *Loops) loopIndex(c *nbio.Conn) int {
	return c.Hash() % l.engine.NPoller
}

// addSocketPair adds both ends of a connected socket pair to the event loops.
func (l *Loops) addSocketPair() ([]*nbio.Conn, error) {
	fds, err := socketPair()
	if err != nil {
		return nil, errors.Wrap(err, "open a socket pair")
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
		c, addErr := l.addProbe(end)
		if addErr != nil {
			err = addErr
			continue
		}
		pair = append(pair, c)
	}
	return pair, errors.Wrap(err, "add a socket pair to the event loops")
}

func (l *Loops) addProbe(end net.Conn) (*nbio.Conn, error) {
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
