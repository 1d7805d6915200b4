package sequoiachecker_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiachecker"
	. "github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

func TestChecker(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "sequoiachecker")
}

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return startTime.Add(time.Duration(ms) * time.Millisecond) }

// committed returns a committed execution of key "k" by an incarnation. The times from and to are in milliseconds.
func committed(id string, owner IncarnationID, epoch Epoch, from, to int) sequoiachecker.Execution {
	return sequoiachecker.Execution{
		Upstream: "u" + owner.String()[15:], Service: "s", Key: "k", Epoch: epoch, Incarnation: owner, RequestID: id,
		Start: at(from), End: at(to), Committed: true,
	}
}

func record(id string, outcome sequoiachecker.Outcome, from, to int) sequoiachecker.CallerRecord {
	body := []byte("body " + id)
	c := sequoiachecker.CallerRecord{
		Service: "s", Key: "k", RequestID: id, BodyDigest: sequoiachecker.Digest(body), Outcome: outcome, Status: 200,
		Sent: at(from), Ended: at(to),
	}
	if outcome == sequoiachecker.Answered {
		c.Answer, _ = json.Marshal(sequoiachecker.NewAnswer("u1", id, "k", body, "padding"))
	}
	return c
}

func executions(list ...sequoiachecker.Execution) sequoiachecker.Run {
	return sequoiachecker.Run{Executions: list}
}

func callers(list ...sequoiachecker.CallerRecord) sequoiachecker.Run {
	return sequoiachecker.Run{Callers: list}
}

func withCallers(run sequoiachecker.Run, list ...sequoiachecker.CallerRecord) sequoiachecker.Run {
	run.Callers = list
	return run
}

// uncommitted returns a copy of an execution that did not take effect.
func uncommitted(e sequoiachecker.Execution) sequoiachecker.Execution {
	e.Committed = false
	return e
}

func modified(c sequoiachecker.CallerRecord, change func(*sequoiachecker.CallerRecord)) sequoiachecker.CallerRecord {
	change(&c)
	return c
}

var assigned = Entry{Index: 4, Writer: 1, Nonce: 2, Changes: []Change{
	{Assign: &Assign{Service: "s", Kind: AssignInitial, To: 1, Shards: []uint32{1}}},
}}

const (
	answered = sequoiachecker.Answered
	notRun   = sequoiachecker.NotRun
	unknown  = sequoiachecker.Unknown
)

// Each entry is a run with a violation that Check must find, or a correct run for which it must report none.
var _ = ginkgo.DescribeTable("Check", func(run sequoiachecker.Run, want ...sequoiachecker.Kind) {
	r := sequoiachecker.Check(run)
	kinds := []sequoiachecker.Kind{}
	for _, v := range r.Violations {
		kinds = append(kinds, v.Kind)
	}
	Expect(kinds).To(Equal(want))
	Expect(r.OK()).To(Equal(len(want) == 0))
},
	ginkgo.Entry("accepts successive owners and concurrent requests of one owner",
		executions(committed("a", 1, 5, 0, 10), committed("b", 1, 5, 5, 20), committed("c", 2, 6, 20, 30))),
	ginkgo.Entry("finds overlapping requests of two owners",
		executions(committed("a", 1, 5, 0, 10), committed("b", 2, 6, 9, 20)), sequoiachecker.DoubleOwned),
	ginkgo.Entry("finds an overlap with a long request if a later request of the same owner ended before it",
		executions(committed("a", 1, 5, 0, 50), committed("b", 2, 6, 60, 100), committed("c", 2, 6, 70, 75),
			committed("d", 1, 7, 80, 85)),
		sequoiachecker.DoubleOwned),
	ginkgo.Entry("accepts an overlapping request that did not take effect since its commit was refused",
		executions(uncommitted(committed("a", 1, 5, 0, 10)), committed("b", 2, 6, 9, 20))),
	ginkgo.Entry("finds a request that starts after one with a newer epoch, even if it does not take effect",
		executions(committed("a", 2, 6, 0, 10), uncommitted(committed("b", 1, 5, 20, 30))), sequoiachecker.DoubleOwned),
	ginkgo.Entry("finds a request that took effect twice",
		executions(committed("a", 1, 5, 0, 10), committed("a", 2, 6, 20, 30)), sequoiachecker.RanTwice),
	ginkgo.Entry("accepts a second execution of a request that its caller declared repeatable", withCallers(
		executions(committed("a", 1, 5, 0, 10), committed("a", 2, 6, 20, 30)),
		modified(record("a", answered, 0, 30), func(c *sequoiachecker.CallerRecord) { c.Repeatable = true }))),
	ginkgo.Entry("accepts a second execution if the first did not take effect",
		executions(uncommitted(committed("a", 1, 5, 0, 10)), committed("a", 2, 6, 20, 30))),
	ginkgo.Entry("finds a request that took effect although its outcome was NotRun",
		withCallers(executions(committed("a", 1, 5, 0, 10)), record("a", notRun, 0, 20)), sequoiachecker.FalseNotRun),
	ginkgo.Entry("accepts NotRun for the resend of a request whose first outcome was Unknown",
		withCallers(executions(committed("a", 1, 5, 0, 10)), record("a", unknown, 0, 20), record("a", notRun, 30, 40))),
	ginkgo.Entry("accepts the answer to the caller's request", callers(record("a", answered, 0, 10))),
	ginkgo.Entry("finds the answer to another request", callers(modified(record("a", answered, 0, 10),
		func(c *sequoiachecker.CallerRecord) { c.Answer = record("b", answered, 0, 10).Answer })),
		sequoiachecker.WrongAnswers),
	ginkgo.Entry("finds a truncated answer", callers(modified(record("a", answered, 0, 10),
		func(c *sequoiachecker.CallerRecord) { c.Answer = c.Answer[:len(c.Answer)-2] })), sequoiachecker.WrongAnswers),
	ginkgo.Entry("finds an answer with an altered byte", callers(modified(record("a", answered, 0, 10),
		func(c *sequoiachecker.CallerRecord) {
			c.Answer = []byte(string(c.Answer[:len(c.Answer)-40]) + "X" + string(c.Answer[len(c.Answer)-39:]))
		})), sequoiachecker.WrongAnswers),
	ginkgo.Entry("accepts an acknowledged assignment that is in the log",
		sequoiachecker.Run{Acknowledged: []Entry{assigned}, Log: []Entry{assigned}}),
	ginkgo.Entry("finds an acknowledged assignment that is not in the log",
		sequoiachecker.Run{Acknowledged: []Entry{assigned}}, sequoiachecker.LostAssignments),
	ginkgo.Entry("finds an acknowledged assignment whose index has another writer's entry, even below the trimmed index",
		sequoiachecker.Run{Acknowledged: []Entry{assigned}, Log: []Entry{{Index: 4, Writer: 2}}, TrimmedIndex: 9},
		sequoiachecker.LostAssignments),
)

