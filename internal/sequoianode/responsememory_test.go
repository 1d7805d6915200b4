package sequoianode

import (
	"context"
	"fmt"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiamemory"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiarouter"
)

// Guards against responses that are read without room, and requests that wait for room beyond their deadline.
var _ = ginkgo.Describe("The memory of a response", func() {
	const size = 1 << 20
	var account *sequoiamemory.Account
	var room *responseRoom
	ginkgo.BeforeEach(func() {
		account = sequoiamemory.New(2 * size)
		room = &responseRoom{account: account}
	})
	held := func() int64 { return account.Held(sequoiamemory.Response) }

	ginkgo.It("waits for other responses to be written, and counts all attempts until its release", func() {
		other, _ := account.Reserve(sequoiamemory.Response, size)
		ctx, m := withResponseMemory(context.Background(), room, sequoiamemory.Response)
		reserve := responseReserver(ctx)
		time.AfterFunc(50*time.Millisecond, other.Release)
		Expect(reserve(ctx, size)).To(BeTrue())
		Expect(reserve(ctx, 1000)).To(BeTrue())
		Expect(reserve(ctx, -1000)).To(BeTrue())
		Expect(held()).To(BeEquivalentTo(size))
		m.release()
		m.release()
		Expect(held()).To(BeZero())
	})

	ginkgo.It("is refused after a while, at the deadline at the latest, but not to small responses", func() {
		other, _ := account.Reserve(sequoiamemory.Response, size*3/2)
		defer other.Release()
		ctx, m := withResponseMemory(context.Background(), room, sequoiamemory.Response)
		defer m.release()
		start := time.Now()
		Expect(m.reserve(ctx, size)).To(BeFalse())
		Expect(time.Since(start)).To(BeNumerically(">=", responseRoomWait))
		short, cancel := context.WithTimeout(ctx, 20*time.Millisecond)
		defer cancel()
		start = time.Now()
		Expect(m.reserve(short, size)).To(BeFalse())
		Expect(time.Since(start)).To(BeNumerically("<", responseRoomWait))
		Expect(m.reserve(short, 16<<10)).To(BeTrue())
	})

	// Guards against large responses for clients that do not read, which keep all slots of an upstream while they wait.
	ginkgo.It("is refused at once while others wait for it", func() {
		other, _ := account.Reserve(sequoiamemory.Response, size*3/2)
		waited := make(chan bool, maxRoomWaiters)
		for range maxRoomWaiters {
			ctx, m := withResponseMemory(context.Background(), room, sequoiamemory.Response)
			go func() {
				waited <- m.reserve(ctx, size/2)
				m.release()
			}()
		}
		Eventually(room.waiters.Load).Should(BeEquivalentTo(maxRoomWaiters))
		ctx, m := withResponseMemory(context.Background(), room, sequoiamemory.Response)
		defer m.release()
		for range 10 {
			Expect(m.reserve(ctx, size)).To(BeFalse())
			Expect(room.waiters.Load()).To(BeEquivalentTo(maxRoomWaiters))
		}
		other.Release()
		for range maxRoomWaiters {
			Expect(<-waited).To(BeTrue())
		}
		Expect(m.reserve(ctx, size)).To(BeTrue())
	})

	// Guards against heads of many short lines, of which each running request holds a copy, and against responses of other
	// processes that nobody counts.
	ginkgo.It("includes the copy of a request's header and a response of another process", func() {
		h := map[string][]string{}
		for i := range 1000 {
			h[fmt.Sprint("X", i)] = []string{""}
		}
		ctx, m := withResponseMemory(context.Background(), room, sequoiamemory.Response)
		release, ok := reserveHeader(ctx, h)
		Expect(ok).To(BeTrue())
		Expect(held()).To(BeNumerically(">", 100_000))
		release()
		Expect(held()).To(BeZero())
		Expect(holdForwarded(ctx, &sequoiarouter.Response{Header: h, Body: make([]byte, size)})).To(BeTrue())
		Expect(held()).To(BeNumerically(">", size+100_000))
		other, _ := withResponseMemory(context.Background(), room, sequoiamemory.Response)
		Expect(holdForwarded(other, &sequoiarouter.Response{Body: make([]byte, size)})).To(BeFalse())
		filler, _ := account.Reserve(sequoiamemory.Request, account.Limit()*3/4-held())
		_, ok = reserveHeader(other, map[string][]string{"X": {string(make([]byte, size/2))}})
		Expect(ok).To(BeFalse())
		filler.Release()
		m.release()
		Expect(held()).To(BeZero())
	})

	ginkgo.It("is not reserved for requests without an owner of it", func() {
		Expect(responseReserver(context.Background())).To(BeNil())
	})
})
