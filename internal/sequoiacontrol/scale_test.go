package sequoiacontrol

import (
	"fmt"
	"testing"
	"time"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

// BenchmarkTick measures one tick, of which there are 20 per second, in a fleet of the size that the system is
// designed for. All witnesses respond.
func BenchmarkTick(b *testing.B) {
	const members = 3800
	c := New(WithMember(sequoiatable.Member{FailureDomain: "domain-0"}))
	now := time.Unix(1000, 0)
	c.Step(now, Upstream{Service: testService, Slots: 6})
	id := func(i int) sequoiatable.IncarnationID {
		if i == 0 {
			return c.Self()
		}
		return sequoiatable.IncarnationID(i)
	}
	var entries []sequoiatable.Entry
	add := func(writer sequoiatable.IncarnationID, change sequoiatable.Change) {
		entries = append(entries, sequoiatable.Entry{
			Index: uint64(len(entries) + 1), Writer: writer, Changes: []sequoiatable.Change{change},
		})
	}
	add(1, sequoiatable.Change{SetConfiguration: &sequoiatable.SetConfiguration{
		Services: []sequoiatable.ServiceConfig{{Name: testService, Shards: 22_000, Divided: true}},
	}})
	for i := range members {
		add(id(i), sequoiatable.Change{Join: &sequoiatable.Join{Member: sequoiatable.Member{
			Incarnation: id(i), FailureDomain: fmt.Sprintf("domain-%d", i%11), Service: testService, Slots: 6,
		}}})
	}
	for i := range members {
		witnesses := []sequoiatable.IncarnationID{id((i + 1) % members), id((i + 2) % members), id((i + 3) % members)}
		add(id(i), sequoiatable.Change{SetWitnesses: &sequoiatable.SetWitnesses{Holder: id(i), Witnesses: witnesses}})
	}
	c.Step(now, LogRead{Entries: entries})
	if c.liveMember(c.Self()) == nil {
		b.Fatal("the process has not joined")
	}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(50 * time.Millisecond)
		for _, a := range c.Step(now, Tick{}) {
			send, ok := a.(Send)
			if !ok || send.Message.Renew == nil {
				continue
			}
			r := send.Message.Renew
			answer := &Renewed{Holder: r.Holder, Witness: r.Witness, Sequence: r.Sequence}
			c.Step(now, Received{From: r.Witness, Message: Message{LogIndex: c.table.Index, Renewed: answer}})
		}
	}
}
