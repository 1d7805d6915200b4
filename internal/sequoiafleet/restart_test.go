package sequoiafleet_test

import (
	"context"
	"io"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiafleet"
)

var _ = Describe("The restart of a whole fleet", func() {
	It("assigns every shard without an operator, although no witness of the previous owners is left", func() {
		d, err := sequoiafleet.FindDeployment("pinehollow")
		Expect(err).NotTo(HaveOccurred())
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		DeferCleanup(cancel)
		fleet, err := sequoiafleet.Start(ctx, d, io.Discard)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(fleet.Close)
		before := fleet.Nodes[0].Process.Snapshot().Table.Members()
		for _, n := range fleet.Nodes {
			n.Kill()
		}
		for _, n := range fleet.Nodes {
			Expect(fleet.StartUpstream(n)).To(Succeed())
			Expect(fleet.StartProcess(n)).To(Succeed())
		}
		Expect(fleet.AwaitAssigned(ctx)).To(Succeed())
		table := fleet.Nodes[0].Process.Snapshot().Table
		for _, id := range before {
			Expect(table.Member(id)).To(BeNil())
		}
	})
})
