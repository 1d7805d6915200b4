// Package sequoiamemory bounds the memory that a process holds for clients, upstreams and other processes. It has no I/O:
// holders reserve memory in an Account before they use it.
package sequoiamemory

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// accountShare is the share of a process's memory limit that its Account has, in hundredths.
	accountShare = 45
	// runtimeShare is the share that the Go runtime may use, in hundredths. Below it, the garbage collector lets the heap
	// grow to about twice what is in use. The pages of the program count towards the process's limit too, but not here.
	runtimeShare = 75
	// defaultLimit is the limit in bytes of the Account of a process without a memory limit.
	defaultLimit = 256 << 20
	// SmallRequest is the size in bytes up to which a holding may use the part of an Account that is reserved for small ones.
	SmallRequest = 16 << 10
	// smallFraction and connectionFraction divide the limit: an eighth is reserved for small holdings, so that neither large
	// ones nor connections keep them out, and at most half is for connections, so that a crowd of them leaves room for requests.
	smallFraction      = 8
	connectionFraction = 2
	// stallTime is how long a holder must have made no progress before it may be evicted.
	stallTime = time.Second
	// searchInterval is how long a search for holdings to evict that found too little is not repeated for as much or more.
	searchInterval = 20 * time.Millisecond
	// garbageFraction and fullFraction divide the limit. Memory that holdings have returned is free only after a collection.
	// One begins when large holdings have returned an eighth since the last one, and that and what is used are a quarter.
	garbageFraction = 8
	fullFraction    = 4
	// collectInterval is the least time between two collections; one takes a few milliseconds.
	collectInterval = 5 * time.Millisecond
)

// AccountLimit returns the limit in bytes of the Account of a process with a memory limit, zero if it has none.
func AccountLimit(memoryLimit int64) int64 {
	if memoryLimit <= 0 {
		return defaultLimit
	}
	return memoryLimit / 100 * accountShare
}

// DefaultMemory is the memory in bytes of a process without a limit in its settings, of which its Account has its share.
const DefaultMemory = defaultLimit / accountShare * 100

// RuntimeLimit returns the limit in bytes for the Go runtime of a process with a memory limit, zero if it has none.
func RuntimeLimit(memoryLimit int64) int64 { return memoryLimit / 100 * runtimeShare }

// Kind says what memory is held for.
type Kind int

// Kinds of holdings.
const (
	// Connection is the fixed amount of a client's connection.
	Connection Kind = iota
	// Request is a client's request: its head, and its body as far as it has arrived.
	Request
	// Response is a response that has not been written.
	Response
	// Forwarded is a request or response between processes.
	Forwarded
	kinds
)

var kindNames = [kinds]string{"Connection", "Request", "Response", "Forwarded"}

// Kinds returns all kinds.
func Kinds() []Kind { return []Kind{Connection, Request, Response, Forwarded} }

// String returns the kind's name, which is also the value of the label of its metric.
func (k Kind) String() string { return kindNames[k] }

// Account is the memory of a process that holders share.
type Account struct {
	limit int64
	now   func() time.Time
	// collect frees memory that is no longer in use, nil if nothing does beside the runtime. collecting is locked meanwhile.
	collect    func()
	collecting sync.RWMutex

	mu sync.Mutex
	// garbage is the number of bytes that large holdings have returned since the last collection began, at collected.
	garbage   int64
	collected time.Time
	// used is the total, by kind in usedBy, and large the part of it in holdings above SmallRequest.
	used, large int64
	usedBy      [kinds]int64
	evicted     uint64
	// first is the first of the linked holdings.
	first *Holding
	// search is the last search for holdings to evict.
	search search
}

// search is a search for holdings to evict that found too little. It spares another search for each request that finds no
// room: a crowd of refused requests would otherwise use up the processor.
type search struct {
	// next is the earliest time at which any holding may be evictable.
	next time.Time
	// failed is the smallest number of bytes that the search did not find, and until how long that is taken for granted.
	failed int64
	until  time.Time
}

// mayFind reports whether a search for n bytes may find them.
func (s search) mayFind(now time.Time, n int64) bool {
	return !now.Before(s.next) && (n < s.failed || !now.Before(s.until))
}

// Option changes a setting of an Account.
type Option func(*Account)

// WithClock sets the function that returns the time, in place of time.Now.
func WithClock(now func() time.Time) Option {
	return func(a *Account) { a.now = now }
}

// WithCollect sets the function that frees memory that is no longer in use. It is called in a goroutine of its own.
func WithCollect(collect func()) Option {
	return func(a *Account) { a.collect = collect }
}

// New returns an Account of limit bytes.
func New(limit int64, opts ...Option) *Account {
	a := &Account{limit: limit, now: time.Now}
	for _, o := range opts {
		o(a)
	}
	return a
}

