package sequoiahttp

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// room is memory that the bodies of responses reserve.
type room struct {
	limit    int64
	reserved atomic.Int64
	most     atomic.Int64
}

func (r *room) reserve(_ context.Context, n int64) bool {
	now := r.reserved.Add(n)
	if n > 0 && now > r.limit {
		r.reserved.Add(-n)
		return false
	}
	r.most.Store(max(r.most.Load(), now))
	return true
}

// Guards against a process that exceeds its memory limit because of responses, and against reservations that stay until
// nothing has room.
var _ = ginkgo.Describe("The memory for the body of a response", func() {
	const ok = "HTTP/1.1 200 OK\r\n"
	const large = 300 << 10
	length, chunked := ok+"Content-Length: 307200\r\n\r\n", ok+"Transfer-Encoding: chunked\r\n\r\n4b000\r\n"
	body := strings.Repeat("x", large)
	do := func(r *room, response string, opts ...Option) (*Response, error) {
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		return New(opts...).Do(ctx, newServerWith(response), &Request{
			Method: http.MethodGet, Path: "/", Reserve: r.reserve, Matches: func(h http.Header) bool { return h.Get("Late") == "" },
		})
	}

	ginkgo.DescribeTable("is reserved before it is read, and belongs to the caller then",
		func(response string, most int) {
			r := &room{limit: 1 << 20}
			resp, err := do(r, response)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(resp.Body)).To(Equal(body))
			Expect(r.reserved.Load()).To(And(BeNumerically(">=", large), BeNumerically("<=", most)))
		},
		ginkgo.Entry("with a length", length+body, large),
		ginkgo.Entry("in chunks", chunked+body+"\r\n0\r\n\r\n", 2*large),
	)

	// Guards against a header of many short lines, which takes many times its size once it is decoded.
	ginkgo.It("includes a header of many lines", func() {
		const lines = 2000
		var header strings.Builder
		for i := range lines {
			fmt.Fprintf(&header, "X%x:\r\n", i)
		}
		for _, end := range []string{"Content-Length: 0\r\n\r\n", "Content-Length: 5\r\n\r\nbytes"} {
			r := &room{limit: 1 << 20}
			resp, err := do(r, ok+header.String()+end)
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.Header).To(HaveLen(lines + 1))
			Expect(r.reserved.Load()).To(And(BeNumerically(">=", 100*lines), BeNumerically("<=", 200*lines)))
			r = &room{limit: 100 * lines}
			_, err = do(r, ok+header.String()+end)
			Expect(err).To(MatchError(ErrTooMuchBuffered))
			Expect(r.reserved.Load()).To(BeZero())
		}
		r := &room{}
		_, err := do(r, ok+"X: y\r\nContent-Length: 0\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
	})

	ginkgo.DescribeTable("is returned if there is no response",
		func(limit int64, response string, opts ...Option) {
			r := &room{limit: limit}
			_, err := do(r, response, opts...)
			Expect(err).To(HaveOccurred())
			Expect(NotSent(err)).To(BeFalse())
			Expect(r.most.Load()).To(BeNumerically("<=", limit))
			Expect(r.reserved.Load()).To(BeZero())
		},
		ginkgo.Entry("without room for a length", int64(large-1), length+body),
		ginkgo.Entry("without room for chunks", int64(large-1), chunked+body+"\r\n0\r\n\r\n"),
		ginkgo.Entry("cancelled, with a length", int64(1<<20), length+body[1:]),
		ginkgo.Entry("cancelled, in chunks", int64(1<<20), chunked+body[1:]),
		ginkgo.Entry("above the limit", int64(1<<20), chunked+body+"\r\n0\r\n\r\n", WithMaxResponse(large-1)),
		ginkgo.Entry("above the limit of all", int64(1<<20), length+body, WithMaxBuffered(large-1)),
		ginkgo.Entry("malformed", int64(1<<20), chunked+body+"x\r\n"),
		ginkgo.Entry("late", int64(1<<20), ok+"Late: 1\r\nContent-Length: 307200\r\n\r\n"+body),
	)

	ginkgo.It("is a small amount for a small body, however it is delimited", func() {
		small := strings.Repeat("x", 16<<10-1)
		for _, response := range []string{
			ok + "Content-Length: 16383\r\n\r\n" + small, ok + "Transfer-Encoding: chunked\r\n\r\n3fff\r\n" + small + "\r\n0\r\n\r\n",
		} {
			r := &room{limit: 16 << 10}
			resp, err := do(r, response)
			Expect(err).NotTo(HaveOccurred())
			Expect(string(resp.Body)).To(Equal(small))
		}
	})

	ginkgo.It("is none for a response that has no body, whatever it announces", func() {
		r := &room{}
		resp, err := New().Do(context.Background(), newServerWith(length), &Request{Method: http.MethodHead, Path: "/", Reserve: r.reserve})
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Body).To(BeEmpty())
	})
})
