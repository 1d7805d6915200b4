package sequoiaowner_test

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiakeyspace"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaowner"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaregistry"
)

var _ = ginkgo.Describe("A recovered table", func() {
	const era = 1
	// newMember returns a Core that has just registered in the era, beside an upstream that is alive.
	newMember := func(now time.Time) *sequoiaowner.Core {
		c := sequoiaowner.New("a", now)
		c.SetKeyedServices([]string{service})
		c.SetUpstream(now, sequoiaowner.Upstream{ID: "u-a", Born: 1, Service: service, Slots: 4})
		c.MarkRegistered(now, sequoiaregistry.Revision(era, 3), 9)
		c.SetMember(now, sequoiaowner.Member{Instance: "a", Upstream: c.Upstream(), Revision: sequoiaregistry.Revision(era, 3)})
		return c
	}
	tableOf := func(recovered sequoiakeyspace.Fence) *sequoiakeyspace.Table {
		t := sequoiakeyspace.NewTable()
		t.Fence = 1 << 20
		t.Spread(service, []sequoiakeyspace.Holder{{Instance: "a", Upstream: "u-a", Born: 1}})
		t.RecoveredFence = recovered
		return t
	}

	// Guards against keys that stay dark because each move of other keys starts the wait for the settling anew.
	ginkgo.It("is settled although the table changes meanwhile", func() {
		now := time.Unix(1000, 0)
		c := newMember(now)
		for i := range uint64(180) {
			now = now.Add(100 * time.Millisecond)
			c.SetTable(tableOf(1<<20+1), sequoiaregistry.Revision(era, 10+i))
			c.MarkAlive(now)
			c.ConfirmRegistration(now)
			if a := c.Step(now); a.Write != nil {
				Expect(a.Write.Reason).To(Equal(sequoiaowner.ReasonSettled))
				Expect(a.Grants).To(BeEmpty())
				return
			}
		}
		ginkgo.Fail("not settled after 18 s")
	})

	ginkgo.It("tells how long a key waits that this process has not held all along", func() {
		now := time.Unix(1000, 0)
		c := newMember(now)
		c.SetTable(tableOf(1<<20+1), sequoiaregistry.Revision(era, 10))
		c.ConfirmRegistration(now)
		c.Step(now)
		wait, waits := c.AwaitsSettling(now.Add(time.Second), service, 7)
		Expect(waits).To(BeTrue())
		Expect(wait).To(BeNumerically("~", sequoiaowner.DefaultAuthority-time.Second, 400*time.Millisecond))
		c.SetTable(tableOf(0), sequoiaregistry.Revision(era, 11))
		_, waits = c.AwaitsSettling(now.Add(time.Second), service, 7)
		Expect(waits).To(BeFalse())
	})

	// Guards against keys that are given away without a release, because the upstream holds them with an earlier fence.
	ginkgo.It("gives no keys away that the upstream still holds with the fence from before", func() {
		now := time.Unix(1000, 0)
		c := newMember(now)
		c.SetMember(now, sequoiaowner.Member{
			Instance: "b", Upstream: sequoiaowner.Upstream{ID: "u-b", Born: 1, Service: service, Slots: 4}, Revision: sequoiaregistry.Revision(era, 4),
		})
		c.SetTable(tableOf(0), sequoiaregistry.Revision(era, 10))
		held := false
		for range 40 {
			now = now.Add(100 * time.Millisecond)
			c.ConfirmRegistration(now)
			for _, g := range c.Step(now).Grants {
				c.GrantDone(now, g, true, false)
				held = true
			}
		}
		Expect(held).To(BeTrue())
		recovered := tableOf(2<<20 + 1)
		recovered.Fence, recovered.Services[service][0].Fence = 2<<20+1, 2<<20+1
		Expect(c.SetTable(recovered, sequoiaregistry.Revision(era+1, 11))).To(BeTrue())
		c.Stop()
		released := false
		for range 30 {
			now = now.Add(100 * time.Millisecond)
			c.MarkAlive(now)
			c.ConfirmRegistration(now)
			a := c.Step(now)
			for _, g := range a.Grants {
				c.GrantDone(now, g, true, false)
			}
			for _, r := range a.Releases {
				c.ReleaseDone(now, r, "", true)
				released = true
			}
			if a.Write != nil && len(a.Write.Changes) > 0 {
				Expect(released).To(BeTrue(), "given away without a release")
				return
			}
		}
		ginkgo.Fail("not given away")
	})

	// Guards against a table of an earlier era that is used as it is because its revision is higher.
	ginkgo.It("replaces one with fences of an earlier era", func() {
		now := time.Unix(1000, 0)
		c := newMember(now)
		old := tableOf(0)
		old.Fence, old.Services[service][0].Fence = 5, 5
		Expect(c.SetTable(old, sequoiaregistry.Revision(era, 10))).To(BeFalse())
		var write *sequoiaowner.Write
		for range 60 {
			now = now.Add(100 * time.Millisecond)
			c.ConfirmRegistration(now)
			if a := c.Step(now); a.Write != nil {
				write = a.Write
				break
			}
		}
		Expect(write).NotTo(BeNil())
		Expect(write.Reason).To(Equal(sequoiaowner.ReasonRestored))
		Expect(write.Recovery.Base).To(Equal(sequoiaregistry.Revision(era, 10)))
		r, ok := write.Recovery.Table.Find(service, 7)
		Expect(ok).To(BeTrue())
		Expect(r.Fence).To(BeNumerically(">", 1<<20))
		Expect(write.Recovery.Table.RecoveredFence).To(BeNumerically(">=", r.Fence))
	})
})
