package sequoianode

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiafront"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiamemory"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiarouter"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatimer"
)

const (
	// responseRoomWait is how long a response waits at its upstream for memory. Others that are being written free it.
	responseRoomWait = 300 * time.Millisecond
	// maxRoomWaiters is the number of responses that wait for memory at the same time. Each of them keeps its request's slot at
	// the upstream, which others need.
	maxRoomWaiters = 2
	// responseRoomInterval is the interval at which memory is tried for again.
	responseRoomInterval = 10 * time.Millisecond
)

// responseRoom is the memory in which the responses of all requests find room.
type responseRoom struct {
	account *sequoiamemory.Account
	waiters atomic.Int32
}

// responseMemory is the memory that one request reserves for the bodies of its upstream's responses. The handler of the
// request owns it and releases it, unless it hands it over to the front. Its methods are called by one goroutine.
type responseMemory struct {
	room    *responseRoom
	kind    sequoiamemory.Kind
	holding *sequoiamemory.Holding
}

// responseMemoryKey is the key of the responseMemory in a request's context.
type responseMemoryKey struct{}

// withResponseMemory returns a context with a responseMemory, which the caller releases.
func withResponseMemory(
	ctx context.Context, room *responseRoom, kind sequoiamemory.Kind,
) (context.Context, *responseMemory) {
	m := &responseMemory{room: room, kind: kind}
	return context.WithValue(ctx, responseMemoryKey{}, m), m
}

// responseReserver returns the function that reserves memory for the body of a response, nil if the context has none.
func responseReserver(ctx context.Context) func(ctx context.Context, n int64) bool {
	if m, ok := ctx.Value(responseMemoryKey{}).(*responseMemory); ok {
		return m.reserve
	}
	return nil
}

// reserve reserves n bytes and waits for them if there is no room, unless maxRoomWaiters others do, or returns -n bytes.
func (m *responseMemory) reserve(ctx context.Context, n int64) bool {
	if m.tryReserve(n) {
		return true
	}
	defer m.room.waiters.Add(-1)
	if m.room.waiters.Add(1) > maxRoomWaiters {
		return false
	}
	for start := time.Now(); time.Since(start) < responseRoomWait; {
		if sequoiatimer.Sleep(ctx, responseRoomInterval) != nil {
			return false
		}
		if m.tryReserve(n) {
			return true
		}
	}
	return false
}

func (m *responseMemory) tryReserve(n int64) bool {
	if m.holding != nil {
		return m.holding.Grow(n)
	}
	h, ok := m.room.account.Reserve(m.kind, n)
	if ok {
		m.holding = h
	}
	return ok
}

// reserveHeader reserves memory for the copy of a request's header that is sent to the upstream. It returns false if there is
// none.
func reserveHeader(ctx context.Context, h map[string][]string) (release func(), ok bool) {
	m, _ := ctx.Value(responseMemoryKey{}).(*responseMemory)
	n := sequoiamemory.HeaderBytes(h)
	if m == nil || n <= sequoiamemory.SmallRequest {
		return func() {}, true
	}
	if !m.tryReserve(n) {
		return nil, false
	}
	return func() { m.tryReserve(-n) }, true
}

// holdForwarded reserves memory for a response that another process has sent, until the client has taken it. It returns false
// if there is none.
func holdForwarded(ctx context.Context, resp *sequoiarouter.Response) bool {
	m, ok := ctx.Value(responseMemoryKey{}).(*responseMemory)
	n := int64(len(resp.Body)) + sequoiamemory.HeaderBytes(resp.Header)
	return !ok || n == 0 || m.tryReserve(n)
}

// handOver gives the memory to the front, which has taken the response.
func (m *responseMemory) handOver(r *http.Request) {
	if m.holding != nil && sequoiafront.HoldResponse(r, m.holding) {
		m.holding = nil
	}
}

// release releases the memory unless it was handed over.
func (m *responseMemory) release() { m.holding.Release() }
