package sequoianode

import (
	"context"
	"fmt"
	"net/netip"
	"sync"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaowner"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiapeer"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiarouter"
)

// deliver passes an update on to the recipients, as the processes do, and counts what each gets and how many messages
// each sends. from is the index of the sender, and hops the number of messages on the way to it.
func deliver(from netip.AddrPort, recipients []netip.AddrPort, hops int, got, sent map[netip.AddrPort]int) (maxHops int) {
	maxHops = hops
	for _, g := range divide(recipients) {
		sent[from]++
		got[g.head]++
		maxHops = max(maxHops, deliver(g.head, g.rest, hops+1, got, sent))
	}
	return maxHops
}

var _ = ginkgo.Describe("a broadcast of a table update", func() {
	// Guards against a link that is filled by a process that sends each change to all others itself, and against a process
	// that gets no update or gets it twice.
	ginkgo.DescribeTable("reaches each process once, with few messages of each process and few hops",
		func(recipients, wantHops int) {
			sender := netip.MustParseAddrPort("10.0.0.1:1")
			var addrs []netip.AddrPort
			for i := range recipients {
				addrs = append(addrs, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 1))
			}
			got, sent := map[netip.AddrPort]int{}, map[netip.AddrPort]int{}
			Expect(deliver(sender, addrs, 0, got, sent)).To(Equal(wantHops))
			Expect(got).To(HaveLen(recipients))
			for _, addr := range addrs {
				Expect(got[addr]).To(Equal(1))
				Expect(sent[addr]).To(BeNumerically("<=", updateFanout))
			}
			Expect(sent[sender]).To(BeNumerically("<=", updateFanout))
		},
		ginkgo.Entry("no other process", 0, 0),
		ginkgo.Entry("a small site", 8, 1),
		ginkgo.Entry("one more", 9, 2),
		ginkgo.Entry("67 processes", 66, 2),
		ginkgo.Entry("295 processes", 294, 3),
		ginkgo.Entry("3,800 processes", 3799, 4),
	)

	// Guards against an update that crosses between failure domains once for each process.
	ginkgo.It("names the processes of a failure domain one after another", func() {
		members := map[string]sequoiaowner.Member{}
		for i := range 64 {
			m := member(fmt.Sprintf("m%d", i), fmt.Sprintf("zone-%d", i%4))
			m.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i % 4), 0, byte(i)}), 1)
			members[m.Instance] = m
		}
		changes := 0
		others := directoryOf("m0", members).others()
		Expect(others).To(HaveLen(63))
		for i := range others[1:] {
			if others[i].Addr().As4()[1] != others[i+1].Addr().As4()[1] {
				changes++
			}
		}
		Expect(changes).To(Equal(3))
	})

	// Guards against processes that miss an update because the one that should pass it on does not take it.
	ginkgo.It("reaches the processes behind one that is gone, that rejects it or that cannot apply it", func() {
		var mu sync.Mutex
		got := map[netip.AddrPort][]string{}
		peerThat := func(resp *sequoiarouter.Response) (addr netip.AddrPort) {
			addr = freeAddress()
			listenAsPeer(addr, func(req *sequoiarouter.Request) *sequoiarouter.Response {
				mu.Lock()
				defer mu.Unlock()
				got[addr] = append(got[addr], req.Header[headerPassOn]...)
				return resp
			})
			return addr
		}
		busy, behind := peerThat(notRunResponse("TooManyRequests", 0)), peerThat(notRunResponse(reasonNotOwner, 0))
		last := peerThat(okResponse(nil, nil))
		newForwardingNode().sendToGroup(context.Background(), []byte("update"), group{freeAddress(), []netip.AddrPort{busy, behind, last}})
		mu.Lock()
		defer mu.Unlock()
		Expect(got).To(Equal(map[netip.AddrPort][]string{
			busy: {behind.String(), last.String()}, behind: {last.String()},
		}))
	})

	ginkgo.It("is passed on by a process that gets it, unless a recipient's address is invalid", func() {
		bodies := make(chan string, 4)
		var recipients []string
		for range 2 {
			addr := freeAddress()
			listenAsPeer(addr, func(req *sequoiarouter.Request) *sequoiarouter.Response {
				bodies <- string(req.Body)
				return okResponse(nil, nil)
			})
			recipients = append(recipients, addr.String())
		}
		n := newForwardingNode()
		receive := func(body string, passOn []string) {
			n.servePeerMessage(context.Background(), &sequoiarouter.Request{
				Path: pathTable, Body: []byte(body), Header: map[string][]string{headerPassOn: passOn},
			})
		}
		receive("invalid", append(recipients, "10.0.0.1:99999"))
		receive("update", recipients)
		Eventually(bodies).Should(Receive(Equal("update")))
		Eventually(bodies).Should(Receive(Equal("update")))
		Consistently(bodies, "50ms").ShouldNot(Receive())
	})
})

// peerSecret is the secret that the processes of a test share.
var peerSecret = make([]byte, secretBytes)

// listenAsPeer starts another process at addr, of which only the messages are seen.
func listenAsPeer(addr netip.AddrPort, serve func(req *sequoiarouter.Request) *sequoiarouter.Response) {
	ginkgo.GinkgoHelper()
	f, err := sequoiapeer.NewForwarder(peerSecret, sequoiapeer.WithServe(
		func(_ context.Context, req *sequoiarouter.Request) *sequoiarouter.Response { return serve(req) }))
	Expect(err).NotTo(HaveOccurred())
	ginkgo.DeferCleanup(f.Close)
	Expect(f.Listen(addr)).To(Succeed())
}

// newForwardingNode returns a Node that can send messages to other processes.
func newForwardingNode() *Node {
	ginkgo.GinkgoHelper()
	n := newCommitNode(&tableStore{})
	var err error
	n.forwarder, err = sequoiapeer.NewForwarder(peerSecret)
	Expect(err).NotTo(HaveOccurred())
	ginkgo.DeferCleanup(n.forwarder.Close)
	return n
}
