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

// faultNetwork simulates network partitions of one process: traffic to and from blocked names is silently dropped. A
// name is "store" or the IP address of another process.
type faultNetwork struct {
	mu           sync.Mutex
	blockedNames map[string]bool
	relays       map[netip.AddrPort]netip.AddrPort
}

func newFaultNetwork() *faultNetwork {
	return &faultNetwork{blockedNames: map[string]bool{}, relays: map[netip.AddrPort]netip.AddrPort{}}
}

func (n *faultNetwork) blocked(name string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.blockedNames[name]
}

// serveControl serves requests that replace the set of blocked names, such as POST /?name=A&name=B.
func (n *faultNetwork) serveControl(addr string) error {
	return serveOn(addr, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.blockedNames = map[string]bool{}
		for _, name := range r.URL.Query()["name"] {
			n.blockedNames[name] = true
		}
	}))
}

// packetConn drops packets to and from blocked addresses.
type packetConn struct {
	net.PacketConn
	n *faultNetwork
}

func (n *faultNetwork) listenPacket(addr netip.AddrPort) (net.PacketConn, error) {
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

// dial connects to another process through a relay. If the process is blocked, dial waits until ctx ends.
func (n *faultNetwork) dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	name := addr.Addr().String()
	if n.blocked(name) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	n.mu.Lock()
	relayAddr, ok := n.relays[addr]
	n.mu.Unlock()
	if !ok {
		var err error
		if relayAddr, err = n.listenRelay(addr, func() bool { return n.blocked(name) }); err != nil {
			return nil, err
		}
		n.mu.Lock()
		n.relays[addr] = relayAddr
		n.mu.Unlock()
	}
	var d net.Dialer
	return d.DialContext(ctx, "tcp", relayAddr.String())
}

// listenRelay returns a local address whose connections are forwarded to the target. A connection that is opened,
// carries data or closes while its target is blocked stays blackholed even after the target is unblocked, as if its
// route were lost.
func (n *faultNetwork) listenRelay(target netip.AddrPort, blocked func() bool) (netip.AddrPort, error) {
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
			go relayConn(c, target, blocked)
		}
	}()
	return l.Addr().(*net.TCPAddr).AddrPort(), nil
}

func relayConn(c net.Conn, target netip.AddrPort, blocked func() bool) {
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
	p := &relayedConn{blocked: blocked}
	done := make(chan struct{}, 2)
	for _, direction := range [][2]net.Conn{{c, t}, {t, c}} {
		go func() {
			p.forward(direction[1], direction[0])
			done <- struct{}{}
		}()
	}
	<-done
	if p.checkBlackholed() {
		<-done
	}
}

// relayedConn is the state that both directions of a relayed connection share.
type relayedConn struct {
	blocked    func() bool
	mu         sync.Mutex
	blackholed bool
}

// forward copies data until either side closes the connection. Once the connection is blackholed, data is discarded and
// the close of one side is hidden from the other.
func (p *relayedConn) forward(to, from net.Conn) {
	b := make([]byte, 32<<10)
	for {
		size, err := from.Read(b)
		blackholed := p.checkBlackholed()
		if err != nil {
			return
		}
		if blackholed {
			continue
		}
		if _, err := to.Write(b[:size]); err != nil {
			return
		}
	}
}

// checkBlackholed reports whether the connection is blackholed, which it becomes when its target is found blocked.
func (p *relayedConn) checkBlackholed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.blackholed = p.blackholed || p.blocked()
	return p.blackholed
}
