package sequoianode

import (
	"encoding/json"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiabalance"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiarouter"
)

var _ = ginkgo.Describe("the load message", func() {
	ask := func(n *Node, body any) sequoiabalance.Report {
		req := &sequoiarouter.Request{Path: pathLoad}
		if body != nil {
			var err error
			req.Body, err = json.Marshal(body)
			Expect(err).NotTo(HaveOccurred())
		}
		resp := n.serveLoad(req)
		Expect(resp.Outcome).To(Equal(sequoiarouter.Answered))
		var r sequoiabalance.Report
		Expect(json.Unmarshal(resp.Body, &r)).To(Succeed())
		return r
	}

	// Guards against promises of an upstream that accepts no keys, and against a load report that takes room.
	ginkgo.It("reserves room only with a body and at an open upstream", func() {
		n := startAnnounceNode(nil, 0)
		Expect(accept(n, heartbeatOf(1))).To(Succeed())
		r := sequoiabalance.Reservation{From: 1, To: 9, Utilization: 0.3, Limit: 0.7}
		Expect(ask(n, nil).Refused).To(BeFalse())
		Expect(ask(n, r).Refused).To(Equal(!n.currentLoadReport().Open))
		n.stopping.Store(true)
		Expect(ask(n, r).Refused).To(BeTrue())
		Expect(n.currentLoadReport().Utilization).To(BeZero())
		Expect(n.currentLoadReport().Reserved).To(BeZero())
	})

	ginkgo.It("rejects a reservation that cannot be decoded", func() {
		n := startAnnounceNode(nil, 0)
		resp := n.serveLoad(&sequoiarouter.Request{Path: pathLoad, Body: []byte("{")})
		Expect(resp.Outcome).To(Equal(sequoiarouter.NotRun))
	})

	// Guards against an overload whose waiting requests are not measured, and against load of requests that did not run.
	ginkgo.It("shows the load of requests when they arrive", func() {
		n := startAnnounceNode(nil, 0)
		n.meter.Add(7, 100*time.Millisecond)
		req := &sequoiarouter.Request{Service: "desk", Key: "7"}
		expected := n.meterArrival(req, 7)
		Expect(n.meter.Sum(7, 7)).To(BeNumerically("~", 0.1+expected.Seconds(), 1e-6))
		n.meterRejected(req, 7, reasonLeaving, expected)
		Expect(n.meter.Sum(7, 7)).To(BeNumerically("~", 0.1, 1e-6))
	})
})
