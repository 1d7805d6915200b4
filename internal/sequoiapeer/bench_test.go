package sequoiapeer

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiacontrol"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiarouter"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

// connectionCounts are the sizes at which memory per connection is measured.
var connectionCounts = []int{50, 100, 200, 400}

// settleTime is the time in which connections become idle. It is longer than the default -benchtime, so that each size
// runs once.
const settleTime = 1100 * time.Millisecond

// memory returns the bytes of heap and stacks in use, and the resident size of the process, once they no longer
// change: goroutines of an earlier benchmark end some time after their connections are closed.
func memory() (inUse, resident int64) {
	for range 20 {
		previous := inUse
		debug.FreeOSMemory()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		inUse = int64(m.HeapInuse + m.StackInuse)
		if max(inUse-previous, previous-inUse) < 64<<10 {
			break
		}
		time.Sleep(200 * time.Millisecond)
	}
	var pages int64
	b, err := os.ReadFile("/proc/self/statm")
	if err == nil {
		_, _ = fmt.Sscanf(string(b), "%d %d", new(int64), &pages)
	}
	return inUse, pages * int64(os.Getpagesize())
}

// cpu returns the processor time used by this process.
func cpu() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func benchControl(b *testing.B, receive func(sequoiatable.IncarnationID, sequoiacontrol.Message)) *Control {
	c, err := NewControl(testKey, WithReceive(receive))
	if err != nil {
		b.Fatal(err)
	}
	c.SetIncarnation(1)
	if err := c.Listen(loopback); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = c.Close() })
	return c
}

func benchForwarder(b *testing.B) *Forwarder {
	f, err := NewForwarder(testKey, WithServe(echo))
	if err != nil {
		b.Fatal(err)
	}
	if err := f.Listen(loopback); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = f.Close() })
	return f
}

// reportMemory reports the memory growth per connection, including both of its ends.
func reportMemory(b *testing.B, inUse, resident int64, n int) {
	inUseAfter, residentAfter := memory()
	b.ReportMetric(float64(inUseAfter-inUse)/float64(n)/1024, "KiB/conn")
	b.ReportMetric(float64(residentAfter-resident)/float64(n)/1024, "resident-KiB/conn")
	b.ReportMetric(0, "ns/op")
}

func waitFor(b *testing.B, ready func() bool) {
	for deadline := time.Now().Add(20 * time.Second); !ready(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			b.Fatal("not ready in time")
		}
	}
}

// BenchmarkControlMemory measures idle QUIC connections from one process to n others, all in this process.
func BenchmarkControlMemory(b *testing.B) {
	for _, n := range connectionCounts {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var received atomic.Int64
			count := func(sequoiatable.IncarnationID, sequoiacontrol.Message) { received.Add(1) }
			center := benchControl(b, count)
			peers := make([]*Control, n)
			for i := range peers {
				peers[i] = benchControl(b, count)
			}
			inUse, resident := memory()
			for i, p := range peers {
				p.Send(1, center.Addr(), renew(1))
				waitFor(b, func() bool { return received.Load() > int64(i) })
			}
			time.Sleep(settleTime)
			reportMemory(b, inUse, resident, n)
			if got := center.Connections(); got != n {
				b.Fatalf("%d connections", got)
			}
		})
	}
}

// BenchmarkForwardMemory measures idle TCP connections from n processes to one, all in this process.
func BenchmarkForwardMemory(b *testing.B) {
	for _, n := range connectionCounts {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			server, client := benchForwarder(b), benchForwarder(b)
			inUse, resident := memory()
			for range n {
				c, err := client.open(server.Addr())
				if err != nil {
					b.Fatal(err)
				}
				client.mu.Lock()
				delete(client.pools, c.addr)
				client.mu.Unlock()
			}
			time.Sleep(settleTime)
			reportMemory(b, inUse, resident, n)
			if got := server.Stats().Connections; got != n {
				b.Fatalf("%d connections", got)
			}
		})
	}
}

// BenchmarkRenewals measures the processor time of 6 processes that each send 4 renewals a second to 3 witnesses and
// answer as many, which is 48 messages per second sent and received by each.
func BenchmarkRenewals(b *testing.B) {
	const processes, witnesses, interval, duration = 6, 3, 250 * time.Millisecond, 8 * time.Second
	controls := make([]*Control, processes)
	addrs := make([]netip.AddrPort, processes)
	var received atomic.Int64
	for i := range controls {
		controls[i] = benchControl(b, func(from sequoiatable.IncarnationID, m sequoiacontrol.Message) {
			received.Add(1)
			if m.Renew != nil {
				reply := sequoiacontrol.Renewed{Holder: from, Witness: sequoiatable.IncarnationID(i + 1), Sequence: m.Renew.Sequence}
				controls[i].Send(from, addrs[from-1], sequoiacontrol.Message{Renewed: &reply})
			}
		})
		controls[i].SetIncarnation(sequoiatable.IncarnationID(i + 1))
		addrs[i] = controls[i].Addr()
	}
	start, used, sequence := time.Now(), cpu(), uint64(0)
	for time.Since(start) < duration {
		sequence++
		for i, c := range controls {
			for w := 1; w <= witnesses; w++ {
				witness := (i + w) % processes
				c.Send(sequoiatable.IncarnationID(witness+1), addrs[witness], renew(sequence))
			}
		}
		time.Sleep(interval)
	}
	elapsed := time.Since(start)
	b.ReportMetric(float64(cpu()-used)/float64(elapsed)/processes*100, "%core/process")
	b.ReportMetric(float64(received.Load())/elapsed.Seconds()/processes, "messages/s/process")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkForward measures the round trip of a forwarded request with one and with many callers.
func BenchmarkForward(b *testing.B) {
	for _, size := range []int{100, 10000} {
		for _, callers := range []int{1, 64} {
			b.Run(fmt.Sprintf("body=%d/callers=%d", size, callers), func(b *testing.B) {
				server, client := benchForwarder(b), benchForwarder(b)
				body := make([]byte, size)
				forward := func() {
					req := &sequoiarouter.Request{
						Service: "dispatch", Key: "booking-1", Method: "POST", Path: "/", Body: body,
						Deadline: time.Now().Add(time.Minute),
					}
					if _, err := client.Forward(context.Background(), server.Addr(), req); err != nil {
						b.Error(err)
					}
				}
				forward()
				b.ReportAllocs()
				b.SetParallelism((callers + runtime.GOMAXPROCS(0) - 1) / runtime.GOMAXPROCS(0))
				b.ResetTimer()
				used := cpu()
				if callers == 1 {
					for range b.N {
						forward()
					}
				} else {
					b.RunParallel(func(pb *testing.PB) {
						for pb.Next() {
							forward()
						}
					})
				}
				b.ReportMetric(float64(cpu()-used)/float64(b.N), "cpu-ns/op")
			})
		}
	}
}
