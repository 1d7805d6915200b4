package sequoiastandin_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiachecker"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiastandin"
	. "github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

// fakeProcess confirms each announcement with a grant for its incarnation and stores the last announcement.
type fakeProcess struct {
	incarnation atomic.Uint64
	last        atomic.Pointer[sequoiastandin.Announcement]
	count       atomic.Int64
}

func (p *fakeProcess) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var a sequoiastandin.Announcement
	_ = json.NewDecoder(r.Body).Decode(&a)
	p.last.Store(&a)
	p.count.Add(1)
	_ = json.NewEncoder(w).Encode(sequoiastandin.AnnounceReply{
		Incarnation: IncarnationID(p.incarnation.Load()), GrantMilliseconds: 600,
	})
}

var _ = ginkgo.Describe("Upstream", func() {
	var process *fakeProcess

	start := func(change func(*sequoiastandin.UpstreamConfig)) (*sequoiastandin.Upstream, string) {
		process = &fakeProcess{}
		process.incarnation.Store(7)
		server := httptest.NewServer(process)
		ginkgo.DeferCleanup(server.Close)
		cfg := sequoiastandin.UpstreamConfig{
			Name: "u1", Service: "dispatch", Listen: loopback, Slots: 2, ServiceTime: 5 * time.Millisecond,
			Process: netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")), ChecksGrants: true,
		}
		if change != nil {
			change(&cfg)
		}
		u, err := sequoiastandin.StartUpstream(cfg)
		Expect(err).NotTo(HaveOccurred())
		ginkgo.DeferCleanup(u.Close)
		Eventually(process.count.Load, "2s", "5ms").Should(BeNumerically(">", 0))
		time.Sleep(20 * time.Millisecond)
		return u, "http://" + u.Addr().String() + "/work"
	}
	send := func(url, id string, epoch int, more ...string) (refused string, err error) {
		header := append([]string{
			"Sequoia-Key", "k", "Sequoia-Request-Id", id, "Sequoia-Epoch", strconv.Itoa(epoch),
			"Sequoia-Incarnation", "0000000000000007",
		}, more...)
		resp, body, err := call("POST", url, "body of "+id, header...)
		if err != nil {
			return "", err
		}
		c := &sequoiachecker.CallerRecord{Key: "k", RequestID: id, BodyDigest: sequoiachecker.Digest([]byte("body of " + id))}
		if resp.StatusCode == 200 {
			Expect(sequoiachecker.VerifyAnswer(c, []byte(body))).To(Succeed())
		}
		return resp.Header.Get("Sequoia-Refused"), nil
	}
	deadline := func(d time.Duration) string { return strconv.FormatInt(time.Now().Add(d).UnixMilli(), 10) }

	ginkgo.It("refuses requests with a stale incarnation, epoch or deadline without recording an execution", func() {
		u, url := start(nil)
		Expect(send(url, "a", 5)).To(Equal(""))
		Expect(send(url, "b", 4)).To(Equal("StaleGrant"))
		Expect(send(url, "c", 5, "Sequoia-Incarnation", "0000000000000008")).To(Equal("StaleGrant"))
		Expect(send(url, "d", 5, "Sequoia-Deadline", deadline(-time.Second))).To(Equal("DeadlinePassed"))
		list, _ := u.Executions()
		Expect(list).To(HaveLen(1))
		Expect(list[0].RequestID).To(Equal("a"))
		Expect(list[0].Committed).To(BeTrue())
	})

	ginkgo.It("does not commit a request frozen for longer than the grant, and sends no announcements meanwhile", func() {
		u, url := start(func(c *sequoiastandin.UpstreamConfig) { c.ServiceTime = 150 * time.Millisecond })
		var countAtFreeze, countAtResume atomic.Int64
		time.AfterFunc(50*time.Millisecond, func() {
			u.SetFrozen(true)
			countAtFreeze.Store(process.count.Load())
		})
		time.AfterFunc(800*time.Millisecond, func() {
			countAtResume.Store(process.count.Load())
			process.incarnation.Store(8)
			u.SetFrozen(false)
		})
		startTime := time.Now()
		Expect(send(url, "a", 5)).To(Equal("StaleGrant"))
		Expect(time.Since(startTime)).To(BeNumerically(">", 700*time.Millisecond))
		// One announcement may have been in transit when the upstream was frozen.
		Expect(countAtResume.Load() - countAtFreeze.Load()).To(BeNumerically("<=", 1))
		list, _ := u.Executions()
		Expect(list).To(HaveLen(1))
		Expect(list[0].Committed).To(BeFalse())
	})

	ginkgo.It("commits after the deadline only with CommitsLate, a fault that the checker has to detect", func() {
		u, url := start(func(c *sequoiastandin.UpstreamConfig) {
			c.ChecksGrants = false
			c.ServiceTime = 60 * time.Millisecond
		})
		Expect(send(url, "a", 5, "Sequoia-Deadline", deadline(30*time.Millisecond))).To(Equal("DeadlinePassed"))
		u.SetFaults(sequoiastandin.UpstreamFaults{CommitsLate: true})
		Expect(send(url, "b", 5, "Sequoia-Deadline", deadline(30*time.Millisecond))).To(Equal(""))
		list, _ := u.Executions()
		Expect(list).To(HaveLen(2))
		Expect(list[0].Committed).To(BeFalse())
		Expect(list[1].Committed).To(BeTrue())
		Expect(list[1].End.Sub(list[1].Start)).To(BeNumerically(">", 50*time.Millisecond))
	})

	ginkgo.It("sheds requests beyond its slots, does not commit cancelled ones, finishes the rest when draining", func() {
		u, url := start(func(c *sequoiastandin.UpstreamConfig) { c.ServiceTime = 150 * time.Millisecond })
		ctx, cancel := context.WithCancel(context.Background())
		req, _ := http.NewRequestWithContext(ctx, "POST", url, nil)
		req.Header.Set("Sequoia-Incarnation", "0000000000000007")
		go func() {
			if resp, err := http.DefaultClient.Do(req); err == nil {
				_ = resp.Body.Close()
			}
		}()
		results := make(chan string, 2)
		go func() {
			defer ginkgo.GinkgoRecover()
			r, err := send(url, "a", 5)
			Expect(err).NotTo(HaveOccurred())
			results <- r
		}()
		time.Sleep(50 * time.Millisecond)
		Expect(send(url, "b", 5)).To(Equal("Shed"))
		cancel()
		Expect(u.Drain(context.Background())).To(Succeed())
		Expect(<-results).To(Equal(""))
		Expect(send(url, "c", 5)).To(Equal("Draining"))
		list, _ := u.Executions()
		Expect(list).To(HaveLen(2))
		Expect(list[0].Committed).To(BeFalse())
		Expect(list[1].Committed).To(BeTrue())
	})

	ginkgo.It("reports a delayed and multiplied load, is slow after a cold start and writes a record file", func() {
		file := filepath.Join(ginkgo.GinkgoT().TempDir(), "records")
		u, url := start(func(c *sequoiastandin.UpstreamConfig) {
			c.RecordFile, c.ColdStartDuration, c.ColdStartFactor = file, time.Minute, 100
		})
		u.SetFaults(sequoiastandin.UpstreamFaults{LoadFactor: 3, LoadLagMilliseconds: 300, Unhealthy: true})
		startTime := time.Now()
		Expect(send(url, "a", 5)).To(Equal(""))
		Expect(time.Since(startTime)).To(BeNumerically(">=", 500*time.Millisecond))
		Eventually(func() float64 { return process.last.Load().Load }, "2s", "5ms").Should(Equal(1.5))
		Expect(process.last.Load().Healthy).To(BeFalse())
		data, err := os.ReadFile(file)
		Expect(err).NotTo(HaveOccurred())
		var e sequoiachecker.Execution
		Expect(json.Unmarshal(data, &e)).To(Succeed())
		Expect(e.RequestID).To(Equal("a"))
		Expect(e.Incarnation).To(Equal(IncarnationID(7)))
	})
})
