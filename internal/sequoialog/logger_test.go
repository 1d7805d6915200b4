package sequoialog_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"
	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoialog"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatimer"
)

func TestLog(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "sequoialog")
}

var start = time.Date(2026, 3, 4, 5, 6, 7, 890123456, time.FixedZone("", 3600))

// closeAndDecode closes l and decodes the lines that it wrote.
func closeAndDecode(l *sequoialog.Logger, out *bytes.Buffer) []map[string]any {
	l.Close()
	var decoded []map[string]any
	d := json.NewDecoder(out)
	for d.More() {
		var line map[string]any
		Expect(d.Decode(&line)).To(Succeed())
		decoded = append(decoded, line)
	}
	return decoded
}

var _ = ginkgo.Describe("Logger", func() {
	var out *bytes.Buffer
	var clock *sequoiatimer.ManualClock
	var timers *sequoiatimer.Service

	ginkgo.BeforeEach(func() {
		out = &bytes.Buffer{}
		clock = sequoiatimer.NewManualClock(start)
		timers = sequoiatimer.New(sequoiatimer.WithClock(clock.Clock()))
	})

	ginkgo.It("writes every field, with the time of the decision rather than the time of writing", func() {
		l := sequoialog.New(out, sequoialog.WithTimers(timers))
		l.Placement(sequoialog.Decision{
			Name: "Takeover", Service: "dispatch", Key: "k\"\n", Shards: []uint32{7, 0, 1, 2, 9}, Owner: 0xab, Previous: 1,
			Epoch: 12, Outcome: "Assigned", Reason: "LeaseEnded",
		})
		clock.Advance(time.Hour)
		Expect(closeAndDecode(l, out)).To(Equal([]map[string]any{{
			"time": "2026-03-04T04:06:07.890123Z", "level": "info", "msg": "placement", "Decision": "Takeover",
			"Service": "dispatch", "Key": "k\"\n", "Shards": "0-2,7,9", "Owner": "00000000000000ab",
			"Previous": "0000000000000001", "Epoch": 12.0, "Outcome": "Assigned", "Reason": "LeaseEnded",
		}}))
	})

	ginkgo.It("counts every routing decision above the rate limit in a summary, so that none is lost silently", func() {
		l := sequoialog.New(out, sequoialog.WithTimers(timers), sequoialog.WithRate(2))
		for range 5 {
			l.Routing(sequoialog.Decision{Outcome: "NotRun", Reason: "NotOwner"})
		}
		l.Routing(sequoialog.Decision{Outcome: "Answered"})
		l.PeerRejected(netip.MustParseAddrPort("127.0.0.1:1"), errors.New("wrong key"))
		written := closeAndDecode(l, out)
		Expect(written).To(HaveLen(3))
		Expect(written[2]).To(HaveKeyWithValue("Lines", 5.0))
		Expect(written[2]).To(HaveKeyWithValue("Reasons", map[string]any{"NotOwner": 3.0, "Answered": 1.0, "PeerRejected": 1.0}))
	})

	ginkgo.It("writes routing lines again in the next second", func() {
		out := gbytes.NewBuffer()
		l := sequoialog.New(out, sequoialog.WithTimers(timers), sequoialog.WithRate(1))
		defer l.Close()
		l.Routing(sequoialog.Decision{Reason: "A"})
		Eventually(func() string {
			clock.Advance(time.Second)
			l.Routing(sequoialog.Decision{Reason: "B"})
			return string(out.Contents())
		}).Should(ContainSubstring(`"Reason":"B"`))
	})

	ginkgo.It("drops no placement decision while the output is slow and the buffer is not full", func() {
		r, w := io.Pipe()
		l := sequoialog.New(w, sequoialog.WithTimers(timers))
		const n = 16000
		for range n {
			l.Placement(sequoialog.Decision{Name: "Move"})
		}
		go func() {
			l.Close()
			_ = w.Close()
		}()
		all, err := io.ReadAll(r)
		Expect(err).NotTo(HaveOccurred())
		Expect(bytes.Count(all, []byte("\n"))).To(Equal(n))
		Expect(l.Lost()).To(BeZero())
	})

	ginkgo.It("never blocks the control loop on a blocked output, and counts each line lost because of it", func() {
		r, w := io.Pipe()
		l := sequoialog.New(w, sequoialog.WithTimers(timers))
		const n = 20000
		began := time.Now()
		for range n {
			l.Placement(sequoialog.Decision{Name: "Move"})
		}
		Expect(time.Since(began)).To(BeNumerically("<", time.Second), "the lease lasts 1 s")
		Expect(l.Lost()).To(BeNumerically(">=", n-16384-1))
		go func() {
			l.Close()
			_ = w.Close()
		}()
		all, err := io.ReadAll(r)
		Expect(err).NotTo(HaveOccurred())
		Expect(bytes.Count(all, []byte(`"Decision":"Move"`))).To(Equal(n - int(l.Lost())))
		Expect(string(all)).To(ContainSubstring(fmt.Sprintf(`"msg":"placement lines lost","Lines":%d,`, l.Lost())))
	})

	ginkgo.It("returns from Close while the output is blocked, so that the process can stop", func() {
		_, w := io.Pipe()
		l := sequoialog.New(w, sequoialog.WithTimers(timers))
		l.Placement(sequoialog.Decision{Name: "Move"})
		closed := make(chan struct{})
		go func() {
			l.Close()
			close(closed)
		}()
		Eventually(closed).WithTimeout(4 * time.Second).Should(BeClosed())
	})

	ginkgo.It("samples answered requests only, so that a failed one is not hidden", func() {
		l := sequoialog.New(out, sequoialog.WithTimers(timers), sequoialog.WithSample(10), sequoialog.WithRate(100))
		for range 30 {
			l.Routing(sequoialog.Decision{Outcome: "Answered"})
			l.Routing(sequoialog.Decision{Outcome: "Unknown"})
		}
		count := map[any]int{}
		for _, line := range closeAndDecode(l, out) {
			count[line["Outcome"]]++
		}
		Expect(count).To(Equal(map[any]int{"Answered": 3, "Unknown": 30}))
	})
})

// BenchmarkLine measures the total cost of a line, including formatting.
func BenchmarkLine(b *testing.B) {
	l := sequoialog.New(io.Discard)
	d := sequoialog.Decision{
		Name: "Route", Service: "dispatch", Key: "booking-12345678", Owner: 0xabcdef, Epoch: 123456, Outcome: "Answered",
		Reason: "Owner",
	}
	b.ReportAllocs()
	for b.Loop() {
		l.Placement(d)
	}
	l.Close()
}

// BenchmarkSuppressed measures the caller's cost of a line above the rate limit.
func BenchmarkSuppressed(b *testing.B) {
	l := sequoialog.New(io.Discard, sequoialog.WithRate(0))
	d := sequoialog.Decision{Outcome: "Answered", Reason: "Owner"}
	b.ReportAllocs()
	for b.Loop() {
		l.Routing(d)
	}
	l.Close()
}
