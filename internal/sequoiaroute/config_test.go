package sequoiaroute_test

import (
	"testing"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaroute"
)

func TestRoute(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "Route")
}

var _ = ginkgo.Describe("Configuration", func() {
	cfg := &sequoiaroute.Configuration{Hosts: map[string][]sequoiaroute.Route{
		"a.example": {{Name: "short", Prefix: "/x/"}, {Name: "long", Prefix: "/x/y/"}},
	}}
	cfg.Sort()

	ginkgo.DescribeTable("finds the route with the longest prefix",
		func(host, path, want string) {
			r, ok := cfg.Find(host, path)
			Expect(ok).To(Equal(want != ""))
			if ok {
				Expect(r.Name).To(Equal(want))
			}
		},
		ginkgo.Entry("longest prefix", "a.example", "/x/y/z", "long"),
		ginkgo.Entry("shorter prefix", "a.example", "/x/z", "short"),
		ginkgo.Entry("with a query", "a.example", "/x/?q=/x/y/", "short"),
		ginkgo.Entry("with a port and upper-case letters", "A.Example:80", "/x/", "short"),
		ginkgo.Entry("no prefix matches", "a.example", "/y/", ""),
		ginkgo.Entry("prefix without its last slash", "a.example", "/x", ""),
		ginkgo.Entry("another host", "b.example", "/x/", ""),
	)
})

var _ = ginkgo.Describe("Splitter", func() {
	ginkgo.It("follows the weights over a short span", func() {
		s := sequoiaroute.NewSplitter()
		r := &sequoiaroute.Route{Name: "r", Split: []sequoiaroute.SplitTarget{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
		counts := map[string]int{}
		for range 20 {
			counts[s.Choose(r)]++
		}
		Expect(counts).To(Equal(map[string]int{"a": 18, "b": 2}))
	})

	ginkgo.It("sends no requests to a service with weight 0", func() {
		s := sequoiaroute.NewSplitter()
		r := &sequoiaroute.Route{Name: "r", Split: []sequoiaroute.SplitTarget{{Service: "a", Weight: 0}, {Service: "b", Weight: 1}}}
		for range 10 {
			Expect(s.Choose(r)).To(Equal("b"))
		}
	})
})
