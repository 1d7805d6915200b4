package sequoiastandin

import (
	"bytes"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"
)

// crowdBlock is how many bytes a client of a Crowd writes at once, and crowdHead how many the lines of one head have
// together: less than the 64 KB that a head may have.
const (
	crowdBlock = 64 << 10
	crowdHead  = 60 << 10
)

// Crowd is a number of clients that send the same bytes and do not read. Each client sends Begin, then Block again and
// again until it has sent Bytes of it, then End, all of it Repeat times (at least once), and leaves its connection open.
type Crowd struct {
	Clients int
	Begin   string
	Block   []byte
	Bytes   int
	End     string
	Repeat  int
	// ReceiveBuffer is the size of the clients' receive buffers in bytes, zero for the system's default.
	ReceiveBuffer int
}

// Send lets all clients send at the same time. It returns once each of them has sent everything or its connection has
// been closed, after limit at the latest. The clients stay until leave is called.
func (c Crowd) Send(addr netip.AddrPort, limit time.Duration) (leave func()) {
	deadline := time.Now().Add(limit)
	conns := make([]net.Conn, c.Clients)
	var wg sync.WaitGroup
	for i := range conns {
		wg.Go(func() {
			conn, err := net.DialTimeout("tcp", addr.String(), limit)
			if err != nil {
				return
			}
			conns[i] = conn
			if c.ReceiveBuffer > 0 {
				_ = conn.(*net.TCPConn).SetReadBuffer(c.ReceiveBuffer)
			}
			_ = conn.SetWriteDeadline(deadline)
			for range max(1, c.Repeat) {
				if c.sendOnce(conn) != nil {
					return
				}
			}
		})
	}
	wg.Wait()
	return func() {
		for _, conn := range conns {
			if conn != nil {
				_ = conn.Close()
			}
		}
	}
}

func (c Crowd) sendOnce(conn net.Conn) error {
	if _, err := conn.Write([]byte(c.Begin)); err != nil {
		return err
	}
	for left := c.Bytes; left > 0 && len(c.Block) > 0; left -= len(c.Block) {
		if _, err := conn.Write(c.Block[:min(left, len(c.Block))]); err != nil {
			return err
		}
	}
	_, err := conn.Write([]byte(c.End))
	return err
}

// ShortLines returns the lines of a head within its size limit: as many as possible, each with a name of its own.
func ShortLines() []byte {
	var b bytes.Buffer
	for i := 0; b.Len() < crowdHead; i++ {
		fmt.Fprintf(&b, "x%x:\r\n", i)
	}
	return b.Bytes()
}

// OddLines is like ShortLines, with lines that are unusual: empty and blank values, odd names, names in another case.
func OddLines() []byte {
	var b bytes.Buffer
	for i := 0; b.Len() < crowdHead; i++ {
		fmt.Fprintf(&b, "_%x!:\t\r\n~%x: ,;\r\na:\r\nA:\t \t\r\n", i, i)
	}
	return b.Bytes()
}

// Repeated returns a block of about crowdBlock bytes that consists of copies of s.
func Repeated(s string) []byte {
	return bytes.Repeat([]byte(s), max(1, crowdBlock/len(s)))
}
