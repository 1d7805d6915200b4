package sequoiaadmin_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
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
