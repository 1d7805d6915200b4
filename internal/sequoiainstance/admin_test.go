package sequoiainstance_test

import (
	"context"
	"io"
	"net/http"
	"regexp"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gbytes"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaadmin"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiafleet"
)

var _ = Describe("the administration API of a process", Ordered, func() {
	var (
		fleet *sequoiafleet.Fleet
		admin *sequoiaadmin.Client
		ctx   context.Context
		log   = gbytes.NewBuffer()
	)

	BeforeAll(func() {
		d, err := sequoiafleet.FindDeployment("howrah")
		Expect(err).NotTo(HaveOccurred())
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.Background(), time.Minute)
		DeferCleanup(cancel)
		fleet, err = sequoiafleet.Start(ctx, d, log)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(fleet.Close)
		admin = fleet.Nodes[0].Admin()
	})

	It("rejects moves of unknown shards or to unknown destinations instead of writing them to the log", func() {
		index := fleet.Nodes[0].Process.Snapshot().Table.Index
		to := fleet.Nodes[1].Settings.Instance
		for _, c := range []struct {
			move sequoiaadmin.MoveRequest
			kind error
			text string
		}{
			{sequoiaadmin.MoveRequest{Service: "dispatch", Shards: []uint32{256}, To: to}, sequoiaadmin.ErrBadRequest, "shard 256; allowed: 0 to 255"},
			{sequoiaadmin.MoveRequest{Service: "none", Shards: []uint32{1}, To: to}, sequoiaadmin.ErrNotFound, `service "none"`},
			{sequoiaadmin.MoveRequest{Service: "dispatch", Shards: []uint32{1}, To: "none"}, sequoiaadmin.ErrNotFound, `instance "none"`},
			{sequoiaadmin.MoveRequest{Service: "parts", Shards: []uint32{1}, To: to}, sequoiaadmin.ErrNotFound, "serves parts"},
		} {
			_, err := admin.Move(ctx, c.move)
			Expect(err).To(MatchError(c.kind))
			Expect(err).To(MatchError(ContainSubstring(c.text)))
		}
		_, err := admin.Explain(ctx, "none", "a")
		Expect(err).To(MatchError(sequoiaadmin.ErrNotFound))
		Expect(fleet.Nodes[0].Process.Snapshot().Table.Index).To(Equal(index))
	})

	It("exports the state that operators act on as metrics with bounded labels", func() {
		text := metrics(fleet.Nodes[0])
		for _, pattern := range []string{
			`sequoiaspring_lease_seconds 0\.\d+`, `sequoiaspring_log_index [1-9]`, `sequoiaspring_configuration_revision [1-9]`,
			`sequoiaspring_members 9`, `sequoiaspring_owned_assignments [1-9]`, `sequoiaspring_closed_assignments 0`,
			`sequoiaspring_unowned_shards\{service="dispatch"\} 0`, `sequoiaspring_unowned_shards\{service="parts"\} 0`,
			`sequoiaspring_store_calls_total\{operation="Append",result="OK"\} [1-9]`,
			`sequoiaspring_store_call_seconds_count\{operation="Append"\} [1-9]`,
			`sequoiaspring_upstream_reported\{field="Slots"\} 6`, `sequoiaspring_placement_lines_lost_total 0`,
		} {
			Expect(text).To(MatchRegexp("(?m)^" + pattern))
		}
		for _, name := range regexp.MustCompile(`(?m)^# HELP (\S+)`).FindAllStringSubmatch(text, -1) {
			Expect(name[1]).To(HavePrefix("sequoiaspring_"))
		}
	})

	It("drains on an operator's command: its keys get other owners, the process stops, and both are logged", func() {
		node := fleet.Nodes[8]
		id := node.Process.Snapshot().Self
		_, err := node.Admin().Drain(ctx, sequoiaadmin.DrainRequest{Reason: "upgrade"})
		Expect(err).NotTo(HaveOccurred())
		Eventually(node.Process.Stopped()).WithTimeout(5 * time.Second).Should(BeClosed())
		Eventually(func(g Gomega) {
			status, err := admin.Status(ctx)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(status.Members).NotTo(ContainElement(HaveField("Incarnation", id)))
			g.Expect(status.Services).To(HaveEach(HaveField("Unassigned", 0)))
		}).WithTimeout(5 * time.Second).Should(Succeed())
		for _, decision := range []string{"Left", "Stopped"} {
			Eventually(log.Contents).Should(MatchRegexp(`"Instance":"` + node.Settings.Instance + `","Decision":"` + decision + `"`))
		}
	})

	It("logs each assignment in two processes with the instance names, so that losing one line loses no information", func() {
		assigned := strings.Count(string(log.Contents()), `"Decision":"AssignInitial"`)
		Expect(assigned).To(BeNumerically(">", 9))
		for _, n := range fleet.Nodes {
			Expect(string(log.Contents())).To(ContainSubstring(`"OwnerInstance":"` + n.Settings.Instance + `"`))
			Expect(string(log.Contents())).To(MatchRegexp(`"Instance":"` + n.Settings.Instance + `","Decision":"Joined"`))
		}
	})
})

// metrics returns a process's metrics in the Prometheus text format.
func metrics(n *sequoiafleet.Node) string {
	req, err := http.NewRequest(http.MethodGet, "http://"+n.Settings.Administration.String()+"/metrics", nil)
	Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+string(n.Settings.AdministrationCredential))
	resp, err := http.DefaultClient.Do(req)
	Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	Expect(err).NotTo(HaveOccurred())
	return string(body)
}
