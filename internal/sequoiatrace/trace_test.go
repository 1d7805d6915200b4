package sequoiatrace_test

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatrace"
)

var update = flag.Bool("update", false, "write the generated traces to testdata")

func TestTrace(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "sequoiatrace")
}

// committedSeed is the seed of the traces in testdata.
const committedSeed = 20261204

func tracePath(s sequoiatrace.Service, scenario string) string {
	return filepath.Join("testdata", s.Deployment+"-"+s.Name+"-"+scenario+".jsonl")
}

var _ = ginkgo.Describe("Generate", func() {
	ginkgo.It("reproduces the committed traces, so that published results can be reproduced", func() {
		for _, s := range sequoiatrace.Services() {
			for _, scenario := range s.Scenarios() {
				t := sequoiatrace.Generate(s, scenario, committedSeed)
				var b bytes.Buffer
				Expect(t.Write(&b)).To(Succeed())
				if *update {
					Expect(os.MkdirAll("testdata", 0o755)).To(Succeed())
					Expect(os.WriteFile(tracePath(s, scenario), b.Bytes(), 0o644)).To(Succeed())
				}
				committed, err := os.ReadFile(tracePath(s, scenario))
				Expect(err).NotTo(HaveOccurred())
				Expect(b.String()).To(Equal(string(committed)))
			}
		}
	})
})

var _ = ginkgo.Describe("Replay", func() {
	ginkgo.It("stays within the bounds of every committed trace and ends its output with one JSON object", func() {
		files, err := filepath.Glob("testdata/*.jsonl")
		Expect(err).NotTo(HaveOccurred())
		Expect(files).NotTo(BeEmpty())
		var violations []string
		for _, file := range files {
			data, err := os.ReadFile(file)
			Expect(err).NotTo(HaveOccurred())
			t, err := sequoiatrace.Read(bytes.NewReader(data))
			Expect(err).NotTo(HaveOccurred(), file)
			var out bytes.Buffer
			ok, err := sequoiatrace.Replay(&out, t)
			Expect(err).NotTo(HaveOccurred(), file)
			lines := strings.Split(strings.TrimSpace(out.String()), "\n")
			var report sequoiatrace.Report
			Expect(json.Unmarshal([]byte(lines[len(lines)-1]), &report)).To(Succeed())
			ginkgo.GinkgoWriter.Printf("%s\n%s\n", file, out.String())
			Expect(report.Results).To(HaveLen(len(lines) - 1))
			if !ok {
				violations = append(violations, file+": "+strings.Join(report.Violations, "; "))
			}
		}
		Expect(violations).To(BeEmpty())
	})

	ginkgo.It("is deterministic: its output does not depend on map order or the time", func() {
		s := sequoiatrace.Services()[0]
		var first, second bytes.Buffer
		_, err := sequoiatrace.Replay(&first, sequoiatrace.Generate(s, "lost-domain-howrah-north", 7))
		Expect(err).NotTo(HaveOccurred())
		_, err = sequoiatrace.Replay(&second, sequoiatrace.Generate(s, "lost-domain-howrah-north", 7))
		Expect(err).NotTo(HaveOccurred())
		Expect(first.String()).To(Equal(second.String()))
	})
})

var _ = ginkgo.Describe("Read", func() {
	ginkgo.It("rejects traces that would make a replay panic or run without bound", func() {
		t := sequoiatrace.Generate(sequoiatrace.Services()[0], "slow-upstream", 1)
		var b bytes.Buffer
		Expect(t.Write(&b)).To(Succeed())
		for old, broken := range map[string]string{
			`"Shards":256`: `"Shards":0`, `"DurationSeconds":600`: `"DurationSeconds":1e12`,
			`"Kind":"Slow"`: `"Kind":"Fast"`, `"Factor":2`: `"Factor":0`, `{"Outcome"`: `{"Outcomes"`,
			`"At":120`: `"At":-1`, `"PerSecond":150`: `"PerSecond":1e9`,
		} {
			Expect(b.String()).To(ContainSubstring(old))
			_, err := sequoiatrace.Read(strings.NewReader(strings.Replace(b.String(), old, broken, 1)))
			Expect(err).To(MatchError(sequoiatrace.ErrTrace), broken)
		}
	})
})
