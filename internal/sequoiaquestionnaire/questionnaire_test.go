package sequoiaquestionnaire_test

import (
	"bytes"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaquestionnaire"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiasettings"
)

var update = flag.Bool("update", false, "write the golden configurations")

func TestQuestionnaire(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "sequoiaquestionnaire")
}

func examplePath(deployment, file string) string {
	return filepath.Join("..", "..", "examples", deployment, file)
}

func exampleAnswers(deployment string) sequoiaquestionnaire.Answers {
	data, err := os.ReadFile(examplePath(deployment, "answers.hujson"))
	Expect(err).NotTo(HaveOccurred())
	a, err := sequoiaquestionnaire.ParseAnswers("answers.hujson", data)
	Expect(err).NotTo(HaveOccurred())
	return a
}

var _ = ginkgo.Describe("Configuration", func() {
	ginkgo.It("produces the golden configurations, which parse and name an answer at every value", func() {
		for _, deployment := range []string{"howrah", "pinehollow"} {
			a := exampleAnswers(deployment)
			got, err := a.Configuration()
			Expect(err).NotTo(HaveOccurred())
			golden := examplePath(deployment, "derived-configuration.hujson")
			if *update {
				Expect(os.WriteFile(golden, got, 0o644)).To(Succeed())
			}
			want, err := os.ReadFile(golden)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(got)).To(Equal(string(want)))
			_, err = sequoiasettings.ParseConfiguration(golden, want)
			Expect(err).NotTo(HaveOccurred())
			for _, line := range strings.Split(string(want), "\n") {
				if strings.HasSuffix(line, ",") && !strings.HasSuffix(line, "},") && !strings.HasSuffix(line, "],") {
					Expect(line).To(ContainSubstring(" // "), "a value without its answer")
				}
			}
		}
	})
})

var _ = ginkgo.Describe("Check", func() {
	refused := func(change func(a *sequoiaquestionnaire.Answers), reason string) {
		a := exampleAnswers("howrah")
		change(&a)
		_, err := a.Configuration()
		Expect(err).To(MatchError(sequoiaquestionnaire.ErrRefused))
		Expect(err).To(MatchError(ContainSubstring(reason)))
	}

	ginkgo.It("refuses requirements that the system cannot meet, which operators would otherwise discover in an incident", func() {
		refused(func(a *sequoiaquestionnaire.Answers) { a.LongestUnavailable = 500 * time.Millisecond }, "lease of 1s")
		refused(func(a *sequoiaquestionnaire.Answers) {
			a.FrozenIsHarmless, a.Services[0].ChecksGrants = true, false
		}, "do not check grants")
		refused(func(a *sequoiaquestionnaire.Answers) { a.LostFailureDomains = 2 }, "at most 1 is tolerated")
		refused(func(a *sequoiaquestionnaire.Answers) { a.FailureDomains = 2 }, "there are 2")
		refused(func(a *sequoiaquestionnaire.Answers) { a.Services[0].ResendWindow = time.Second }, "forgotten")
		refused(func(a *sequoiaquestionnaire.Answers) { a.SecondPriority = a.FirstPriority }, "are both")
		refused(func(a *sequoiaquestionnaire.Answers) { a.Services[0].Keys = 2 }, "without work")
	})

	ginkgo.It("returns an error for answers that lead to a configuration value that is not allowed, instead of writing it", func() {
		a := exampleAnswers("howrah")
		a.Services[0].Name = "two words"
		_, err := a.Configuration()
		Expect(err).To(MatchError(sequoiasettings.ErrValue))
	})
})

var _ = ginkgo.Describe("Ask", func() {
	const input = "howrah\n4\n1\nsoon\n2s\nfalse\ntrue\nImbalance\nUnavailable\n1\n" +
		"dispatch\n5\n6\n110\ntrue\nfalse\n2000\n5s\n60s\n1048576\n"

	ginkgo.It("reads the same answers from a terminal as from a file and repeats a question after an invalid answer", func() {
		var out bytes.Buffer
		a, err := sequoiaquestionnaire.Ask(strings.NewReader(input), &out)
		Expect(err).NotTo(HaveOccurred())
		Expect(out.String()).To(ContainSubstring(`"soon" is not a duration such as 2s.`))
		want := exampleAnswers("howrah")
		want.Services = want.Services[:1]
		Expect(a).To(Equal(want))
	})

	ginkgo.It("returns an error at the end of the input, where it would otherwise ask forever", func() {
		_, err := sequoiaquestionnaire.Ask(strings.NewReader(input[:40]), &bytes.Buffer{})
		Expect(err).To(MatchError(sequoiaquestionnaire.ErrAnswer))
	})
})

var _ = ginkgo.Describe("ParseAnswers", func() {
	ginkgo.It("reports every missing answer, because its zero value would be taken for an answer", func() {
		_, err := sequoiaquestionnaire.ParseAnswers("a", []byte(`{"FirstPriority": "Speed", "Services": [{"Name": "x"}]}`))
		Expect(err).To(MatchError(sequoiasettings.ErrMissingField))
		Expect(err).To(MatchError(ContainSubstring("Services[0].ChecksGrants: missing field; allowed: true or false")))
		Expect(err).To(MatchError(ContainSubstring("FirstPriority: value not allowed: Speed")))
	})
})
