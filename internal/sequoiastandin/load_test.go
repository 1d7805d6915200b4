package sequoiastandin_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiachecker"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiastandin"
)

var _ = ginkgo.Describe("RunLoad", func() {
	ctx := context.Background()
	config := sequoiastandin.LoadConfig{
		Service: "dispatch", Callers: 4, Requests: 400, Duration: 20 * time.Second, Keys: 50, Skew: 1.3, Seed: 7,
		Timeout: time.Second, RunID: "run", BodyBytes: 100,
	}
	keys := func(r *sequoiastandin.LoadReport) map[string]int {
		counts := map[string]int{}
		for _, c := range r.Records {
			counts[c.Key]++
		}
		return counts
	}

	ginkgo.It("draws the same skewed keys for a seed regardless of timing, so that runs can be compared", func() {
		answer := func(delay time.Duration) sequoiastandin.SendFunc {
			return func(context.Context, sequoiastandin.LoadCall) sequoiastandin.LoadResult {
				time.Sleep(delay)
				return sequoiastandin.LoadResult{Outcome: sequoiachecker.Answered}
			}
		}
		a, err := sequoiastandin.RunLoad(ctx, config, answer(0))
		Expect(err).NotTo(HaveOccurred())
		slower := config
		slower.Callers = 16
		b, _ := sequoiastandin.RunLoad(ctx, slower, answer(time.Millisecond))
		Expect(a.Requests()).To(Equal(400))
		Expect(keys(a)).To(Equal(keys(b)))
		Expect(keys(a)["key-0"]).To(BeNumerically(">", 80))
	})

	ginkgo.It("ends after its duration, and counts a stall in the latency of each request due during it", func() {
		cfg := config
		cfg.Callers, cfg.Requests, cfg.Rate, cfg.Duration = 1, 1000, 100, 500*time.Millisecond
		var n atomic.Int64
		r, err := sequoiastandin.RunLoad(ctx, cfg, func(context.Context, sequoiastandin.LoadCall) sequoiastandin.LoadResult {
			if n.Add(1) == 1 {
				time.Sleep(300 * time.Millisecond)
			}
			return sequoiastandin.LoadResult{Outcome: sequoiachecker.Answered}
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Requests()).To(BeNumerically("<=", 50))
		Expect(r.Ended.Sub(r.Started)).To(BeNumerically("<", 2*time.Second))
		Expect(r.Latency.ValueAtQuantile(50)).To(BeNumerically(">", 20_000))
	})

	ginkgo.It("rejects a configuration that is out of range", func() {
		for _, change := range []func(*sequoiastandin.LoadConfig){
			func(c *sequoiastandin.LoadConfig) { c.Requests = 0 },
			func(c *sequoiastandin.LoadConfig) { c.Duration = 0 },
			func(c *sequoiastandin.LoadConfig) { c.Timeout = 0 },
			func(c *sequoiastandin.LoadConfig) { c.Skew = 0.5 },
		} {
			cfg := config
			change(&cfg)
			_, err := sequoiastandin.RunLoad(ctx, cfg, nil)
			Expect(err).To(MatchError(sequoiastandin.ErrLoadConfig))
		}
	})

	ginkgo.It("records a correct run over HTTP without violations", func() {
		u, err := sequoiastandin.StartUpstream(sequoiastandin.UpstreamConfig{
			Name: "u1", Service: "dispatch", Listen: loopback, Slots: 2, ServiceTime: time.Millisecond,
		})
		Expect(err).NotTo(HaveOccurred())
		ginkgo.DeferCleanup(u.Close)
		process := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			req := r.Clone(r.Context())
			req.URL.Scheme, req.URL.Host, req.RequestURI = "http", u.Addr().String(), ""
			resp, err := http.DefaultTransport.RoundTrip(req)
			if err != nil {
				w.WriteHeader(http.StatusGatewayTimeout)
				return
			}
			defer resp.Body.Close()
			outcome := sequoiachecker.Answered
			if resp.Header.Get("Sequoia-Refused") != "" {
				outcome = sequoiachecker.NotRun
			}
			w.Header().Set("Sequoia-Outcome", string(outcome))
			w.WriteHeader(resp.StatusCode)
			_, _ = io.Copy(w, resp.Body)
		}))
		ginkgo.DeferCleanup(process.Close)
		addr := netip.MustParseAddrPort(strings.TrimPrefix(process.URL, "http://"))
		r, err := sequoiastandin.RunLoad(ctx, config, sequoiastandin.HTTPSend(http.DefaultClient, addr))
		Expect(err).NotTo(HaveOccurred())
		Expect(r.Answered).To(BeNumerically(">", 0))
		Expect(r.NotRun).To(BeNumerically(">", 0))
		executions, _ := u.Executions()
		report := sequoiachecker.Check(sequoiachecker.Run{Executions: executions, Callers: r.Records})
		Expect(report.Violations).To(BeEmpty())
		Expect(report.Executions).To(Equal(r.Answered))
	})
})
