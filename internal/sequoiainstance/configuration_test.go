package sequoiainstance_test

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaadmin"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiafleet"
	"github.com/sequoiaspring/sequoiaspring/pkg/sequoiaclient"
)

func TestInstance(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "sequoiainstance")
}

var _ = Describe("a process", Ordered, func() {
	var (
		fleet *sequoiafleet.Fleet
		ctx   context.Context
	)

	BeforeAll(func() {
		d, err := sequoiafleet.FindDeployment("howrah")
		Expect(err).NotTo(HaveOccurred())
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.Background(), time.Minute)
		DeferCleanup(cancel)
		fleet, err = sequoiafleet.Start(ctx, d, io.Discard)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(fleet.Close)
	})

	It("applies a new configuration to the data path of every process, not only to its own state", func() {
		first := fleet.Nodes[0].Admin()
		doc, err := first.Document(ctx)
		Expect(err).NotTo(HaveOccurred())
		changed := strings.Replace(doc.Document, `"MaximumBodyBytes": 1048576`, `"MaximumBodyBytes": 10`, 1)
		Expect(changed).NotTo(Equal(doc.Document))
		_, err = first.Apply(ctx, sequoiaadmin.ApplyRequest{Base: doc.Revision, Operator: "test", Document: changed})
		Expect(err).NotTo(HaveOccurred())
		client, err := sequoiaclient.New(fleet.Addresses()[len(fleet.Nodes)-1:])
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(client.Close)
		req := &sequoiaclient.Request{Service: "dispatch", Key: "a", Method: "POST", Path: "/work", Body: make([]byte, 11)}
		Eventually(func() string {
			res, err := client.Do(ctx, req)
			Expect(err).NotTo(HaveOccurred())
			return res.Reason
		}).WithTimeout(12 * time.Second).Should(Equal("BadRequest"))
		// The client sends the request to the owner of the key, which may have the configuration before others do.
		for _, node := range fleet.Nodes {
			operator := func() string { return node.Process.Snapshot().Table.Configuration.Operator }
			Eventually(operator).WithTimeout(12 * time.Second).Should(Equal("test"))
		}
	})

	It("rejects an invalid document and keeps the revision in force", func() {
		client := fleet.Nodes[0].Admin()
		before, err := client.Document(ctx)
		Expect(err).NotTo(HaveOccurred())
		_, err = client.Apply(ctx, sequoiaadmin.ApplyRequest{Base: before.Revision, Document: `{"Services": []}`})
		Expect(err).To(MatchError(sequoiaadmin.ErrBadRequest))
		after, err := client.Document(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(after).To(Equal(before))
	})

	It("refuses to confirm the loss of a member that is alive, which would give its keys a second owner", func() {
		admin := fleet.Nodes[0].Admin()
		alive := fleet.Nodes[1]
		_, err := admin.ConfirmLoss(ctx, sequoiaadmin.ConfirmLossRequest{Instance: alive.Settings.Instance})
		Expect(err).To(MatchError(sequoiaadmin.ErrMemberAlive))
		_, err = admin.ConfirmLoss(ctx, sequoiaadmin.ConfirmLossRequest{Incarnation: alive.Process.Snapshot().Self})
		Expect(err).To(MatchError(sequoiaadmin.ErrMemberAlive))
		_, err = admin.ConfirmLoss(ctx, sequoiaadmin.ConfirmLossRequest{Incarnation: 1})
		Expect(err).To(MatchError(sequoiaadmin.ErrNotFound))
		_, err = admin.ConfirmLoss(ctx, sequoiaadmin.ConfirmLossRequest{})
		Expect(err).To(MatchError(sequoiaadmin.ErrBadRequest))
	})

	It("rejects a document that is too large for a log entry, which would block all later changes", func() {
		client := fleet.Nodes[0].Admin()
		before, err := client.Document(ctx)
		Expect(err).NotTo(HaveOccurred())
		large := before.Document + strings.Repeat(" ", 600<<10)
		_, err = client.Apply(ctx, sequoiaadmin.ApplyRequest{Base: before.Revision, Document: large})
		Expect(err).To(MatchError(sequoiaadmin.ErrBadRequest))
	})

	It("moves a hot key on an operator's command and explains the new owner", func() {
		admin := fleet.Nodes[0].Admin()
		old, err := admin.Explain(ctx, "dispatch", "hot")
		Expect(err).NotTo(HaveOccurred())
		to := fleet.Nodes[0].Settings.Instance
		if old.Instance == to {
			to = fleet.Nodes[1].Settings.Instance
		}
		move := sequoiaadmin.MoveRequest{Service: "dispatch", Keys: []string{"hot"}, To: to, Reason: "test"}
		_, err = admin.Move(ctx, move)
		Expect(err).NotTo(HaveOccurred())
		Eventually(func() sequoiaadmin.Explanation {
			e, err := fleet.Nodes[3].Admin().Explain(ctx, "dispatch", "hot")
			Expect(err).NotTo(HaveOccurred())
			return e
		}).WithTimeout(2 * time.Second).Should(And(
			HaveField("Instance", to), HaveField("Decision", "AssignPlanned"), HaveField("Previous", old.Owner),
		))
	})
})
