package sequoiapeer

import (
	"context"
	"encoding/binary"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiarouter"
)

func heapInUse() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// Guards against a process that peers end by using up its memory. One with 67 members has up to 268 connections from them,
// and kept 16 MB and more of the frames of each.
var _ = ginkgo.Describe("The memory for frames of peers", func() {
	const maxHeld = MaxFrame + MaxFrame/4
	var held atomic.Int64
	start := func(serve serveFunc) *Forwarder {
		f, err := NewForwarder(testKey, WithServe(serve), withBudget(&held, maxHeld))
		Expect(err).NotTo(HaveOccurred())
		Expect(f.Listen(loopback)).To(Succeed())
		ginkgo.DeferCleanup(f.Close)
		return f
	}
	expectAnswer := func(f *Forwarder, bytes int) {
		ginkgo.GinkgoHelper()
		client := startForwarder(testKey, nil)
		req := request("k", 10*time.Second)
		req.Body = make([]byte, bytes)
		resp, err := client.Forward(context.Background(), f.Addr(), req)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Outcome).To(Equal(sequoiarouter.Answered))
		Expect(resp.Body).To(HaveLen(bytes))
	}

	ginkgo.It("has a limit when many frames stop short of their end", func() {
		const peers = 12
		f := start(echo)
		var before int64
		var clients []rawPeer
		for range peers {
			clients = append(clients, rawClient(f))
		}
		header := encodeFrame(frameRequest, 1, nil)
		binary.BigEndian.PutUint32(header[4:], MaxFrame)
		before = heapInUse()
		var sent sync.WaitGroup
		for _, r := range clients {
			sent.Go(func() {
				defer ginkgo.GinkgoRecover()
				r.write(header)
				block := make([]byte, 64<<10)
				for left := MaxFrame - 1; left > 0; left -= len(block) {
					r.write(block[:min(left, len(block))])
				}
			})
		}
		sent.Wait()
		expectAnswer(f, 100)
		Expect(heapInUse() - before).To(BeNumerically("<", 2*maxHeld))
		for _, r := range clients {
			_ = r.Conn.(*net.TCPConn).CloseWrite()
		}
		Eventually(held.Load, "5s").Should(BeZero())
		expectAnswer(f, MaxFrame/2)
	})

	ginkgo.It("has a limit when requests wait, and those beyond it are refused as not run", func() {
		const requests, bytes = 60, 1 << 20
		var running, most atomic.Int64
		proceed := make(chan struct{})
		f := start(func(ctx context.Context, req *sequoiarouter.Request) *sequoiarouter.Response {
			if n := running.Add(1); n > most.Load() {
				most.Store(n)
			}
			<-proceed
			return echo(ctx, req)
		})
		client := startForwarder(testKey, nil)
		var refused atomic.Int64
		var all sync.WaitGroup
		for range requests {
			all.Go(func() {
				defer ginkgo.GinkgoRecover()
				req := request("k", 10*time.Second)
				req.Body = make([]byte, bytes)
				resp, err := client.Forward(context.Background(), f.Addr(), req)
				Expect(err).NotTo(HaveOccurred())
				if resp.Outcome == sequoiarouter.NotRun {
					refused.Add(1)
				}
			})
		}
		Eventually(func() int64 { return running.Load() + refused.Load() }, "5s").Should(Equal(int64(requests)))
		close(proceed)
		all.Wait()
		Expect(most.Load() * bytes).To(BeNumerically("<=", maxHeld))
		Expect(held.Load()).To(BeZero())
		expectAnswer(f, MaxFrame/2)
	})

	ginkgo.It("has a limit when many responses arrive, and those beyond it end their requests as unknown", func() {
		const servers = 12
		client, err := NewForwarder(testKey, withBudget(&held, maxHeld))
		Expect(err).NotTo(HaveOccurred())
		ginkgo.DeferCleanup(client.Close)
		header := encodeFrame(frameResponse, 1, nil)
		binary.BigEndian.PutUint32(header[4:], MaxFrame)
		before := heapInUse()
		var sent, all sync.WaitGroup
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		var unknown atomic.Int64
		sent.Add(servers)
		for range servers {
			addr := rawServer(func(r rawPeer) {
				r.read()
				r.write(header)
				block := make([]byte, 64<<10)
				for left := MaxFrame - 1; left > 0; left -= len(block) {
					r.write(block[:min(left, len(block))])
				}
				sent.Done()
				<-ctx.Done()
			})
			all.Go(func() {
				defer ginkgo.GinkgoRecover()
				_, err := client.Forward(ctx, addr, request("k", 20*time.Second))
				Expect(err).To(MatchError(ErrUnknown))
				unknown.Add(1)
			})
		}
		sent.Wait()
		// A silent connection is closed after 3 s, which ends its request as well.
		Eventually(unknown.Load, "2s").Should(BeNumerically(">=", servers-1))
		Expect(heapInUse() - before).To(BeNumerically("<", 2*maxHeld))
		cancel()
		all.Wait()
		_ = client.Close()
		Expect(held.Load()).To(BeZero())
	})
})

// withBudget reserves bodies and large frames in a budget.
func withBudget(held *atomic.Int64, limit int64) ForwarderOption {
	return func(f *Forwarder) {
		f.ReserveBody = func(n int) (func(), bool) {
			if sum := held.Add(int64(n)); sum > limit && sum != int64(n) {
				held.Add(-int64(n))
				return nil, false
			}
			return func() { held.Add(-int64(n)) }, true
		}
	}
}
