package sequoianode

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaevacuation"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiakeyspace"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaowner"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaroute"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiarouter"
)

var _ = ginkgo.Describe("the explanation of a request", func() {
	var n *Node
	ginkgo.BeforeEach(func() {
		n = startAnnounceNode(nil, 0)
		n.settings.Domain, n.directory = "north", newDirectory(Settings{Instance: "a", Domain: "north", DrainPeriod: time.Second})
		cfg := &sequoiaroute.Configuration{
			Version:  7,
			Services: map[string]sequoiaroute.Service{"parts": {WarmupRate: 1}, "desk": {Keyed: true}},
			Limits:   sequoiaroute.Limits{MaxBodyBytes: 1000},
			Hosts: map[string][]sequoiaroute.Route{"shop.example": {
				{Name: "parts", Prefix: "/parts/", Objective: 400 * time.Millisecond, Split: []sequoiaroute.SplitTarget{{Service: "parts", Weight: 3}, {Service: "old", Weight: 1}}},
				{Name: "desk", Prefix: "/desk/", Split: []sequoiaroute.SplitTarget{{Service: "desk", Weight: 1}}},
			}},
		}
		cfg.Sort()
		n.config.Store(cfg)
		n.directory.setWarmupRates(cfg)
	})
	ask := func(query string) (int, Explanation) {
		w := httptest.NewRecorder()
		n.serveControl().ServeHTTP(w, httptest.NewRequest(http.MethodGet, ExplainPath+"?"+query, nil))
		var e Explanation
		Expect(json.Unmarshal(w.Body.Bytes(), &e)).To(Succeed())
		return w.Code, e
	}
	service := func(query string) ExplainedService {
		code, e := ask(query)
		Expect(code).To(Equal(http.StatusOK))
		return e.Services[0]
	}
	const parts, desk = "host=shop.example&path=/parts/x", "host=shop.example&path=/desk/x"
	report := func(instance string, running int) {
		n.directory.beginRequest(instance)
		n.directory.endRequest(instance, &sequoiarouter.Response{
			Outcome: sequoiarouter.Answered, Status: 200, Load: sequoiarouter.Load{Running: running, Slots: 6, Work: 150 * time.Millisecond},
		})
	}

	ginkgo.DescribeTable("rejects what it cannot explain",
		func(query string, code int, reason string) {
			got, e := ask(query)
			Expect(got).To(Equal(code))
			Expect(e.Error).To(Equal(reason))
			Expect(e.Services).To(BeEmpty())
		},
		ginkgo.Entry("no host", "path=/", 400, reasonBadRequest), ginkgo.Entry("no path", "host=h", 400, reasonBadRequest),
		ginkgo.Entry("a relative path", "host=h&path=x", 400, reasonBadRequest),
		ginkgo.Entry("a key that is no number", parts+"&key=x", 400, reasonBadRequest),
		ginkgo.Entry("a key out of range", parts+"&key=70000", 400, reasonBadRequest),
		ginkgo.Entry("a negative size", parts+"&bytes=-1", 400, reasonBadRequest),
		ginkgo.Entry("an unknown host", "host=h&path=/", 404, reasonNoRoute),
		ginkgo.Entry("an unknown path", "host=shop.example&path=/", 404, reasonNoRoute),
	)

	ginkgo.It("says that there is no configuration yet", func() {
		n.config.Store(nil)
		code, e := ask(parts)
		Expect(code).To(Equal(503))
		Expect(e.Error).To(Equal(reasonNoConfiguration))
	})

	ginkgo.It("is given for GET only, and leaves the metrics where they were", func() {
		w := httptest.NewRecorder()
		n.serveControl().ServeHTTP(w, httptest.NewRequest(http.MethodPost, ExplainPath, nil))
		Expect(w.Code).To(Equal(http.StatusMethodNotAllowed))
		w = httptest.NewRecorder()
		n.serveControl().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
		Expect(w.Body.String()).To(ContainSubstring("sequoia_running"))
	})

	ginkgo.It("names the candidates, the choice and those left out with the reason", func() {
		members := map[string]sequoiaowner.Member{}
		for _, name := range []string{"near", "silent", "gone", "lost", "cold"} {
			members[name] = member(name, "north")
		}
		lost, cold := members["lost"], members["cold"]
		lost.Upstream.Lost, cold.ColdFor, cold.Revision = true, time.Minute, 3
		members["lost"], members["cold"], members["far"], members["closed"] = lost, cold, member("far", "south"), member("closed", "west")
		n.directory.setMembers(members)
		n.directory.markUnreachable("silent")
		n.directory.markLeaving(members["gone"].Holder())
		orders := sequoiaevacuation.New(time.Minute)
		n.directory.setEvacuated(orders)
		n.directory.evacuated["west"] = time.Now().Add(time.Minute)
		report("near", 12)
		report("far", 0)
		_, e := ask(parts)
		Expect(e.ConfigurationVersion).To(Equal(uint64(7)))
		Expect(e.Route).To(Equal("parts"))
		Expect(e.Quarantine).To(Equal(QuarantineEmpty))
		Expect(e.Services).To(HaveLen(2))
		s := e.Services[0]
		Expect(s.Weight).To(Equal(3))
		Expect(s.Keyed).To(BeFalse())
		Expect([]string{s.Action, s.Target}).To(Equal([]string{ActionSend, "far"}))
		Expect(s.Choice.Leaves).To(BeTrue())
		Expect(s.Choice.GainMilliseconds).To(BeNumerically(">", s.Choice.CostMilliseconds))
		Expect(s.Candidates).To(HaveLen(2))
		Expect(s.Candidates[0].Instance).To(Equal("far"))
		Expect(s.Candidates[1].Running).To(Equal(12))
		Expect(s.Candidates[1].Reported).To(BeTrue())
		reasons := map[string]string{}
		for _, u := range s.LeftOut {
			reasons[u.Instance] = u.Reason
		}
		Expect(reasons).To(Equal(map[string]string{
			"silent": "Unreachable", "gone": "Leaving", "lost": "Lost", "cold": "Cold", "closed": "Evacuated",
		}))
		Expect(e.Services[1].Action).To(Equal(ActionRefuse))
		Expect(e.Services[1].Reason).To(Equal(reasonNoUpstream))
		Expect(service(parts + "&bytes=1001").Reason).To(Equal(reasonBodyTooLarge))
	})

	// Guards against a question that changes where the next requests go.
	ginkgo.It("changes no state", func() {
		n.directory.setMembers(map[string]sequoiaowner.Member{"near": member("near", "north"), "far": member("far", "south")})
		report("near", 2)
		before := *n.directory.peers["near"]
		route, _ := n.config.Load().Find("shop.example", "/parts/")
		for range 3 {
			service(parts)
		}
		Expect(*n.directory.peers["near"]).To(Equal(before))
		families, err := n.metrics.registry.Gather()
		Expect(err).NotTo(HaveOccurred())
		for _, f := range families {
			Expect(f.GetName()).NotTo(Equal("sequoia_requests_total"))
		}
		var chosen []string
		for range 4 {
			chosen = append(chosen, n.splitter.Choose(route))
		}
		Expect(chosen).To(Equal([]string{"parts", "parts", "old", "parts"}), "the steps of a new splitter")
	})

	ginkgo.Describe("with a key", func() {
		setTable := func(h sequoiakeyspace.Holder) {
			t := sequoiakeyspace.NewTable()
			t.Spread("desk", []sequoiakeyspace.Holder{h})
			n.withCore(func(c *sequoiaowner.Core) { Expect(c.SetTable(t, 9)).To(BeTrue()) })
		}
		other := sequoiaowner.Member{Instance: "b", Domain: "south", Upstream: sequoiaowner.Upstream{ID: "u-b", Service: "desk", Slots: 6}}

		ginkgo.It("refuses without a key, without a table and while the holder is not a member", func() {
			Expect(service(desk).Reason).To(Equal(reasonBadRequest))
			Expect(service(desk + "&key=5").Reason).To(Equal(reasonNoOwner))
			setTable(other.Holder())
			s := service(desk + "&key=5")
			Expect(s.Reason).To(Equal(reasonUnreachable))
			Expect(s.Key.Known).To(BeFalse())
		})

		ginkgo.It("names the range and the state of its holder", func() {
			n.directory.setMembers(map[string]sequoiaowner.Member{"b": other})
			setTable(other.Holder())
			s := service(desk + "&key=5")
			Expect(s.Keyed).To(BeTrue())
			Expect([]string{s.Action, s.Target}).To(Equal([]string{ActionSend, "b"}))
			Expect(s.Key.Holder).To(Equal("b"))
			Expect(s.Key.To).To(Equal(sequoiakeyspace.MaxKey))
			Expect(s.Key.TableRevision).To(Equal(uint64(9)))
			Expect(s.Key.Reachable).To(BeTrue())
			n.directory.markUnreachable("b")
			Expect(service(desk + "&key=5").Reason).To(Equal(reasonUnreachable))
			n.directory.markReachable("b")
			n.directory.evacuated = map[string]time.Time{"south": time.Now()}
			s = service(desk + "&key=5")
			Expect(s.Reason).To(Equal(reasonLeaving))
			Expect(s.Key.Evacuated).To(BeTrue())
		})

		ginkgo.It("waits for the grant of a key that is assigned to the local upstream", func() {
			Expect(accept(n, heartbeatOf(1))).To(Succeed())
			setTable(sequoiakeyspace.Holder{Instance: "a", Upstream: "u", Born: upstreamBorn})
			s := service(desk + "&key=5")
			Expect([]string{s.Action, s.Reason, s.Target}).To(Equal([]string{ActionWait, "Grant", "a"}))
		})
	})
})
