package sequoiaquarantine

import (
	"bytes"
	"encoding/binary"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 12, 5, 0, 0, 0, 0, time.UTC)

func after(d time.Duration) time.Time { return start.Add(d) }

// print returns a fingerprint that differs for each n.
func print(n int) (f Fingerprint) {
	binary.BigEndian.PutUint64(f[:], uint64(n))
	return f
}

// strike lets an upstream end while it runs the request, which was sent with what the list knows.
func strike(l *List, at time.Duration, f Fingerprint) {
	l.Strike(after(at), f, l.Judge(after(at), f).Mark)
}

var _ = ginkgo.Describe("List", func() {
	f := print(1)

	ginkgo.It("quarantines a request at its second strike", func() {
		l := NewList()
		Expect(l.Judge(start, f)).To(Equal(Verdict{}))
		strike(l, 0, f)
		Expect(l.Judge(start, f).State).To(Equal(Suspect))
		strike(l, 0, f)
		Expect(l.Judge(after(time.Second), f)).To(Equal(Verdict{
			State: Quarantined, Mark: Mark{Strikes: 2}, RetryAfter: firstTrialDelay - time.Second,
		}))
		Expect(l.Quarantined()).To(Equal(1))
	})

	// Guards against a popular request that is quarantined because many upstreams end at once, as in a power cut.
	ginkgo.It("counts upstreams that end at the same time as one strike", func() {
		l := NewList()
		known := l.Judge(start, f).Mark
		Expect(l.Strike(start, f, known)).To(BeTrue())
		for range 9 {
			Expect(l.Strike(after(time.Second), f, known)).To(BeFalse())
		}
		Expect(l.Judge(after(time.Second), f).State).To(Equal(Suspect))
	})

	ginkgo.It("clears a request that is answered, whatever other processes still know", func() {
		l := NewList()
		strike(l, 0, f)
		earlier := l.Records(start)
		Expect(l.Answered(after(time.Second), f)).To(BeTrue())
		Expect(l.Answered(after(time.Second), f)).To(BeFalse())
		Expect(l.Judge(after(time.Second), f)).To(Equal(Verdict{Mark: Mark{Generation: 1}}))
		Expect(l.Merge(after(time.Second), earlier)).To(BeFalse())
		strike(l, 2*time.Second, f)
		Expect(l.Judge(after(2*time.Second), f).State).To(Equal(Suspect))
	})

	// Guards against a request that stays quarantined although one process has seen it answered.
	ginkgo.It("contradicts a quarantine after an answer that the other process has not seen", func() {
		l, other := NewList(), NewList()
		strike(l, 0, f)
		other.Merge(start, l.Records(start))
		l.Answered(after(time.Second), f)
		Expect(l.Missing(after(time.Second), other.Records(start))).To(BeEmpty())
		strike(other, 2*time.Second, f)
		quarantined := other.Records(after(2 * time.Second))
		Expect(l.Contradictions(after(3*time.Second), quarantined)).To(HaveLen(1))
		Expect(l.Missing(after(3*time.Second), quarantined)).To(HaveLen(1))
		other.Merge(after(3*time.Second), l.Contradictions(after(3*time.Second), quarantined))
		Expect(other.Judge(after(3*time.Second), f).State).To(Equal(Clear))
	})

	ginkgo.It("allows few trials at growing intervals, one process at a time", func() {
		l := NewList()
		strike(l, 0, f)
		strike(l, 0, f)
		at := time.Duration(0)
		for _, delay := range []time.Duration{time.Minute, 10 * time.Minute, 100 * time.Minute} {
			_, ok := l.BeginTrial(after(at+delay-time.Second), f)
			Expect(ok).To(BeFalse())
			at += delay
			_, ok = l.BeginTrial(after(at), f)
			Expect(ok).To(BeTrue())
			_, ok = l.BeginTrial(after(at), f)
			Expect(ok).To(BeFalse())
			strike(l, at, f)
			Expect(l.Judge(after(at), f).State).To(Equal(Quarantined))
		}
		Expect(l.Judge(after(at+quarantineMemory-time.Second), f).State).To(Equal(Quarantined))
		Expect(l.Judge(after(at+quarantineMemory), f)).To(Equal(Verdict{}))
	})

	ginkgo.It("forgets suspects and cleared requests earlier than quarantined ones", func() {
		l := NewList()
		strike(l, 0, f)
		Expect(l.Judge(after(suspectMemory-time.Second), f).State).To(Equal(Suspect))
		Expect(l.Judge(after(suspectMemory), f)).To(Equal(Verdict{}))
		strike(l, suspectMemory, f)
		Expect(l.Judge(after(suspectMemory), f).Mark).To(Equal(Mark{Strikes: 1}))
		l.Answered(after(suspectMemory), f)
		Expect(l.Records(after(suspectMemory + clearedMemory))).To(BeEmpty())
	})

	// Guards against records without end: an attacker can send any number of requests that crash upstreams.
	ginkgo.It("keeps a limited number of records, the quarantined ones longest", func() {
		l := NewList()
		strike(l, 0, f)
		strike(l, 0, f)
		for i := range 3 * maxRecords {
			strike(l, time.Duration(i)*time.Millisecond, print(100+i))
		}
		Expect(l.Len()).To(Equal(maxRecords))
		Expect(l.Judge(after(time.Second), f).State).To(Equal(Quarantined))
		Expect(l.Judge(after(time.Second), print(99+3*maxRecords)).State).To(Equal(Suspect))
		b, err := Encode(l.Records(after(time.Second)))
		Expect(err).NotTo(HaveOccurred())
		Expect(len(b)).To(BeNumerically("<", 10<<10))
	})

	// Guards against a request that is never quarantined because no room is left to remember its first strike.
	ginkgo.It("has room for suspects however many requests are quarantined", func() {
		l := NewList()
		for i := range 2 * maxRecords {
			strike(l, time.Duration(i)*time.Millisecond, print(i))
			strike(l, time.Duration(i)*time.Millisecond, print(i))
		}
		Expect(l.Quarantined()).To(BeNumerically(">=", maxQuarantined))
		fresh := print(10 * maxRecords)
		strike(l, time.Second, fresh)
		strike(l, time.Second, fresh)
		Expect(l.Judge(after(time.Second), fresh).State).To(Equal(Quarantined))
	})

	// Guards against a record that is never forgotten because a clock was ahead, or that comes back from another process.
	ginkgo.It("takes times in the future for the present and no records that are forgotten", func() {
		l := NewList()
		ahead := Record{Fingerprint: f, Mark: Mark{Strikes: 2}, Changed: after(1000 * time.Hour).UnixMilli()}
		Expect(l.Merge(start, []Record{ahead})).To(BeTrue())
		Expect(l.Judge(after(quarantineMemory), f).State).To(Equal(Clear))
		old := Record{Fingerprint: print(2), Mark: Mark{Strikes: 2}, Changed: after(-quarantineMemory).UnixMilli()}
		Expect(l.Merge(start, []Record{old})).To(BeFalse())
	})
})

