package sequoianode

import (
	"bytes"
	"context"
	"net/http/httptest"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaowner"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiapeer"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiarouter"
)

// newLinkNode returns a Node on an instance with a link of 10 Mbit/s.
func newLinkNode() *Node {
	n := newCommitNode(&tableStore{})
	f, err := sequoiapeer.NewForwarder(bytes.Repeat([]byte("k"), secretBytes), sequoiapeer.WithLinkRate(1.25e6))
	Expect(err).NotTo(HaveOccurred())
	ginkgo.DeferCleanup(f.Close)
	n.forwarder = f
	n.bodies.Store(f)
	return n
}

var _ = ginkgo.Describe("the link of an instance", func() {
	// Guards against uploads that go to the instance whose link is full.
	ginkgo.It("counts when an upstream is chosen for a request with a body", func() {
		member := func(instance string) sequoiaowner.Member {
			return sequoiaowner.Member{Instance: instance, Upstream: sequoiaowner.Upstream{ID: instance, Service: "parts", Slots: 6}}
		}
		d := newDirectory(Settings{Instance: "a"})
		d.setMembers(map[string]sequoiaowner.Member{"busy": member("busy"), "free": member("free")})
		for instance, load := range map[string]sequoiarouter.Load{
			"busy": {Slots: 6, Work: 40 * time.Millisecond, LinkDelay: 10 * time.Second},
			"free": {Slots: 6, Work: 150 * time.Millisecond, LinkDelay: 60 * time.Millisecond},
		} {
			d.beginRequest(instance)
			d.endRequest(instance, &sequoiarouter.Response{Outcome: sequoiarouter.Answered, Status: 200, Load: load})
		}
		for size, want := range map[int]string{0: "busy", linkBody: "busy", 60_000: "free"} {
			req := partsRequest()
			req.Body = make([]byte, size)
			m, _ := d.choose(req, nil)
			Expect(m.Instance).To(Equal(want), "%d bytes", size)
		}
	})

	// Guards against connections that an older process closes because it does not know a field of the load.
	ginkgo.It("is part of the load only in responses to processes that know it", func() {
		n := newLinkNode()
		Expect(n.load().LinkDelay).To(BeNumerically(">", 0))
		for _, service := range []string{peerService, "dispatch"} {
			for version, known := range []bool{false, false, true} {
				req := &sequoiarouter.Request{Service: service, Path: "/unknown", Version: version, Deadline: time.Now().Add(time.Second)}
				resp := n.serveForwarded(context.Background(), req)
				Expect(resp.Outcome).To(Equal(sequoiarouter.NotRun))
				Expect(resp.Load.LinkDelay > 0).To(Equal(known), "service %q, version %d", service, version)
				Expect(n.refuseBody(req, "LinkBusy", time.Second).Load.LinkDelay > 0).To(Equal(known))
			}
		}
	})

	// Guards against bodies that use the link although their requests would not run.
	ginkgo.It("is not used for the body of a request that would not run", func() {
		n := newLinkNode()
		offered := func(req *sequoiarouter.Request) string {
			req.Deadline = time.Now().Add(time.Second)
			_, refusal := n.bodyOffered(req)
			if refusal == nil {
				return ""
			}
			Expect(refusal.Outcome).To(Equal(sequoiarouter.NotRun))
			return refusal.Reason
		}
		Expect(offered(&sequoiarouter.Request{Service: "dispatch"})).To(Equal(reasonLeaving), "no upstream has announced itself")
		Expect(offered(&sequoiarouter.Request{Service: "dispatch", Key: "5"})).To(Equal(reasonLeaving))
		Expect(offered(&sequoiarouter.Request{Service: "dispatch", Key: "60000"})).To(Equal(reasonNotOwner))
		Expect(offered(&sequoiarouter.Request{Service: "dispatch", Key: "x"})).To(Equal(reasonBadRequest))
		Expect(offered(&sequoiarouter.Request{Service: peerService})).To(BeEmpty())
		n.stopping.Store(true)
		Expect(offered(&sequoiarouter.Request{Service: "dispatch"})).To(Equal(reasonStopping))
	})

	ginkgo.It("is shown in the metrics", func() {
		n := newLinkNode()
		w := httptest.NewRecorder()
		n.metrics.handler().ServeHTTP(w, httptest.NewRequest("GET", "/", nil))
		Expect(w.Body.String()).To(And(
			ContainSubstring("sequoia_link_granted_bytes_total 0"), ContainSubstring("sequoia_link_delay_seconds 0.06"),
			ContainSubstring(`sequoia_link_refused_total{reason="NoMemory"} 0`),
		))
	})
})