var _ = ginkgo.Describe("Report", func() {
	ginkgo.It("sums up the unavailable time of each key from the first failure to the next answer", func() {
		r := sequoiachecker.Check(callers(
			record("a", answered, 0, 10), record("b", notRun, 5, 100), record("c", unknown, 50, 150),
			record("d", answered, 140, 200),
			record("e", answered, 300, 900), record("f", notRun, 1000, 1010),
		))
		Expect(r.Unavailable).To(Equal([]sequoiachecker.KeyUnavailable{
			{Service: "s", Key: "k", Total: 200 * time.Millisecond, Longest: 190 * time.Millisecond},
		}))
	})

	ginkgo.It("counts a slow answer as unavailable time, since retries within a request hide an interruption", func() {
		run := callers(record("a", answered, 0, 10), record("b", answered, 20, 1020))
		Expect(sequoiachecker.Check(run).Unavailable).To(BeEmpty())
		run.SlowThreshold = 100 * time.Millisecond
		Expect(sequoiachecker.Check(run).Unavailable[0].Total).To(Equal(time.Second))
	})

	ginkgo.It("counts an assignment as unverified, not as lost, if its entry was trimmed", func() {
		r := sequoiachecker.Check(sequoiachecker.Run{Acknowledged: []Entry{assigned}, TrimmedIndex: 4})
		Expect(r.OK()).To(BeTrue())
		Expect(r.Unverified).To(Equal(1))
	})
})

var _ = ginkgo.Describe("Planned operations", func() {
	at := func(ms int) time.Time { return time.UnixMilli(1_000_000).Add(time.Duration(ms) * time.Millisecond) }

	ginkgo.It("report requests that a departing upstream starts after the bound or does not finish", func() {
		r := sequoiachecker.Check(sequoiachecker.Run{
			Departures: []sequoiachecker.Departure{{Upstream: "a", Requested: at(0), Restarted: at(9000)}},
			Executions: []sequoiachecker.Execution{
				{Upstream: "a", Start: at(2900), End: at(2950), Committed: true},
				{Upstream: "a", Start: at(3100), End: at(3150), Committed: true},
				{Upstream: "a", Start: at(-100), End: at(100)},
				{Upstream: "b", Start: at(5000), End: at(5050)},
				{Upstream: "a", Start: at(9100), End: at(9150)},
			},
		})
		Expect([]int{r.LateWork, r.Interrupted}).To(Equal([]int{1, 1}))
		Expect(r.OK()).To(BeFalse())
	})

	ginkgo.It("report a late configuration, a reverted one, and one that is based on an outdated revision", func() {
		r := sequoiachecker.Check(sequoiachecker.Run{
			Configurations: []sequoiachecker.Configuration{
				{Base: 0, Revision: 1, Accepted: at(0)}, {Base: 1, Revision: 5, Accepted: at(100)}, {Base: 1, Revision: 7, Accepted: at(200)},
			},
			Observations: []sequoiachecker.ConfigurationObservation{
				{Process: "p", Revision: 7, At: at(300)},
				{Process: "p", Revision: 5, At: at(400)},
				{Process: "q", Revision: 5, At: at(12_100)},
				{Process: "q", Revision: 5, At: at(12_300)},
				{Process: "r", Revision: 0, At: at(13_000), Started: at(12_900)},
				{Process: "r", Revision: 7, At: at(14_000)},
			},
		})
		Expect([]int{r.ConfigurationReverted, r.ConfigurationLate}).To(Equal([]int{2, 1}))
	})
})
