package sequoiaowner_test

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiakeyspace"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaowner"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaregistry"
)

// Times of the model.
const (
	modelStep = 100 * time.Millisecond
	// modelWarmUp is longer than a process waits after its start before it takes over keys.
	modelWarmUp = 18 * time.Second
	// silentPoll is how long a watch call on a silent connection hangs.
	silentPoll = 6600 * time.Millisecond
	// callTimeout is how long a process waits for a call to the store that gets no response.
	callTimeout = sequoiaregistry.CallTimeout
	// sampleDistance is the distance between the keys that are checked.
	sampleDistance = 977
)

// Kinds of faults. A fault hits one process, except for those of the store.
const (
	faultCutFromStore = "cut from store"
	faultIsolated     = "isolated"
	faultFreeze       = "freeze"
	faultKill         = "kill"
	faultPower        = "power loss"
	faultGone         = "loss for good"
	faultSilentWatch  = "silent watch"
	faultDisorder     = "disordered events"
	faultRefused      = "refused by store"
	faultLostAnswers  = "lost answers"
	faultLateWrites   = "late writes"
	faultLateGrants   = "late grants"
	faultLostMessages = "lost messages"
	faultRegister     = "repeated registration"
	faultOutage       = "outage"
	faultLapse        = "outage with lapse"
	faultRevoke       = "revoked lease"
	faultCompact      = "compaction"
	// faultMoves makes a process move keys to another upstream, as it does for balance.
	faultMoves = "moves"
	// faultLateProposals makes the changes that a process proposes reach the process that writes them late.
	faultLateProposals = "late proposals"
	// faultRestore is an outage after which the store comes back as it was some time before the fault, given by twice the delay.
	faultRestore = "restore"
	// faultEvacuate is an order to evacuate the failure domain of a process, each of which is in one of its own. The other
	// processes learn of it, and of its end, one after another within the delay.
	faultEvacuate = "evacuation"
)

var faultKinds = []string{
	faultCutFromStore, faultIsolated, faultFreeze, faultKill, faultPower, faultGone, faultSilentWatch, faultDisorder, faultRefused,
	faultLostAnswers, faultLateWrites, faultLateGrants, faultLostMessages, faultRegister, faultOutage, faultLapse, faultRevoke,
	faultCompact, faultMoves, faultLateProposals, faultRestore, faultEvacuate,
}

// fault is one fault of a simulated day. at counts from the end of the warm-up.
type fault struct {
	kind    string
	process int
	at, d   time.Duration
	// delay is how long a late write or grant takes to be applied.
	delay time.Duration
}

func (f fault) String() string {
	return fmt.Sprintf("%s of %c at %v for %v (delay %v)", f.kind, 'a'+f.process, f.at, f.d, f.delay)
}

// world simulates processes that use the code as it runs: Core, Registration and Watcher. The model provides the store,
// the upstreams, the messages between processes and the faults.
type world struct {
	now       time.Time
	began     time.Time
	store     *modelStore
	processes []*process
	faults    []fault
	// restored holds the restores among the faults that have happened.
	restored map[int]bool
	// lateProposals are changes that have not reached the process that writes them yet.
	lateProposals []lateProposal
	// fences holds the highest fence of each sampled key.
	fences [int(sequoiakeyspace.MaxKey)/sampleDistance + 1]fencedKey
	trace  []string
}

// logf appends a line to the trace, which is printed if the day breaks a promise.
func (w *world) logf(format string, args ...any) {
	w.trace = append(w.trace, fmt.Sprintf("%8v ", w.now.Sub(w.began))+fmt.Sprintf(format, args...))
}

// process is one instance with its process and its upstream.
type process struct {
	w     *world
	index int
	name  string
	run   int
	core  *sequoiaowner.Core
	// store is the store as this run of the process sees it.
	store    sequoiaregistry.Store
	reg      *sequoiaregistry.Registration
	watcher  *sequoiaregistry.Watcher
	upstream *modelUpstream
	// ready is true once the process has read from the store after its start.
	ready                                   bool
	nextRenew, nextPoll, nextAsk, nextFetch time.Time
	down                                    bool
}

// modelUpstream holds keys as grants tell it to.
type modelUpstream struct {
	id    string
	born  int64
	alive bool
	held  []heldRange
	late  []lateGrant
}