// Reserve reserves n bytes. It returns false if there is no room, also after the eviction of holders without progress.
func (a *Account) Reserve(kind Kind, n int64) (*Holding, bool) {
	h := &Holding{account: a, kind: kind}
	if !a.resize(h, n) {
		return nil, false
	}
	return h, true
}

// ReserveForwarded reserves n bytes for a request or response between processes. release returns them.
func (a *Account) ReserveForwarded(n int) (release func(), ok bool) {
	h, ok := a.Reserve(Forwarded, int64(n))
	if !ok {
		return nil, false
	}
	return h.Release, true
}

// Held returns the number of bytes that are held for a kind.
func (a *Account) Held(kind Kind) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.usedBy[kind]
}

// Evicted returns the number of holdings that have been evicted.
func (a *Account) Evicted() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.evicted
}

// Limit returns the limit in bytes.
func (a *Account) Limit() int64 { return a.limit }

// ConnectionLimit returns the limit in bytes for connections.
func (a *Account) ConnectionLimit() int64 { return a.limit / connectionFraction }

// resize adds n bytes to h if there is room.
func (a *Account) resize(h *Holding, n int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	size := h.size + n
	if h.gone {
		return false
	}
	if !a.hasRoom(h, size, 0, 0) && !a.evict(h, size) {
		return false
	}
	a.add(h, -h.size)
	if n < 0 {
		a.discard(-n)
	}
	h.size = size
	a.add(h, size)
	if !h.linked {
		a.link(h)
	}
	return true
}

// add counts n bytes of a holding, which are all of it.
func (a *Account) add(h *Holding, n int64) {
	a.used += n
	a.usedBy[h.kind] += n
	if h.isLarge() {
		a.large += n
	}
}

// hasRoom reports whether h may have the size once the given numbers of bytes have been freed, in all and in large holdings.
func (a *Account) hasRoom(h *Holding, size, freed, freedLarge int64) bool {
	if a.used-freed-h.size+size > a.limit {
		return false
	}
	if h.kind != Connection && size <= SmallRequest {
		return true
	}
	connections, large := a.usedBy[Connection], a.large-freedLarge
	if h.kind == Connection {
		if connections += size - h.size; connections > a.ConnectionLimit() {
			return false
		}
	} else {
		large += size - h.largeSize()
	}
	return connections+large <= a.limit-a.limit/smallFraction
}

// evict evicts as many holdings as h needs to have the size, those longest without progress first. It evicts none if that
// would not free enough.
func (a *Account) evict(h *Holding, size int64) bool {
	now := a.now()
	if !a.search.mayFind(now, size-h.size) {
		return false
	}
	stalled := a.stalled(h, now)
	slices.SortFunc(stalled, compareProgress)
	var freed, freedLarge int64
	for i, s := range stalled {
		freed += s.size
		freedLarge += s.largeSize()
		if a.hasRoom(h, size, freed, freedLarge) {
			evicted := true
			for _, s := range stalled[:i+1] {
				evicted = a.evictHolding(s) && evicted
			}
			return evicted
		}
	}
	a.search.failed, a.search.until = size-h.size, now.Add(searchInterval)
	return false
}

// evictHolding evicts one holding. It returns false if the owner has just forbidden it. The caller must hold mu.
func (a *Account) evictHolding(h *Holding) bool {
	f := h.onEvict.Swap(nil)
	if f == nil {
		return false
	}
	a.evicted++
	h.left = h.size
	a.remove(h)
	// The owner may hold locks that a caller of Reserve holds too.
	go (*f)()
	return true
}

// stalled returns the holdings that may be evicted for h.
func (a *Account) stalled(h *Holding, now time.Time) []*Holding {
	var stalled []*Holding
	next := now.Add(stallTime)
	for s := a.first; s != nil; s = s.next {
		if s == h || s.onEvict.Load() == nil {
			continue
		}
		if since := time.Unix(0, s.progress.Load()).Add(stallTime); !since.After(now) {
			stalled = append(stalled, s)
		} else if since.Before(next) {
			next = since
		}
	}
	if len(stalled) == 0 {
		a.search.next = next
	}
	return stalled
}

// discard counts n bytes that the owner of a holding no longer uses, and begins a collection if there are many of them. The
// caller must hold mu.
func (a *Account) discard(n int64) {
	if a.collect == nil || n <= SmallRequest {
		return
	}
	a.garbage += n
	now := a.now()
	if a.garbage < a.limit/garbageFraction || a.garbage+a.used < a.limit/fullFraction || now.Sub(a.collected) < collectInterval {
		return
	}
	a.garbage, a.collected = 0, now
	go a.runCollect()
}

func (a *Account) runCollect() {
	a.collecting.Lock()
	defer a.collecting.Unlock()
	a.collect()
}

// AwaitCollection waits until no collection is running. Holders call it before they allocate a buffer of n bytes. For an
// eighth of the limit or more it makes a collection if any large holding has returned memory since the last one.
func (a *Account) AwaitCollection(n int64) {
	if a.takeGarbage(n) {
		a.runCollect()
		return
	}
	a.collecting.RLock()
	defer a.collecting.RUnlock()
}

