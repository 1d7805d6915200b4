package sequoiascenario

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// network is the switch of one process: what it sends to and receives from blocked names is lost without a trace. A
// name is "store" or an IP address of another process.
type network struct {
	mu     sync.Mutex
	lost   map[string]bool
	relays map[netip.AddrPort]netip.AddrPort
}

func newNetwork() *network {
	return &network{lost: map[string]bool{}, relays: map[netip.AddrPort]netip.AddrPort{}}
}

func (n *network) blocked(name string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.lost[name]
}

// serve lets the test replace the blocked names by POST /?name=A&name=B.
func (n *network) serve(addr string) error {
	return serveOn(addr, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.lost = map[string]bool{}
		for _, name := range r.URL.Query()["name"] {
			n.lost[name] = true
		}
	}))
}

// packetConn drops packets from and to blocked addresses.
type packetConn struct {
	net.PacketConn
	n *network
}

func (n *network) listenPacket(addr netip.AddrPort) (net.PacketConn, error) {
	c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addr))
	if err != nil {
		return nil, err
	}
	return &packetConn{c, n}, nil
}

func hostOf(addr net.Addr) string {
	if udp, ok := addr.(*net.UDPAddr); ok {
		return udp.AddrPort().Addr().Unmap().String()
	}
	return ""
}

func (c *packetConn) ReadFrom(b []byte) (int, net.Addr, error) {
	for {
		size, addr, err := c.PacketConn.ReadFrom(b)
		if err != nil || !c.n.blocked(hostOf(addr)) {
			return size, addr, err
		}
	}
}

func (c *packetConn) WriteTo(b []byte, addr net.Addr) (int, error) {
	if c.n.blocked(hostOf(addr)) {
		return len(b), nil
	}
	return c.PacketConn.WriteTo(b, addr)
}

// dial connects to another process through a relay. A blocked process does not answer until ctx ends.
func (n *network) dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	name := addr.Addr().String()
	if n.blocked(name) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	n.mu.Lock()
	via, ok := n.relays[addr]
	n.mu.Unlock()
	if !ok {
		var err error
		if via, err = n.relay(addr, func() bool { return n.blocked(name) }); err != nil {
			return nil, err
		}
		n.mu.Lock()
		n.relays[addr] = via
		n.mu.Unlock()
	}
	var d net.Dialer
	return d.DialContext(ctx, "tcp", via.String())
}

// relay returns a local address whose connections are passed on to the target. A connection that was open while its
// target was blocked stays silent for good, as after a lost route.
func (n *network) relay(target netip.AddrPort, blocked func() bool) (netip.AddrPort, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go passOn(c, target, blocked)
		}
	}()
	return l.Addr().(*net.TCPAddr).AddrPort(), nil
}

func passOn(c net.Conn, target netip.AddrPort, blocked func() bool) {
	defer c.Close()
	if blocked() {
		_, _ = io.Copy(io.Discard, c)
		return
	}
	t, err := net.DialTimeout("tcp", target.String(), time.Second)
	if err != nil {
		return
	}
	defer t.Close()
	p := &pair{blocked: blocked}
	done := make(chan struct{}, 2)
	for _, way := range [][2]net.Conn{{c, t}, {t, c}} {
		go func() {
			p.copy(way[1], way[0])
			done <- struct{}{}
		}()
	}
	<-done
	if p.lost() {
		<-done
	}
}

// pair is both directions of one relayed connection.
type pair struct {
	blocked func() bool
	mu      sync.Mutex
	silent  bool
}

// copy passes data on until an end closes the connection. Once it is silent its end is hidden as well.
func (p *pair) copy(to, from net.Conn) {
	b := make([]byte, 32<<10)
	for {
		size, err := from.Read(b)
		lost := p.lost()
		if err != nil {
			return
		}
		if lost {
			continue
		}
		if _, err := to.Write(b[:size]); err != nil {
			return
		}
	}
}

func (p *pair) lost() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent = p.silent || p.blocked()
	return p.silent
}
