package sequoiameasure

import (
	"net"
	"net/netip"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiapeer"
)

// datagramHeaderBytes is the total size of the IPv4 and UDP headers of a packet.
const datagramHeaderBytes = 28

// cpuTime returns the user and system CPU time that the program has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// liveMemory returns the bytes of heap and stacks in use after a garbage collection.
func liveMemory() int64 {
	debug.FreeOSMemory()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc + m.StackInuse)
}

// traffic counts the packets of control connections in both directions.
type traffic struct {
	sent, received           atomic.Int64
	sentBytes, receivedBytes atomic.Int64
}

// instrument makes a transport count its packets.
func (t *traffic) instrument(c *sequoiapeer.Control, _ *sequoiapeer.Forwarder) {
	c.ListenPacket = func(addr netip.AddrPort) (net.PacketConn, error) {
		conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
		if err != nil {
			return nil, errors.Wrap(err, "listen for counted packets")
		}
		return &countingConn{PacketConn: conn, udp: conn, traffic: t}, nil
	}
}

// countingConn counts packets. It hides the batched system calls of a UDP socket, so CPU time measured with it is an
// upper bound.
type countingConn struct {
	net.PacketConn
	udp     *net.UDPConn
	traffic *traffic
}

// SetReadBuffer sets the size of the socket's receive buffer in bytes.
func (c *countingConn) SetReadBuffer(bytes int) error {
	return c.udp.SetReadBuffer(bytes)
}

// SetWriteBuffer sets the size of the socket's send buffer in bytes.
func (c *countingConn) SetWriteBuffer(bytes int) error {
	return c.udp.SetWriteBuffer(bytes)
}

// ReadFrom reads and counts a packet.
func (c *countingConn) ReadFrom(b []byte) (int, net.Addr, error) {
	n, addr, err := c.PacketConn.ReadFrom(b)
	if err == nil {
		c.traffic.received.Add(1)
		c.traffic.receivedBytes.Add(int64(n) + datagramHeaderBytes)
	}
	return n, addr, err
}

// WriteTo sends and counts a packet.
func (c *countingConn) WriteTo(b []byte, addr net.Addr) (int, error) {
	n, err := c.PacketConn.WriteTo(b, addr)
	if err == nil {
		c.traffic.sent.Add(1)
		c.traffic.sentBytes.Add(int64(n) + datagramHeaderBytes)
	}
	return n, err
}
