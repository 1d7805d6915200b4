package sequoiastandin

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// returnPause is the pause of a client of a PersistentCrowd before it connects again.
	returnPause = 50 * time.Millisecond
	// dialLimit limits one attempt to connect.
	dialLimit = 5 * time.Second
)

// PersistentCrowd is a number of clients that stay: each connects again when its connection is closed. On each connection
// a client sends Begin, and then Piece at intervals.
type PersistentCrowd struct {
	Clients int
	Begin   string
	Piece   string
	// Interval is the time between two pieces.
	Interval time.Duration
	// Pieces is the number of pieces on each connection, zero for no limit. The client then waits for the end of the connection.
	Pieces int
	// Stay is how long a client keeps a connection that is not closed, zero for as long as it is open.
	Stay time.Duration
	// Reads is true if the clients read what is sent to them. Those that do not learn of the end of a connection by sending.
	Reads bool
	// ReceiveBuffer is the size of the clients' receive buffers in bytes, zero for the system's default.
	ReceiveBuffer int
}

// Start lets the clients connect until stop is called, which returns how many connections they have had.
func (c PersistentCrowd) Start(addr netip.AddrPort) (stop func() (connections int64)) {
	var connections atomic.Int64
	var wg sync.WaitGroup
	stopped := make(chan struct{})
	for range c.Clients {
		wg.Go(func() {
			for !closed(stopped) {
				if c.connect(addr, stopped) {
					connections.Add(1)
				}
				wait(stopped, returnPause)
			}
		})
	}
	return func() int64 {
		close(stopped)
		wg.Wait()
		return connections.Load()
	}
}

// connect opens one connection and uses it until it ends or the crowd is stopped. It returns false if it could not be opened.
func (c PersistentCrowd) connect(addr netip.AddrPort, stopped <-chan struct{}) bool {
	conn, err := net.DialTimeout("tcp", addr.String(), dialLimit)
	if err != nil {
		return false
	}
	defer conn.Close()
	if c.ReceiveBuffer > 0 {
		_ = conn.(*net.TCPConn).SetReadBuffer(c.ReceiveBuffer)
	}
	ended := make(chan struct{})
	if c.Reads {
		go func() {
			defer close(ended)
			_, _ = io.Copy(io.Discard, conn)
		}()
	}
	var leave <-chan time.Time
	if c.Stay > 0 {
		leave = time.After(c.Stay)
	}
	// A write to a process that does not read must not outlast the crowd.
	_ = conn.SetWriteDeadline(time.Now().Add(dialLimit))
	if _, err := io.WriteString(conn, c.Begin); err != nil {
		return true
	}
	for sent := 0; ; {
		var next <-chan time.Time
		if c.Piece != "" && (c.Pieces == 0 || sent < c.Pieces) {
			next = time.After(c.Interval)
		}
		select {
		case <-stopped:
			return true
		case <-ended:
			return true
		case <-leave:
			return true
		case <-next:
			sent++
			_ = conn.SetWriteDeadline(time.Now().Add(dialLimit))
			if _, err := io.WriteString(conn, c.Piece); err != nil {
				return true
			}
		}
	}
}

func closed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

func wait(c <-chan struct{}, d time.Duration) {
	select {
	case <-c:
	case <-time.After(d):
	}
}