// lateProposal is a change that a process has proposed to another one, and which that one receives late.
type lateProposal struct {
	at     time.Time
	writer *process
	write  *sequoiaowner.Write
}

type lateGrant struct {
	at    time.Time
	grant sequoiaowner.Grant
}

func newWorld(n int, faults []fault) *world {
	w := &world{now: time.Unix(1000, 0), began: time.Unix(1000, 0).Add(modelWarmUp), faults: faults, restored: map[int]bool{}}
	w.store = newModelStore(func() time.Time { return w.now })
	w.store.keeps = slices.ContainsFunc(faults, func(f fault) bool { return f.kind == faultRestore })
	for i := range n {
		p := &process{w: w, index: i, name: string(rune('a' + i))}
		p.upstream = &modelUpstream{id: "u-" + p.name, born: 1, alive: true}
		w.processes = append(w.processes, p)
		p.start()
	}
	return w
}

// start starts a new run of the process.
func (p *process) start() {
	p.run++
	p.down, p.ready = false, false
	p.nextRenew, p.nextPoll, p.nextAsk, p.nextFetch = p.w.now, p.w.now, p.w.now, p.w.now
	p.core = sequoiaowner.New(p.name, p.w.now, sequoiaowner.WithDomain(p.name))
	p.core.SetKeyedServices([]string{service})
	core := p.core
	p.store = p.w.store.client(p)
	store := p.store
	p.reg = newModelRegistration(p, store)
	p.watcher = &sequoiaregistry.Watcher{
		Store: store, Prefix: modelMember, Wait: time.Second, OnError: func(error) {},
		Now: func() time.Time { return p.w.now }, OnCurrent: core.ConfirmView,
		OnListed: func(items []sequoiaregistry.Item, revision uint64) {
			p.w.logf("%s lists %d members at revision %d", p.name, len(items), revision)
			core.SetMembers(p.w.now, decodeModelMembers(items), revision)
		},
		OnItems: func(items []sequoiaregistry.Item) {
			if p.is(faultDisorder) {
				items = disorder(items)
			}
			for _, it := range items {
				p.applyMember(core, it)
			}
		},
	}
}

// disorder reverses the events, repeats the first and drops the last one if there are several.
func disorder(items []sequoiaregistry.Item) []sequoiaregistry.Item {
	items = slices.Clone(items)
	slices.Reverse(items)
	if len(items) > 1 {
		items = append(items[:len(items)-1], items[0])
	}
	return items
}

func (p *process) applyMember(core *sequoiaowner.Core, it sequoiaregistry.Item) {
	instance := strings.TrimPrefix(it.Key, modelMember)
	p.w.logf("%s sees %s at revision %d, deleted %v", p.name, it.Key, it.Revision, it.Deleted)
	if it.Deleted {
		core.RemoveMember(p.w.now, instance, it.Revision)
		if instance == p.name {
			p.reg.Changed()
		}
		return
	}
	core.SetMember(p.w.now, decodeModelMember(it))
}

func decodeModelMember(it sequoiaregistry.Item) sequoiaowner.Member {
	var m sequoiaowner.Member
	if err := json.Unmarshal(it.Value, &m); err != nil {
		panic(err)
	}
	m.Revision = it.Revision
	return m
}

func decodeModelMembers(items []sequoiaregistry.Item) map[string]sequoiaowner.Member {
	members := map[string]sequoiaowner.Member{}
	for _, it := range items {
		m := decodeModelMember(it)
		members[m.Instance] = m
	}
	return members
}

func (p *process) processID() string { return fmt.Sprint(p.name, p.run) }

func (p *process) member() []byte {
	m := sequoiaowner.Member{
		Instance: p.name, Process: p.processID(), Upstream: p.core.Upstream(), Domain: p.name,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(p.index + 1)}), 7000),
	}
	b, err := json.Marshal(m)
	if err != nil {
		panic(err)
	}
	return b
}

// fault returns the process's current fault of a kind.
func (p *process) fault(kind string) *fault {
	t := p.w.now.Sub(p.w.began)
	for i, f := range p.w.faults {
		if f.kind == kind && (f.process == p.index || f.process < 0) && f.at <= t && t < f.at+f.d {
			return &p.w.faults[i]
		}
	}
	return nil
}

