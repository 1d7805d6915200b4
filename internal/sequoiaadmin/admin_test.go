package sequoiaadmin_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaadmin"
)

func TestAdmin(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "sequoiaadmin")
}

// fakeConfiguration stores a document with compare-and-swap on its revision, as the log does.
type fakeConfiguration struct {
	doc sequoiaadmin.Document
}

func (c *fakeConfiguration) apply(_ context.Context, req sequoiaadmin.ApplyRequest) (sequoiaadmin.Done, error) {
	if req.Base != c.doc.Revision {
		return sequoiaadmin.Done{}, errors.Wrap(sequoiaadmin.ErrConflict, "another revision is in force")
	}
	c.doc = sequoiaadmin.Document{Revision: c.doc.Revision + 1, Operator: req.Operator, Document: req.Document}
	return sequoiaadmin.Done{Revision: c.doc.Revision}, nil
}

// replyDropper forwards all requests but drops the responses to POST requests until remaining is zero.
type replyDropper struct {
	remaining int
}

func (d *replyDropper) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err == nil && r.Method == http.MethodPost && d.remaining > 0 {
		d.remaining--
		_ = resp.Body.Close()
		return nil, errors.New("connection reset")
	}
	return resp, err
}

var _ = Describe("the administration API", func() {
	var (
		cfg     *fakeConfiguration
		refused int
		client  *sequoiaadmin.Client
		ts      *httptest.Server
		ctx     context.Context
	)

	BeforeEach(func() {
		cfg = &fakeConfiguration{}
		refused = 0
		server := &sequoiaadmin.Server{
			Credential: "secret",
			Status:     func() sequoiaadmin.Status { return sequoiaadmin.Status{Instance: "a"} },
			Document:   func() sequoiaadmin.Document { return cfg.doc },
			Apply:      cfg.apply,
			Metrics:    http.NotFoundHandler(),
			Refused:    func(string) { refused++ },
		}
		ts = httptest.NewServer(server.Handler())
		DeferCleanup(ts.Close)
		addr := netip.MustParseAddrPort(strings.TrimPrefix(ts.URL, "http://"))
		client = sequoiaadmin.NewClient(addr, "secret")
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(context.Background(), 5*time.Second)
		DeferCleanup(cancel)
	})

	It("rejects a call with a wrong credential, which could change ownership", func() {
		client.Credential = "guess"
		_, err := client.Status(ctx)
		Expect(err).To(MatchError(sequoiaadmin.ErrCredential))
		Expect(refused).To(Equal(1))
	})

	It("reports the winning revision to the slower of two operators, so that no change is lost silently", func() {
		_, err := client.Apply(ctx, sequoiaadmin.ApplyRequest{Operator: "first", Document: "{}"})
		Expect(err).NotTo(HaveOccurred())
		_, err = client.Apply(ctx, sequoiaadmin.ApplyRequest{Operator: "second", Document: "{}"})
		Expect(err).To(MatchError(sequoiaadmin.ErrConflict))
		var remote *sequoiaadmin.RemoteError
		Expect(errors.As(err, &remote)).To(BeTrue())
		Expect(remote.Failure.Revision).To(Equal(uint64(1)))
	})

	It("detects that a change whose response was lost took effect, instead of reporting a conflict with itself", func() {
		client.HTTP = &http.Client{Transport: &replyDropper{remaining: 1}}
		done, err := client.Apply(ctx, sequoiaadmin.ApplyRequest{Operator: "first", Document: "{}"})
		Expect(err).NotTo(HaveOccurred())
		Expect(done.Revision).To(Equal(uint64(1)))
	})

	DescribeTable("rejects malformed bodies and changes nothing", func(body string) {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, ts.URL+"/v1/configuration", strings.NewReader(body))
		Expect(err).NotTo(HaveOccurred())
		req.Header.Set("Authorization", "Bearer secret")
		resp, err := http.DefaultClient.Do(req)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.StatusCode).To(Equal(http.StatusBadRequest))
		Expect(cfg.doc.Revision).To(BeZero())
	},
		Entry("unknown field", `{"Base": 0, "Force": true}`),
		Entry("wrong type", `{"Base": "0"}`),
		Entry("trailing data", `{"Base": 0} {"Base": 0}`),
		Entry("oversized", `{"Document": "`+strings.Repeat("x", 2<<20)+`"}`),
	)
})

var _ = Describe("the administration API's listener", func() {
	// start returns the address of a server and the numbers of its connections that are open and have been accepted.
	start := func() (addr string, accepted *atomic.Int64) {
		accepted = &atomic.Int64{}
		api := &sequoiaadmin.Server{Credential: "secret", Refused: func(string) {}, Metrics: http.NotFoundHandler()}
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		srv := sequoiaadmin.NewHTTPServer(api)
		srv.ConnState = func(_ net.Conn, s http.ConnState) {
			if s == http.StateNew {
				accepted.Add(1)
			}
		}
		go func() { _ = srv.Serve(sequoiaadmin.LimitConnections(ln)) }()
		DeferCleanup(srv.Close)
		return ln.Addr().String(), accepted
	}

	// Guards against clients without a credential that fill the memory of the process with 1 MB of short header lines each.
	It("rejects a large head", func() {
		addr, _ := start()
		req, _ := http.NewRequest(http.MethodGet, "http://"+addr+"/v1/status", nil)
		for i := range 8000 {
			req.Header.Set(fmt.Sprintf("x%x", i), "")
		}
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			defer resp.Body.Close()
			Expect(resp.StatusCode).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
		}
	})

	// Guards against clients that take all descriptors of the process.
	It("accepts few connections at the same time, and others once these have ended", func() {
		const clients = 40
		addr, accepted := start()
		for range clients {
			conn, err := net.Dial("tcp", addr)
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(conn.Close)
		}
		Consistently(accepted.Load, "300ms").Should(BeNumerically("<", clients))
		Eventually(accepted.Load, "20s").Should(Equal(int64(clients)))
	})
})

// Guards against an operator's command that a process in trouble, or another server at its address, fills with bytes.
var _ = Describe("a client of the administration API", func() {
	It("reads no endless response", func() {
		ts := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			block := bytes.Repeat([]byte(" "), 1<<20)
			for sent := 0; sent < 256; sent++ {
				if _, err := w.Write(block); err != nil {
					return
				}
			}
		}))
		DeferCleanup(ts.Close)
		c := sequoiaadmin.NewClient(netip.MustParseAddrPort(ts.Listener.Addr().String()), "secret")
		_, err := c.Status(context.Background())
		Expect(err).To(MatchError(sequoiaadmin.ErrTooLarge))
	})
})