// Exclusive calls f, which allocates n bytes that no holding counts, with a collection before and after it if n is large.
// Holders that call AwaitCollection wait meanwhile.
func (a *Account) Exclusive(n int64, f func()) {
	a.collecting.Lock()
	defer a.collecting.Unlock()
	large := a.collect != nil && n >= a.limit/garbageFraction
	if large && a.takeGarbage(n) {
		a.collect()
	}
	f()
	if large {
		a.collect()
	}
}

// takeGarbage reports whether to make a collection before n bytes are allocated, and then counts it as begun.
func (a *Account) takeGarbage(n int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.garbage == 0 || n < a.limit/garbageFraction {
		return false
	}
	a.garbage, a.collected = 0, a.now()
	return true
}

// remove ends a holding. The caller must hold mu.
func (a *Account) remove(h *Holding) {
	a.add(h, -h.size)
	h.size, h.gone = 0, true
	if !h.linked {
		return
	}
	h.linked = false
	if h.previous != nil {
		h.previous.next = h.next
	} else {
		a.first = h.next
	}
	if h.next != nil {
		h.next.previous = h.previous
	}
	h.previous, h.next = nil, nil
}

// link adds h to the linked holdings. The caller must hold mu.
func (a *Account) link(h *Holding) {
	h.linked, h.next = true, a.first
	if a.first != nil {
		a.first.previous = h
	}
	a.first = h
}

// Holding is memory that one holder has reserved. Its methods are called by one goroutine at a time. Those of a nil Holding
// do nothing.
type Holding struct {
	account *Account
	kind    Kind
	// evictable is true if the owner has allowed the eviction.
	evictable bool
	// progress is the time of the last progress in Unix nanoseconds, and onEvict the function to call after an eviction, nil
	// if the holding must not be evicted or was. They are set without the account's mutex, which all requests need.
	progress atomic.Int64
	onEvict  atomic.Pointer[func()]

	// The following fields are protected by the account's mutex.
	size int64
	// left is the size at the time of the eviction, until the owner has released the holding too.
	left int64
	// gone is true once the holding has been released or evicted.
	gone           bool
	linked         bool
	previous, next *Holding
}

// compareProgress orders holdings by the time of their last progress.
func compareProgress(x, y *Holding) int { return cmp.Compare(x.progress.Load(), y.progress.Load()) }

// isLarge reports whether the holding counts as a large one. Connections are counted apart.
func (h *Holding) isLarge() bool { return h.size > SmallRequest && h.kind != Connection }

// largeSize returns the number of bytes that count as those of a large holding.
func (h *Holding) largeSize() int64 {
	if h.isLarge() {
		return h.size
	}
	return 0
}

// Grow reserves n more bytes, or returns -n bytes. It returns false if there is no room or the holding was evicted or
// released; the holding then stays as it is.
func (h *Holding) Grow(n int64) bool {
	if h == nil {
		return true
	}
	return h.account.resize(h, n)
}

// Resize makes the holding n bytes large, like Grow.
func (h *Holding) Resize(n int64) bool {
	if h == nil {
		return true
	}
	h.account.mu.Lock()
	size := h.size
	h.account.mu.Unlock()
	return h.account.resize(h, n-size)
}

// Progress records that the holder has made progress.
func (h *Holding) Progress() {
	if h != nil {
		h.progress.Store(h.account.now().UnixNano())
	}
}

// ProgressAt records that the holder has made progress up to a time. The holder of one that makes it too slowly gives a time
// that falls behind.
func (h *Holding) ProgressAt(t time.Time) {
	if h != nil {
		h.progress.Store(t.UnixNano())
	}
}

// Exclusive calls f, see Account.Exclusive.
func (h *Holding) Exclusive(n int64, f func()) {
	if h == nil {
		f()
		return
	}
	h.account.Exclusive(n, f)
}

// AwaitCollection is called before n bytes are allocated, see Account.AwaitCollection.
func (h *Holding) AwaitCollection(n int64) {
	if h != nil {
		h.account.AwaitCollection(n)
	}
}

// OnEvict allows the eviction of the holding, and sets the function that is then called in a goroutine of its own. With
// nil the holding is not evicted. It counts as progress. OnEvict returns false if the holding has already been evicted.
func (h *Holding) OnEvict(f func()) bool {
	if h == nil {
		return true
	}
	var next *func()
	if f != nil {
		h.Progress()
		next = &f
	}
	evicted := h.onEvict.Swap(next) == nil && h.evictable
	h.evictable = f != nil
	return !evicted
}

// Release returns the memory. Only the first call has an effect.
func (h *Holding) Release() {
	if h == nil {
		return
	}
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	if !h.gone {
		h.left = h.size
		h.account.remove(h)
	}
	h.account.discard(h.left)
	h.left = 0
}