func drawRecord(t *rapid.T) Record {
	return Record{
		Fingerprint: print(rapid.IntRange(0, 3).Draw(t, "request")),
		Mark:        Mark{Generation: uint32(rapid.IntRange(0, 2).Draw(t, "generation")), Strikes: uint32(rapid.IntRange(0, 3).Draw(t, "strikes"))},
		Trials:      uint32(rapid.IntRange(0, maxTrials).Draw(t, "trials")),
		Changed:     after(-time.Duration(rapid.IntRange(0, 3).Draw(t, "age")) * time.Second).UnixMilli(),
	}
}

var _ = ginkgo.Describe("records of several processes", func() {
	// Guards against processes that stay of different opinions because they learned of the same facts in another order.
	ginkgo.It("lead to the same list in whatever order and however often they are merged", func() {
		rapid.Check(ginkgo.GinkgoT(), func(t *rapid.T) {
			records := rapid.SliceOfN(rapid.Custom(drawRecord), 0, 8).Draw(t, "records")
			again := rapid.Permutation(append(records, records...)).Draw(t, "again")
			a, b := NewList(), NewList()
			a.Merge(start, records)
			for _, r := range again {
				b.Merge(start, []Record{r})
			}
			if len(records) > 0 {
				Expect(b.Records(start)).To(Equal(a.Records(start)))
			}
			Expect(a.Missing(start, b.Records(start))).To(BeEmpty())
		})
	})

	ginkgo.It("are the same after encoding and decoding", func() {
		rapid.Check(ginkgo.GinkgoT(), func(t *rapid.T) {
			records := rapid.SliceOfN(rapid.Custom(drawRecord), 1, 8).Draw(t, "records")
			b, err := Encode(records)
			Expect(err).NotTo(HaveOccurred())
			Expect(Decode(b)).To(Equal(records))
		})
	})

	// Guards against a process that fails, or quarantines requests, because of bytes that another writer left.
	ginkgo.DescribeTable("are rejected if they are malformed",
		func(b []byte) {
			_, err := Decode(b)
			Expect(err).To(MatchError(ErrMalformed))
		},
		ginkgo.Entry("no bytes", []byte{}),
		ginkgo.Entry("text", []byte(`{"Instance":"x"}`)),
		ginkgo.Entry("an array without an end", []byte{0x9f}),
		ginkgo.Entry("an array that announces 4 billion records", []byte{0x9a, 0xff, 0xff, 0xff, 0xff}),
		ginkgo.Entry("deeply nested arrays", bytes.Repeat([]byte{0x81}, 1000)),
		ginkgo.Entry("too many bytes", make([]byte, maxEncoded+1)),
		ginkgo.Entry("too many strikes", mustEncode(Record{Mark: Mark{Strikes: maxStrikes + 1}})),
		ginkgo.Entry("a negative time", mustEncode(Record{Changed: -1})),
	)
})

func mustEncode(r Record) []byte {
	b, err := Encode([]Record{r})
	if err != nil {
		panic(err)
	}
	return b
}

func FuzzDecode(f *testing.F) {
	f.Add(mustEncode(Record{Fingerprint: print(1), Mark: Mark{Generation: 1, Strikes: 2}, Trials: 1, Changed: 5}))
	f.Fuzz(func(t *testing.T, b []byte) {
		records, err := Decode(b)
		if err != nil {
			return
		}
		l := NewList()
		l.Merge(start, records)
		if l.Len() > maxRecords {
			t.Fatalf("%d records", l.Len())
		}
	})
}
