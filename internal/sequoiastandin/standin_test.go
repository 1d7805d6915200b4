package sequoiastandin_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiastandin"
)

func TestStandin(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "sequoiastandin")
}

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// call sends a request with pairs of header names and values and returns the response with its body read.
func call(method, url, body string, header ...string) (*http.Response, string, error) {
	req, err := http.NewRequest(method, url, bytes.NewBufferString(body))
	Expect(err).NotTo(HaveOccurred())
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp, string(data), err
}

func status(method, url, body string, header ...string) int {
	resp, _, err := call(method, url, body, header...)
	Expect(err).NotTo(HaveOccurred())
	return resp.StatusCode
}

var _ = ginkgo.Describe("Store", func() {
	var s *sequoiastandin.Store
	var base, key string

	ginkgo.BeforeEach(func() {
		var err error
		s, err = sequoiastandin.StartStore(loopback)
		Expect(err).NotTo(HaveOccurred())
		ginkgo.DeferCleanup(s.Close)
		base = "http://" + s.Addr().String()
		key = base + "/v1/keys/log/1"
	})

	ginkgo.It("creates, replaces and deletes a value only if the precondition holds, as the log requires", func() {
		resp, _, _ := call("PUT", key, "a", "If-None-Match", "*")
		Expect(resp.StatusCode).To(Equal(200))
		tag := resp.Header.Get("ETag")
		Expect(status("PUT", key, "b", "If-None-Match", "*")).To(Equal(412))
		Expect(status("PUT", key, "b", "If-Match", `"99"`)).To(Equal(412))
		Expect(status("PUT", key, "b", "If-Match", tag)).To(Equal(200))
		_, body, _ := call("GET", key, "")
		Expect(body).To(Equal("b"))
		Expect(status("DELETE", key, "", "If-Match", tag)).To(Equal(412))
		Expect(status("DELETE", key, "")).To(Equal(204))
		Expect(status("GET", key, "")).To(Equal(404))
		Expect(status("PUT", key, string(make([]byte, sequoiastandin.MaxValueBytes+1)))).To(Equal(413))
	})

	ginkgo.It("ends a wait when the key is created, and not before", func() {
		time.AfterFunc(50*time.Millisecond, func() { _, _, _ = call("PUT", key, "a") })
		start := time.Now()
		resp, body, _ := call("GET", key+"?wait=5000", "")
		Expect(body).To(Equal("a"))
		Expect(time.Since(start)).To(And(BeNumerically(">=", 50*time.Millisecond), BeNumerically("<", 2*time.Second)))
		revision := resp.Header.Get("ETag")
		Expect(status("GET", key+"?wait=20&after="+revision[1:len(revision)-1], "")).To(Equal(304))
		Expect(status("GET", base+"/v1/keys/none?wait=20", "")).To(Equal(404))
		Expect(s.Counts()).To(Equal(sequoiastandin.StoreCounts{Waits: 3, Puts: 1}))
	})

	ginkgo.It("lists the keys with a prefix in order and reports a truncated list", func() {
		for _, k := range []string{"log/3", "log/1", "other", "log/2", "lo"} {
			Expect(status("PUT", base+"/v1/keys/"+k, k)).To(Equal(200))
		}
		list := func(query string) (keys []string, more bool) {
			_, body, _ := call("GET", base+"/v1/range?"+query, "")
			var resp sequoiastandin.RangeResponse
			Expect(json.Unmarshal([]byte(body), &resp)).To(Succeed())
			for _, item := range resp.Items {
				keys = append(keys, item.Key+"="+string(item.Value))
			}
			return keys, resp.More
		}
		keys, more := list("prefix=log/&limit=2")
		Expect(keys).To(Equal([]string{"log/1=log/1", "log/2=log/2"}))
		Expect(more).To(BeTrue())
		keys, more = list("prefix=log/&after=log/2")
		Expect(keys).To(Equal([]string{"log/3=log/3"}))
		Expect(more).To(BeFalse())
	})

	ginkgo.It("removes the keys of a lease that is not renewed", func() {
		_, body, _ := call("POST", base+"/v1/leases", `{"DurationMilliseconds": 150}`)
		var lease sequoiastandin.Lease
		Expect(json.Unmarshal([]byte(body), &lease)).To(Succeed())
		renew := base + "/v1/leases/1"
		Expect(status("PUT", key+"?lease=1", "a")).To(Equal(200))
		for range 4 {
			time.Sleep(50 * time.Millisecond)
			Expect(status("PUT", renew, "")).To(Equal(200))
		}
		Expect(status("GET", key, "")).To(Equal(200))
		Eventually(func() int { return status("GET", key, "") }, "2s").Should(Equal(404))
		Expect(status("PUT", renew, "")).To(Equal(410))
		Expect(status("PUT", key+"?lease=1", "a")).To(Equal(410))
	})

	ginkgo.It("applies a write whose reply it drops, and drops connections while down without losing values", func() {
		Expect(status("POST", base+"/control/faults", `{"DropReplies": 1}`)).To(Equal(200))
		_, _, err := call("PUT", key, "a")
		Expect(err).To(HaveOccurred())
		Expect(status("GET", key, "")).To(Equal(200))
		time.AfterFunc(50*time.Millisecond, func() { s.SetDown(true) })
		_, _, err = call("GET", base+"/v1/keys/none?wait=5000", "")
		Expect(err).To(HaveOccurred())
		_, _, err = call("GET", key, "")
		Expect(err).To(HaveOccurred())
		Expect(status("POST", base+"/control/faults", `{"ErrorEvery": 1, "DelayMilliseconds": 30}`)).To(Equal(200))
		start := time.Now()
		Expect(status("GET", key, "")).To(Equal(503))
		Expect(time.Since(start)).To(BeNumerically(">=", 30*time.Millisecond))
		s.SetFaults(sequoiastandin.StoreFaults{})
		Expect(status("GET", key, "")).To(Equal(200))
		Expect(status("POST", base+"/control/faults", `{"Unknown": 1}`)).To(Equal(400))
	})
})
