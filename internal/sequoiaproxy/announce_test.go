package sequoiaproxy_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaproxy"
)

var _ = ginkgo.Describe("the response to an announcement", func() {
	guarantee := func(checksGrants bool) string {
		p := newProcess(ginkgo.GinkgoTB(), 1)
		body := fmt.Sprintf(`{"Service":"dispatch","Address":"127.0.0.1:9","Slots":8,"Connections":8,"ChecksGrants":%t}`, checksGrants)
		resp, err := http.Post("http://"+p.upstreamAddr.String()+"/v1/announce", "application/json", strings.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		Expect(resp.StatusCode).To(Equal(http.StatusOK))
		var g sequoiaproxy.Grant
		Expect(json.NewDecoder(resp.Body).Decode(&g)).To(Succeed())
		return g.Guarantee
	}

	ginkgo.It("tells an upstream that does not check grants what is not guaranteed, so that its operators do not rely on it", func() {
		Expect(guarantee(false)).To(Equal("Guaranteed: no request is started here after the lease has ended, " +
			"Sequoia-Deadline is no later than the end of the lease, and a successor starts after it. Not guaranteed: that a key " +
			"has one owner if this upstream commits a request after Sequoia-Deadline, as it may after a freeze, or if this " +
			"instance's wall clock is set back, which lengthens deadlines by as much. Only an upstream that checks grants is " +
			"protected when it freezes."))
	})

	ginkgo.It("tells an upstream that checks grants which checks the guarantee depends on", func() {
		Expect(guarantee(true)).To(Equal("Guaranteed: a key has one owner even if this upstream freezes, provided that it " +
			"rejects, before running and again before committing, a request whose Sequoia-Incarnation is not the granted one, " +
			"whose grant has expired, or whose Sequoia-Epoch is lower than the highest seen for its key."))
	})
})