// evacuated returns the failure domains that the process knows to be evacuated.
func (p *process) evacuated() (domains []string) {
	t := p.w.now.Sub(p.w.began)
	for _, f := range p.w.faults {
		if f.kind != faultEvacuate {
			continue
		}
		q := p.w.processes[f.process]
		lag := f.delay * time.Duration((p.index-q.index+len(p.w.processes))%len(p.w.processes)) / time.Duration(len(p.w.processes))
		if f.at+lag <= t && t < f.at+f.d+lag {
			domains = append(domains, q.name)
		}
	}
	return domains
}

// isGone reports whether the instance is lost for good. The first instance never is.
func (p *process) isGone() bool {
	return p.index > 0 && slices.ContainsFunc(p.w.faults, func(f fault) bool {
		return f.kind == faultGone && f.process == p.index && f.at <= p.w.now.Sub(p.w.began)
	})
}

func (p *process) is(kind string) bool { return p.fault(kind) != nil }

// reaches reports whether messages between two processes arrive.
func (p *process) reaches(q *process) bool {
	return p.running() && q.running() && !p.is(faultIsolated) && !q.is(faultIsolated) && !p.is(faultLostMessages) &&
		!q.is(faultLostMessages)
}

func (p *process) running() bool { return !p.down && !p.is(faultFreeze) && p.ready }

