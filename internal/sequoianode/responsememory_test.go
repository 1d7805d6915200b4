package sequoianode

import (
	"context"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiamemory"
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

	ginkgo.It("is not reserved for requests without an owner of it", func() {
		Expect(responseReserver(context.Background())).To(BeNil())
	})
})
