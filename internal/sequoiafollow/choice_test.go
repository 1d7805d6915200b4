package sequoiafollow_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiafollow"
)

func TestFollow(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "Follow")
}

var start = time.Date(2026, 12, 6, 0, 0, 0, 0, time.UTC)

// fleet returns n members in four failure domains.
func fleet(n int) []sequoiafollow.Member {
	var members []sequoiafollow.Member
	for i := range n {
		members = append(members, sequoiafollow.Member{Instance: fmt.Sprintf("node-%d@10.0.0.%d", i, i), Domain: fmt.Sprintf("zone-%d", i%4)})
	}
	return members
}

// targets returns whom each member asks, empty for the store.
func targets(members []sequoiafollow.Member) map[string]string {
	asked := map[string]string{}
	for _, m := range members {
		asked[m.Instance], _ = sequoiafollow.NewChoice(m.Instance, m.Domain).Next(start, members)
	}
	return asked
}

func exclude(members []sequoiafollow.Member, instance string) []sequoiafollow.Member {
	out := slices.Clone(members)
	for i := range out {
		out[i].Excluded = out[i].Excluded || out[i].Instance == instance
	}
	return out
}

var _ = ginkgo.Describe("Choice", func() {
	// Guards against processes that ask others which do not watch the store, and against more followers than intended.
	ginkgo.DescribeTable("names the same two followers of a failure domain at all its processes",
		func(n int) {
			members := fleet(n)
			asked := targets(members)
			direct, load := map[string]int{}, map[string]int{}
			for _, m := range members {
				target := asked[m.Instance]
				if target == "" {
					direct[m.Domain]++
					continue
				}
				Expect(asked[target]).To(BeEmpty(), "%s asks %s, which asks another one", m.Instance, target)
				load[target]++
			}
			if n <= sequoiafollow.MaxDirectMembers {
				Expect(load).To(BeEmpty())
				return
			}
			for domain, count := range direct {
				Expect(count).To(Equal(sequoiafollow.FollowersPerDomain), domain)
			}
			// Two followers divide about a quarter of the fleet.
			for target, count := range load {
				Expect(count).To(BeNumerically("<=", n/8+n/16+2), target)
			}
		},
		ginkgo.Entry("10 members", 10), ginkgo.Entry("32 members", 32), ginkgo.Entry("33 members", 33), ginkgo.Entry("70 members", 70),
		ginkgo.Entry("79 members", 79), ginkgo.Entry("150 members", 150), ginkgo.Entry("300 members", 300),
	)

	// Guards against a loss that makes more processes than necessary ask another one, or none a follower in place of the lost one.
	ginkgo.It("makes the next member a follower if one is lost, and changes nothing for those who asked the others", func() {
		members := fleet(70)
		before := targets(members)
		for _, lost := range members {
			if before[lost.Instance] != "" {
				continue
			}
			after := targets(exclude(members, lost.Instance))
			newFollowers := 0
			for _, m := range members {
				if m.Instance != lost.Instance && before[m.Instance] != "" && after[m.Instance] == "" {
					newFollowers++
				}
				if m.Domain != lost.Domain {
					Expect(after[m.Instance]).To(Equal(before[m.Instance]))
				}
			}
			Expect(newFollowers).To(Equal(1))
		}
	})

	ginkgo.It("passes over members that are excluded, and names none if all are", func() {
		members := fleet(70)
		for range 18 {
			for _, m := range sequoiafollow.Followers("zone-1", members, func(string) bool { return false }) {
				members = exclude(members, m)
			}
		}
		c := sequoiafollow.NewChoice(members[1].Instance, "zone-1")
		target, reason := c.Next(start, members)
		Expect(target).To(BeEmpty())
		Expect(reason).To(Equal(sequoiafollow.ReasonNoFollower))
	})

	// Guards against a process that keeps asking one that does not answer, and against one that never asks it again.
	ginkgo.DescribeTable("does not ask a follower for a while that has failed",
		func(failure sequoiafollow.Reason, avoided, rests time.Duration) {
			members := fleet(70)
			asked := targets(members)
			i := slices.IndexFunc(members, func(m sequoiafollow.Member) bool { return asked[m.Instance] != "" })
			first := asked[members[i].Instance]
			c := sequoiafollow.NewChoice(members[i].Instance, members[i].Domain)
			c.Failed(start, first, failure)
			step := 10 * time.Millisecond
			for d := time.Duration(0); d < avoided+rests+time.Second; d += step {
				target, reason := c.Next(start.Add(d), members)
				switch {
				case d < rests:
					Expect(target).To(BeEmpty())
					Expect(reason).To(Equal(sequoiafollow.ReasonResting))
				case d < avoided:
					Expect(target).NotTo(Equal(first), "after %v", d)
				default:
					Expect(target).To(Equal(first), "after %v", d)
				}
			}
		},
		ginkgo.Entry("without an answer", sequoiafollow.ReasonSilent, 15*time.Second, time.Duration(0)),
		ginkgo.Entry("because it is stopping", sequoiafollow.ReasonStopping, 15*time.Second, time.Duration(0)),
		ginkgo.Entry("because of its build", sequoiafollow.ReasonUnsupported, time.Minute, time.Duration(0)),
		ginkgo.Entry("because it has lost the store", sequoiafollow.ReasonLostStore, time.Duration(0), time.Second),
		ginkgo.Entry("because it does not follow", sequoiafollow.ReasonNotFollowing, time.Duration(0), time.Second),
		ginkgo.Entry("because it may not send as much now", sequoiafollow.ReasonBusy, time.Duration(0), time.Duration(0)),
		ginkgo.Entry("for one revision", sequoiafollow.ReasonNotCovered, time.Duration(0), time.Duration(0)),
	)

	// Guards against a process that is asked by one that cannot reach the followers and never has an answer.
	ginkgo.It("names the store at a process that others ask", func() {
		members := fleet(70)
		asked := targets(members)
		i := slices.IndexFunc(members, func(m sequoiafollow.Member) bool { return asked[m.Instance] != "" })
		c := sequoiafollow.NewChoice(members[i].Instance, members[i].Domain)
		c.Asked(start)
		target, reason := c.Next(start.Add(19*time.Second), members)
		Expect(target).To(BeEmpty())
		Expect(reason).To(Equal(sequoiafollow.ReasonAsked))
		target, _ = c.Next(start.Add(20*time.Second), members)
		Expect(target).To(Equal(asked[members[i].Instance]))
	})
})

func ExampleFollowers() {
	members := []sequoiafollow.Member{
		{Instance: "a", Domain: "north"},
		{Instance: "b", Domain: "north"},
		{Instance: "c", Domain: "north", Excluded: true},
		{Instance: "d", Domain: "north"},
		{Instance: "e", Domain: "south"},
	}
	followers := sequoiafollow.Followers("north", members, func(instance string) bool { return instance == "a" })
	slices.Sort(followers)
	fmt.Println(followers)
	// Output: [b d]
}
