package sequoiapeer

import (
	"net"
	"net/netip"
	"sync"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

var (
	testKey  = []byte("a shared key of the tests")
	otherKey = []byte("another key of the tests.")
	loopback = netip.MustParseAddrPort("127.0.0.1:0")
)

func TestPeer(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "sequoiapeer")
}

// blackholeNetwork silently drops packets from and to the addresses that are cut off. Neither side gets an error.
type blackholeNetwork struct {
	mu  sync.Mutex
	cut map[netip.AddrPort]bool
}

func (n *blackholeNetwork) set(addr netip.AddrPort, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cut == nil {
		n.cut = map[netip.AddrPort]bool{}
	}
	n.cut[addr] = cut
}

func (n *blackholeNetwork) drops(a, b net.Addr) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[addrPort(a)] || n.cut[addrPort(b)]
}

func (n *blackholeNetwork) listen(addr netip.AddrPort) (net.PacketConn, error) {
	conn, err := listenUDP(addr)
	return &blackholeConn{PacketConn: conn, network: n}, err
}

type blackholeConn struct {
	net.PacketConn
	network *blackholeNetwork
}

func (c *blackholeConn) WriteTo(b []byte, to net.Addr) (int, error) {
	if c.network.drops(c.LocalAddr(), to) {
		return len(b), nil
	}
	return c.PacketConn.WriteTo(b, to)
}