// play runs the world for d and returns the first violation of exclusive ownership.
func (w *world) play(d time.Duration) error {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(modelStep) {
		w.applyStoreFaults()
		w.store.advance(modelStep)
		if w.store.keeps && !w.store.down {
			w.store.keepCopy()
		}
		for _, p := range w.processes {
			p.step()
		}
		w.applyLateProposals()
		if err := w.checkOwners(); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) applyStoreFaults() {
	w.store.down = false
	t := w.now.Sub(w.began)
	for i, f := range w.faults {
		if f.kind == faultRestore && t >= f.at+f.d && !w.restored[i] {
			w.restored[i] = true
			w.store.restore(f.d + 2*f.delay)
			w.logf("the store is restored to revision %d, %v before its outage", w.store.revision, 2*f.delay)
		}
		if t < f.at || t >= f.at+f.d {
			continue
		}
		switch f.kind {
		case faultOutage, faultRestore:
			w.store.down = true
		case faultLapse:
			w.store.down = true
			w.store.endLeases()
		case faultRevoke:
			w.store.endLease(w.store.items[modelMember+w.processes[f.process].name].Lease)
		case faultCompact:
			w.store.oldEvent = w.store.revision
		}
	}
}

func (p *process) step() {
	p.upstream.applyLate(p.w.now)
	p.applyProcessFaults()
	if p.down || p.is(faultFreeze) {
		return
	}
	store := p.store
	if !p.ready {
		// A process reads the secret from the store before it does anything else.
		if _, _, err := store.List(context.Background(), modelMember); err != nil {
			return
		}
		p.ready = true
	}
	now := p.w.now
	if p.upstream.alive {
		p.core.SetUpstream(now, sequoiaowner.Upstream{ID: p.upstream.id, Born: p.upstream.born, Service: service, Slots: 4})
		p.core.MarkAlive(now)
	}
	if p.is(faultRegister) {
		p.reg.Changed()
	}
	p.renew(now)
	p.poll(now)
	p.exchange(now)
	p.core.SetEvacuated(p.evacuated())
	p.beginMove(now)
	a := p.core.Step(now)
	for _, g := range a.Grants {
		p.grant(g)
	}
	for _, r := range a.Releases {
		p.upstream.release(r)
		p.core.ReleaseDone(now, r, "", true)
	}
	p.act(store, a)
}

// beginMove moves some keys to another upstream.
func (p *process) beginMove(now time.Time) {
	held := p.core.HeldRanges()
	if !p.is(faultMoves) || p.core.MoveCount() > 0 || len(held) == 0 {
		return
	}
	r := held[len(held)-1]
	for _, name := range slices.Sorted(maps.Keys(p.core.Members())) {
		m := p.core.Members()[name]
		if name != p.name && p.core.BeginMove(now, r.From, r.From+(r.To-r.From)/2, m, sequoiaowner.ReasonBalance) {
			p.w.logf("%s begins to move keys %d to %d to %s", p.name, r.From, r.From+(r.To-r.From)/2, name)
			return
		}
	}
}

// applyProcessFaults kills and restarts the process.
func (p *process) applyProcessFaults() {
	kill, power := p.is(faultKill), p.is(faultPower) || p.isGone()
	if power && p.upstream.alive {
		p.upstream.alive, p.upstream.held = false, nil
	}
	switch {
	case kill || power:
		p.down = true
	case p.down:
		if !p.upstream.alive {
			p.upstream = &modelUpstream{id: p.upstream.id, born: p.upstream.born + 1, alive: true}
		}
		p.start()
	}
}

func (p *process) renew(now time.Time) {
	if now.Before(p.nextRenew) && !p.reg.ChangePending() {
		return
	}
	switch err := p.reg.Renew(context.Background()); {
	case err == nil:
		p.nextRenew = now.Add(sequoiaregistry.RenewInterval)
	case errors.Is(err, errNoResponse):
		p.nextRenew = now.Add(callTimeout)
	default:
		p.nextRenew = now.Add(sequoiaregistry.RegisterRetryDelay)
	}
}

func (p *process) poll(now time.Time) {
	if now.Before(p.nextPoll) {
		return
	}
	if p.is(faultSilentWatch) {
		p.nextPoll = now.Add(silentPoll)
		return
	}
	if err := p.watcher.Poll(context.Background()); errors.Is(err, errNoResponse) {
		p.nextPoll = now.Add(silentPoll)
	}
}

// exchange fetches a newer table from processes that can be reached and asks for promises.
func (p *process) exchange(now time.Time) {
	if !now.Before(p.nextFetch) {
		p.nextFetch = now.Add(500 * time.Millisecond)
		for _, q := range p.w.processes {
			t, revision := q.core.Table()
			if _, known := p.core.Table(); q != p && t != nil && p.reaches(q) && revision > known {
				p.core.SetTable(t, revision)
			}
		}
	}
	if p.core.NeedsPromises(now) && !now.Before(p.nextAsk) {
		p.nextAsk = now.Add(400 * time.Millisecond)
		p.askPromises(now)
	}
}

func (p *process) find(name string) *process { return p.w.processes[name[0]-'a'] }

func (p *process) grant(g sequoiaowner.Grant) {
	if f := p.fault(faultLateGrants); f != nil {
		p.upstream.late = append(p.upstream.late, lateGrant{p.w.now.Add(f.delay), g})
		p.core.GrantDone(p.w.now, g, false, false)
		return
	}
	ok, fenced := p.upstream.grant(g)
	p.core.GrantDone(p.w.now, g, ok, fenced)
}

// grant adds a range. The upstream's clock runs 2% slow.
func (u *modelUpstream) grant(g sequoiaowner.Grant) (ok, fenced bool) {
	if !u.alive {
		return false, false
	}
	until := g.Sent.Add(time.Duration(float64(g.Duration) * 1.02))
	for _, h := range u.held {
		if h.from <= g.Range.To && g.Range.From <= h.to && h.fence > g.Range.Fence {
			return false, true
		}
	}
	u.held = slices.DeleteFunc(u.held, func(h heldRange) bool { return h.until.Before(g.Sent.Add(-time.Minute)) })
	u.held = append(u.held, heldRange{g.Range.From, g.Range.To, g.Range.Fence, until})
	return true, false
}

func (u *modelUpstream) applyLate(now time.Time) {
	u.late = slices.DeleteFunc(u.late, func(l lateGrant) bool {
		if now.Before(l.at) {
			return false
		}
		u.grant(l.grant)
		return true
	})
}

func (u *modelUpstream) release(r sequoiaowner.Release) { u.held = withoutKeys(u.held, r.Range) }

// withoutKeys returns the held ranges without the keys of r.
func withoutKeys(held []heldRange, r sequoiakeyspace.Range) []heldRange {
	var left []heldRange
	for _, h := range held {
		if h.to < r.From || h.from > r.To {
			left = append(left, h)
			continue
		}
		if h.from < r.From {
			left = append(left, heldRange{h.from, r.From - 1, h.fence, h.until})
		}
		if h.to > r.To {
			left = append(left, heldRange{r.To + 1, h.to, h.fence, h.until})
		}
	}
	return left
}
