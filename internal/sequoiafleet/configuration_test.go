package sequoiafleet_test

import (
	"context"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaadmin"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiafleet"
)

func TestFleet(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "sequoiafleet")
}

func revision(n *sequoiafleet.Node) uint64 {
	return n.Process.Snapshot().Table.Configuration.Revision
}

// countBehind counts the processes whose configuration is older than rev.
func countBehind(f *sequoiafleet.Fleet, rev uint64) int {
	count := 0
	for _, n := range f.Nodes {
		if revision(n) < rev {
			count++
		}
	}
	return count
}

var _ = Describe("a configuration change among 36 processes", func() {
	It("reaches every process within 12 s and never reverts, with two concurrent operators and a store outage", func() {
		startCtx, cancelStart := context.WithTimeout(context.Background(), 40*time.Second)
		DeferCleanup(cancelStart)
		d, err := sequoiafleet.FindDeployment("howrah")
		Expect(err).NotTo(HaveOccurred())
		d.Services[0].Upstreams = 32
		output := gbytes.NewBuffer()
		f, err := sequoiafleet.Start(startCtx, d, output)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(f.Close)
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		DeferCleanup(cancel)
		By("applying two documents concurrently")
		base := revision(f.Nodes[0])
		apply := func(ctx context.Context, node int, base uint64, operator string) (uint64, error) {
			document := strings.Replace(d.Configuration, `"Queued": 200`, `"Queued": 201`, 1)
			req := sequoiaadmin.ApplyRequest{Base: base, Operator: operator, Document: document}
			done, err := f.Nodes[node].Admin().Apply(ctx, req)
			return done.Revision, err
		}

		type result struct {
			revision uint64
			err      error
		}
		results := make(chan result, 2)
		for i, operator := range []string{"first", "second"} {
			go func() {
				rev, err := apply(ctx, i+1, base, operator)
				results <- result{rev, err}
			}()
		}
		a, b := <-results, <-results
		if a.err != nil {
			a, b = b, a
		}
		Expect(a.err).NotTo(HaveOccurred())
		Expect(b.err).To(MatchError(sequoiaadmin.ErrConflict))
		Eventually(func() int { return countBehind(f, a.revision) }).WithTimeout(12 * time.Second).Should(BeZero())

		By("starting a process during a store outage")
		f.Store.SetDown(true)
		started, err := f.AddNode(d.Services[0], len(f.Nodes))
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() uint64 { return revision(started) }).WithTimeout(5 * time.Second).Should(Equal(a.revision))
		Eventually(output).WithTimeout(time.Second).Should(gbytes.Say(`TableFromPeers`))
		By("applying a document during the outage")
		applyCtx, cancelApply := context.WithTimeout(ctx, time.Second)
		_, err = apply(applyCtx, 5, a.revision, "during the outage")
		cancelApply()
		Expect(err).To(MatchError(sequoiaadmin.ErrUnknownResult))
		Expect(countBehind(f, a.revision)).To(BeZero())

		By("applying a document after the outage")
		f.Store.SetDown(false)
		var last uint64
		Eventually(func() error {
			base := revision(f.Nodes[6])
			rev, err := apply(ctx, 6, base, "after the outage")
			last = rev
			return err
		}).WithTimeout(8 * time.Second).Should(Succeed())
		Eventually(func() int { return countBehind(f, last) }).WithTimeout(12 * time.Second).Should(BeZero())
		By("checking that no process reverted")
		for _, n := range f.Nodes {
			Expect(revision(n)).To(BeNumerically(">=", last))
		}
	})
})
