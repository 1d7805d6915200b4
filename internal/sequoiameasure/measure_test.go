package sequoiameasure

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestMeasure(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "Measure")
}

var _ = ginkgo.Describe("Measurement", func() {
	ginkgo.It("reports the median and the range of the runs, not the last value", func() {
		r := newRecorder()
		for _, v := range []float64{9, 1, 4} {
			r.add(PartLatency, "direct", "p50", "us", v)
		}
		var out bytes.Buffer
		Expect(r.report().Print(&out)).To(Succeed())
		lines := bytes.Split(bytes.TrimSpace(out.Bytes()), []byte("\n"))
		var report Report
		Expect(json.Unmarshal(lines[len(lines)-1], &report)).To(Succeed())
		Expect(report.Rows).To(Equal([]Row{{
			Part: PartLatency, Subject: "direct", Metric: "p50", Unit: "us", Median: 4, Lowest: 1, Highest: 9, Runs: 3,
		}}))
		Expect(median([]float64{1, 2, 4, 9})).To(Equal(3.0))
	})

	ginkgo.It("rejects configurations that would run without bound or measure nothing", func() {
		valid := Config{Parts: []string{PartLog}, Repeats: 1, Window: time.Second}
		for _, change := range []func(c *Config){
			func(c *Config) { c.Parts = []string{"speed"} },
			func(c *Config) { c.Repeats = 0 },
			func(c *Config) { c.Sizes = []int{100_000} },
			func(c *Config) { c.Members = []int{1} },
			func(c *Config) { c.Window = time.Hour },
		} {
			cfg := valid
			change(&cfg)
			_, err := Run(context.Background(), cfg, io.Discard)
			Expect(err).To(MatchError(ErrConfig))
		}
	})

	ginkgo.It("measures the whole takeover: every shard of the lost failure domain is reassigned", func() {
		cfg := Config{Parts: []string{PartCore}, Repeats: 1, Members: []int{minMembers}, Window: time.Second}
		report, err := Run(context.Background(), cfg, io.Discard)
		Expect(err).NotTo(HaveOccurred())
		found := func(metric string) float64 {
			for _, row := range report.Rows {
				if row.Metric == metric {
					return row.Median
				}
			}
			return -1
		}
		Expect(found("members lost with a failure domain")).To(Equal(4.0))
		Expect(found("shards taken over")).To(Equal(4.0 * shardsPerMember))
	})
})
