package sequoiastore_test

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiacontrol"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiastandin"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiastore"
	. "github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

func TestStore(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "sequoiastore")
}

func entry(index, nonce uint64) Entry {
	return Entry{Index: index, Writer: 1, Nonce: nonce, Changes: []Change{
		{SetConfiguration: &SetConfiguration{Base: index - 1, Services: []ServiceConfig{{Name: "s", Shards: 4}}}},
	}}
}

var _ = ginkgo.Describe("Client", func() {
	var s *sequoiastandin.Store
	var c *sequoiastore.Client
	ctx := context.Background()

	ginkgo.BeforeEach(func() {
		var err error
		s, err = sequoiastandin.StartStore(netip.MustParseAddrPort("127.0.0.1:0"))
		Expect(err).NotTo(HaveOccurred())
		c = sequoiastore.New(s.Addr(), sequoiastore.WithCallTimeout(time.Second), sequoiastore.WithTrimPause(0))
		ginkgo.DeferCleanup(s.Close)
		ginkgo.DeferCleanup(c.Close)
	})

	put := func(key, value string) {
		req, _ := http.NewRequest("PUT", "http://"+s.Addr().String()+"/v1/keys/"+key, strings.NewReader(value))
		resp, err := http.DefaultClient.Do(req)
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Body.Close()).To(Succeed())
	}
	logKey := func(index uint64) string { return fmt.Sprintf("log/%020d", index) }
	// fill appends entries to the log of t up to index last and returns the resulting table.
	fill := func(t *Table, last uint64) *Table {
		for i := t.Index + 1; i <= last; i++ {
			Expect(c.Append(ctx, entry(i, i)).Result).To(Equal(sequoiacontrol.AppendWon))
			t, _, _ = t.Apply(entry(i, i))
		}
		return t
	}

	ginkgo.It("reports a stored entry as won if the response was lost, so that its writer does not act twice", func() {
		s.DropReplies(1)
		Expect(c.Append(ctx, entry(1, 5)).Result).To(Equal(sequoiacontrol.AppendWon))
		Expect(s.Counts().Puts).To(Equal(int64(1)))
		Expect(c.Append(ctx, entry(1, 5)).Result).To(Equal(sequoiacontrol.AppendWon))
	})

	ginkgo.It("reports the stored entry if another writer took the index first", func() {
		c.Append(ctx, entry(1, 5))
		r := c.Append(ctx, entry(1, 6))
		Expect(r.Result).To(Equal(sequoiacontrol.AppendLost))
		Expect(r.Winner.Nonce).To(Equal(uint64(5)))
	})

	ginkgo.It("reports an unknown result while the store is down, since an earlier attempt may have been applied", func() {
		s.SetDown(true)
		r := c.Append(ctx, entry(1, 5))
		Expect(r.Result).To(Equal(sequoiacontrol.AppendUnknown))
		Expect(r.Err).To(MatchError(sequoiastore.ErrUnavailable))
		Expect(r.Winner).To(BeNil())
		Expect(c.ReadLog(ctx, 0).Err).To(MatchError(sequoiastore.ErrUnavailable))
	})

	ginkgo.It("does not let a paused writer fill a trimmed index, whose entry no other process would read", func() {
		t := fill(New(), 3)
		Expect(c.WriteCheckpoint(ctx, t)).To(Succeed())
		t = fill(t, 5)
		Expect(c.WriteCheckpoint(ctx, t)).To(Succeed())
		r := c.Append(ctx, entry(2, 99))
		Expect(r.Result).To(Equal(sequoiacontrol.AppendUnknown))
		Expect(r.Err).To(MatchError(sequoiastore.ErrTrimmed))
		put(logKey(3), "left by a writer that stopped before it was told")
		for _, read := range []sequoiacontrol.LogRead{c.ReadLog(ctx, 1), c.WaitLog(ctx, 2, 10*time.Millisecond)} {
			Expect(read.Err).NotTo(HaveOccurred())
			Expect(read.Entries).To(BeEmpty())
			Expect(read.Checkpoint).To(Equal(t))
		}
		Expect(c.ReadLog(ctx, 3).Entries).To(Equal([]Entry{entry(4, 4), entry(5, 5)}))
	})

	ginkgo.It("reads more entries than one page holds, and waits for the next", func() {
		fill(New(), 205)
		read := c.ReadLog(ctx, 1)
		Expect(read.Err).NotTo(HaveOccurred())
		Expect(read.Entries).To(HaveLen(204))
		Expect(c.WaitLog(ctx, 205, 10*time.Millisecond)).To(Equal(sequoiacontrol.LogRead{}))
		time.AfterFunc(50*time.Millisecond, func() {
			c.Append(ctx, entry(206, 1))
		})
		Expect(c.WaitLog(ctx, 205, 3*time.Second).Entries).To(Equal([]Entry{entry(206, 1)}))
	})

	ginkgo.It("completes a checkpoint after lost responses and refuses an older one, which would revert the head", func() {
		t := fill(New(), 2)
		_, err := c.ReadCheckpoint(ctx)
		Expect(err).To(MatchError(sequoiastore.ErrNoCheckpoint))
		Expect(c.WriteCheckpoint(ctx, t)).To(Succeed())
		Expect(c.WriteCheckpoint(ctx, t)).To(MatchError(sequoiastore.ErrConflict))
		Expect(c.ReadCheckpoint(ctx)).To(Equal(t))
		t = fill(t, 4)
		s.DropReplies(1)
		Expect(c.WriteCheckpoint(ctx, t)).To(MatchError(sequoiastore.ErrUnavailable))
		Expect(c.WriteCheckpoint(ctx, t)).To(Succeed())
		Expect(c.ReadCheckpoint(ctx)).To(Equal(t))
	})

	ginkgo.It("reports the key of an invalid value and returns no part of the value", func() {
		fill(New(), 2)
		put(logKey(3), "not CBOR")
		read := c.ReadLog(ctx, 0)
		Expect(read.Entries).To(BeEmpty())
		Expect(read.Err).To(MatchError(sequoiastore.ErrBadValue))
		Expect(read.Err).To(MatchError(ErrEncoding))
		Expect(read.Err.Error()).To(ContainSubstring(logKey(3)))
		Expect(c.Append(ctx, entry(3, 3)).Err).To(MatchError(sequoiastore.ErrBadValue))
		data, _ := EncodeEntry(entry(9, 9))
		put(logKey(3), string(data))
		Expect(c.ReadLog(ctx, 0).Err).To(MatchError(sequoiastore.ErrBadValue))
		for _, v := range []string{`{"Index": 2, "Parts": 1, "Extra": 1}`, `{"Index": 2, "Parts": 100000}`, `{} {}`} {
			put("checkpoint/head", v)
			_, err := c.ReadCheckpoint(ctx)
			Expect(err).To(MatchError(sequoiastore.ErrBadValue))
		}
		put("contacts", `{"Addresses": ["host"]}`)
		Expect(c.AddContact(ctx, s.Addr())).To(MatchError(sequoiastore.ErrBadValue))
	})

	ginkgo.It("limits the number of contacts and writes nothing for one that is listed", func() {
		for i := range sequoiastore.MaxContacts + 2 {
			Expect(c.AddContact(ctx, netip.AddrPortFrom(s.Addr().Addr(), uint16(1000+i)))).To(Succeed())
		}
		puts := s.Counts().Puts
		last := netip.AddrPortFrom(s.Addr().Addr(), uint16(1000+sequoiastore.MaxContacts+1))
		Expect(c.AddContact(ctx, last)).To(Succeed())
		Expect(s.Counts().Puts).To(Equal(puts))
		list, err := c.Contacts(ctx)
		Expect(err).NotTo(HaveOccurred())
		Expect(list).To(HaveLen(sequoiastore.MaxContacts))
		Expect(list[0]).To(Equal(last))
	})

	ginkgo.It("ends a store lease for its holder before it expires in the store", func() {
		l, err := c.AcquireLease(ctx, 7)
		Expect(err).NotTo(HaveOccurred())
		_, err = c.AcquireLease(ctx, 7)
		Expect(err).To(MatchError(sequoiastore.ErrConflict))
		first := l.End()
		keepCtx, cancel := context.WithTimeout(ctx, 600*time.Millisecond)
		defer cancel()
		Expect(l.KeepAlive(keepCtx, func(time.Time) {})).To(MatchError(context.DeadlineExceeded))
		Expect(l.End()).To(BeTemporally(">", first.Add(400*time.Millisecond)))
		Eventually(func() (bool, error) { return c.LeaseHeld(ctx, 7) }, "3s", "10ms").Should(BeFalse())
		Expect(time.Now()).To(BeTemporally(">", l.End()))
		Expect(l.Renew(ctx)).To(MatchError(sequoiastore.ErrLeaseLost))
	})
})
