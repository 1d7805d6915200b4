package sequoiaquarantine

import (
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestQuarantine(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "Quarantine")
}

var _ = ginkgo.Describe("Fingerprint", func() {
	id := Identity{Method: "POST", Host: "h", Path: "/a?b=1", Key: "7", Caller: "c", Body: []byte("body")}

	ginkgo.It("is the same for each repeat of a request", func() {
		again := id
		again.Body = []byte("body")
		Expect(again.Fingerprint()).To(Equal(id.Fingerprint()))
	})

	// Guards against a request that is kept away from upstreams because of another caller's request.
	ginkgo.DescribeTable("differs if the request differs",
		func(change func(id *Identity)) {
			other := id
			change(&other)
			Expect(other.Fingerprint()).NotTo(Equal(id.Fingerprint()))
		},
		ginkgo.Entry("in its method", func(id *Identity) { id.Method = "PUT" }),
		ginkgo.Entry("in its host", func(id *Identity) { id.Host = "i" }),
		ginkgo.Entry("in its query", func(id *Identity) { id.Path = "/a?b=2" }),
		ginkgo.Entry("in its key", func(id *Identity) { id.Key = "8" }),
		ginkgo.Entry("in its caller", func(id *Identity) { id.Caller = "d" }),
		ginkgo.Entry("in its body", func(id *Identity) { id.Body = []byte("Body") }),
		ginkgo.Entry("in the border between two fields", func(id *Identity) { id.Key, id.Caller = "7c", "" }),
	)
})

var _ = ginkgo.Describe("Runs", func() {
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	begin := func(r *Runs[int], ms int, path string) *Run[int] {
		run := &Run[int]{Identity: Identity{Path: path}}
		r.Add(run)
		r.Sent(at(ms), run, Mark{})
		return run
	}
	paths := func(runs []*Run[int]) (out []string) {
		for _, run := range runs {
			out = append(out, run.Identity.Path)
		}
		return out
	}

	ginkgo.It("names the requests in progress at the end of the upstream, whose connections were lost or not", func() {
		r := NewRuns[int]()
		waiting := &Run[int]{Identity: Identity{Path: "/waiting"}}
		r.Add(waiting)
		begin(r, 0, "/running")
		lost := begin(r, 1, "/lost")
		r.Answered(begin(r, 2, "/answered"))
		r.NotSent(begin(r, 3, "/not-sent"))
		r.Lost(at(9), lost)
		Expect(paths(r.UpstreamEnded())).To(ConsistOf("/running", "/lost"))
		Expect(r.UpstreamEnded()).To(BeEmpty())
		r.Sent(at(10), waiting, Mark{Strikes: 1})
		Expect(paths(r.UpstreamEnded())).To(ConsistOf("/waiting"))
	})

	// Guards against a request that is blamed for the end of an upstream that has only closed its connection earlier.
	ginkgo.It("forgets a lost connection once the upstream has answered a later request", func() {
		r := NewRuns[int]()
		lost, concurrent := begin(r, 0, "/lost"), begin(r, 1, "/concurrent")
		r.Lost(at(5), lost)
		r.Answered(concurrent)
		later := begin(r, 6, "/later")
		Expect(paths(r.UpstreamEnded())).To(ConsistOf("/lost", "/later"))

		lost = begin(r, 10, "/lost")
		r.Lost(at(11), lost)
		r.Answered(begin(r, 12, "/later"))
		Expect(r.UpstreamEnded()).To(BeEmpty())
		r.Answered(later)
	})

	// Guards against a request that crashes upstream after upstream because its callers leave before it does (BUDGET on
	// deploy/days/deadly-left.toml).
	ginkgo.It("forgets an abandoned request once the upstream has answered one that began AbandonedTime later", func() {
		r := NewRuns[int]()
		r.Abandoned(at(5), begin(r, 0, "/abandoned"))
		r.Answered(begin(r, 6, "/soon"))
		Expect(paths(r.UpstreamEnded())).To(ConsistOf("/abandoned"))

		r.Abandoned(at(15), begin(r, 10, "/abandoned"))
		r.Answered(begin(r, 16+int(AbandonedTime.Milliseconds()), "/later"))
		Expect(r.UpstreamEnded()).To(BeEmpty())
	})

	ginkgo.It("remembers a limited number of lost connections", func() {
		r := NewRuns[int]()
		for i := range 3 * maxLost {
			r.Lost(at(i), begin(r, i, "/x"))
		}
		Expect(r.UpstreamEnded()).To(HaveLen(maxLost))
	})
})
