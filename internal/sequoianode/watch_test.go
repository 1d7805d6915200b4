package sequoianode

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiafollow"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiafront"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoialog"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaowner"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiapeer"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaregistry"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiarouter"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatimer"
)

// The tests of this file run in synctest bubbles, whose clock jumps ahead when all goroutines wait: a fleet of hundreds of
// processes runs for minutes with the real wait times. Ginkgo's specs have no *testing.T to start a bubble from.

const (
	testConfigurationKey = "Configuration"
	// testRoundTrip is the time of a message between two processes and back, or of a call to the store.
	testRoundTrip = 3 * time.Millisecond
	// testSilence is the time after which the liveness check closes a connection to a silent process.
	testSilence = 6 * livenessInterval
)

// watchStore is a store of which only the watched items matter.
type watchStore struct {
	mu       sync.Mutex
	items    map[string]sequoiaregistry.Item
	events   []sequoiaregistry.Item
	written  map[uint64]time.Time
	revision uint64
	era      uint64
	changed  chan struct{}
	// lists and watches count the calls.
	lists, watches int
}

func newWatchStore() *watchStore {
	return &watchStore{
		items: map[string]sequoiaregistry.Item{}, written: map[uint64]time.Time{}, revision: 1, changed: make(chan struct{}),
	}
}

// put writes an item, or deletes it if the value is empty.
func (s *watchStore) put(key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it := sequoiaregistry.Item{Key: key, Value: []byte(value), Revision: sequoiaregistry.Revision(s.era, s.revision), Deleted: value == ""}
	s.events = append(s.events, it)
	s.written[it.Revision] = time.Now()
	s.items[key] = it
	if it.Deleted {
		delete(s.items, key)
	}
	s.notify()
}

func (s *watchStore) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// restore begins a new era with the items as they are, except that the revisions go back.
func (s *watchStore) restore(back uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision -= back
	s.events = nil
	items := map[string]sequoiaregistry.Item{}
	for key, it := range s.items {
		if r := sequoiaregistry.StoreRevision(it.Revision); r <= s.revision {
			it.Revision = sequoiaregistry.Revision(s.era, r)
			items[key] = it
			s.written[it.Revision] = time.Now()
		}
	}
	s.items = items
	s.notify()
}

func (s *watchStore) list(_ context.Context, prefix string) (items []sequoiaregistry.Item, revision uint64, _ error) {
	time.Sleep(testRoundTrip)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists++
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) {
			items = append(items, it)
		}
	}
	return items, sequoiaregistry.Revision(s.era, s.revision), nil
}

func (s *watchStore) watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]sequoiaregistry.Item, uint64, error) {
	end := time.NewTimer(wait)
	defer end.Stop()
	time.Sleep(testRoundTrip)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watches++
	for ended := false; ; {
		if sequoiaregistry.Era(after) != s.era {
			return nil, 0, sequoiaregistry.ErrCompacted
		}
		var items []sequoiaregistry.Item
		for _, it := range s.events {
			if it.Revision > after && strings.HasPrefix(it.Key, prefix) {
				items = append(items, it)
			}
		}
		if len(items) > 0 || ended {
			return items, sequoiaregistry.Revision(s.era, s.revision), nil
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-end.C:
			ended = true
		case <-ctx.Done():
			s.mu.Lock()
			return nil, 0, ctx.Err()
		}
		s.mu.Lock()
	}
}

// watchFault is how a process of a watchFleet behaves towards the others.
type watchFault int

const (
	working watchFault = iota
	// dead processes refuse connections.
	dead
	// frozen processes answer nothing, not even the liveness checks.
	frozen
	// hanging processes answer the liveness checks but no messages.
	hanging
	// olderBuild processes do not know the message.
	olderBuild
)

// watchProcess is a process that watches the members and the configuration.
type watchProcess struct {
	shared   *sharedWatches
	watchers map[string]*sequoiaregistry.Watcher
	// clock is the difference of the process's clock at the start of the fleet, and drift that of its speed.
	clock time.Duration
	drift float64
	began time.Time

	mu sync.Mutex
	// fault is how the process behaves towards others, and broken is closed when it can no longer answer them.
	fault  watchFault
	broken chan struct{}
	// storeLost makes the store refuse the process. Calls to the store that began before storeSilent get no answer.
	storeLost   bool
	storeSilent time.Time
	// resumed, if set, is what the process's watches wait for after the next change.
	resumed <-chan struct{}
	state   map[string]sequoiaregistry.Item
	learned map[string]time.Time
}

func (p *watchProcess) with(f func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f()
}

func (p *watchProcess) now() time.Time { return p.at(time.Now()) }

// at returns a time as the process's clock shows it.
func (p *watchProcess) at(t time.Time) time.Time {
	return t.Add(p.clock + time.Duration(p.drift*float64(t.Sub(p.began))))
}

func (p *watchProcess) setFault(fault watchFault) {
	p.with(func() {
		p.fault = fault
		if fault != olderBuild {
			close(p.broken)
		}
	})
}

// heal ends all faults of the process.
func (p *watchProcess) heal() {
	p.with(func() {
		if p.fault != working && p.fault != olderBuild {
			p.broken = make(chan struct{})
		}
		p.fault, p.storeLost = working, false
	})
}

// watchFleet is a fleet of processes that watch the store. Each failure domain has a fourth of them.
type watchFleet struct {
	t         *testing.T
	store     *watchStore
	names     []string
	processes map[string]*watchProcess
	cancel    context.CancelFunc
	running   sync.WaitGroup
	log       *sequoialog.Events

	mu       sync.Mutex
	excluded map[string]bool
}

// newWatchFleet starts a fleet of n processes. If direct is true, all of them ask the store.
func newWatchFleet(t *testing.T, n int, direct bool) *watchFleet {
	ctx, cancel := context.WithCancel(t.Context())
	timers := sequoiatimer.New()
	f := &watchFleet{
		t: t, store: newWatchStore(), processes: map[string]*watchProcess{}, cancel: cancel,
		log: sequoialog.NewEvents(io.Discard, timers), excluded: map[string]bool{},
	}
	f.store.put(testConfigurationKey, "0")
	for i := range n {
		name := fmt.Sprintf("node-%d", i)
		f.names = append(f.names, name)
		f.store.put(memberPrefix+name, "0")
	}
	for i, name := range f.names {
		f.processes[name] = f.newProcess(name, i, direct)
	}
	for _, name := range f.names {
		for _, w := range f.processes[name].watchers {
			f.running.Go(func() { w.Run(ctx) })
		}
	}
	t.Cleanup(func() {
		cancel()
		f.running.Wait()
		f.log.Close()
		timers.Close()
	})
	return f
}

// domainOf returns the failure domain of the i-th process.
func domainOf(i int) string { return fmt.Sprintf("zone-%d", i%4) }

func (f *watchFleet) members() (members []sequoiafollow.Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, name := range f.names {
		members = append(members, sequoiafollow.Member{Instance: name, Domain: domainOf(i), Excluded: f.excluded[name]})
	}
	return members
}

func (f *watchFleet) newProcess(name string, i int, direct bool) *watchProcess {
	p := &watchProcess{
		clock: time.Duration(i) * time.Hour, drift: 0.01 * float64(i%3-1), began: time.Now(), state: map[string]sequoiaregistry.Item{}, learned: map[string]time.Time{},
		watchers: map[string]*sequoiaregistry.Watcher{}, broken: make(chan struct{}),
	}
	p.shared = &sharedWatches{
		log: f.log, metrics: newMetrics(&Node{front: sequoiafront.New(1)}), now: p.now, members: f.members, send: f.send(),
		choice: sequoiafollow.NewChoice(name, domainOf(i)), hubs: map[string]*sharedHub{},
		direct: sequoiaregistry.Store{List: p.listFrom(f.store), Watch: p.watchFrom(f.store)},
	}
	if direct {
		p.shared.members = func() []sequoiafollow.Member { return nil }
	}
	questionWaits := map[string]time.Duration{memberPrefix: memberQuestionWait, testConfigurationKey: configurationQuestionWait}
	pause := min(maxWatchPause, time.Duration(len(f.names))*watchPausePerMember)
	for prefix, wait := range map[string]time.Duration{memberPrefix: memberWatchTimeout, testConfigurationKey: configurationWatchTimeout} {
		w := p.shared.add(prefix, questionWaits[prefix])
		p.watchers[prefix] = &sequoiaregistry.Watcher{
			Store: w.store(), Prefix: prefix, Wait: wait, CallLimit: watchCallLimit(wait), Now: p.now, OnError: func(error) {},
			OnItems: p.apply, OnListed: p.applyList(prefix), OnCurrent: func(time.Time) { f.checkView(p, w) },
		}
		if prefix == memberPrefix {
			p.watchers[prefix].BatchDelay = func() time.Duration { return w.batchDelay(pause) }
		}
	}
	return p
}

func (p *watchProcess) apply(items []sequoiaregistry.Item) {
	var resumed <-chan struct{}
	p.with(func() {
		resumed = p.resumed
		for _, it := range items {
			p.state[it.Key] = it
			if it.Deleted {
				delete(p.state, it.Key)
			}
			p.learned[it.Key+string(it.Value)] = time.Now()
		}
	})
	if resumed != nil {
		<-resumed
	}
}

func (p *watchProcess) applyList(prefix string) func(items []sequoiaregistry.Item, _ uint64) {
	return func(items []sequoiaregistry.Item, _ uint64) {
		p.with(func() {
			maps.DeleteFunc(p.state, func(key string, _ sequoiaregistry.Item) bool { return strings.HasPrefix(key, prefix) })
		})
		p.apply(items)
	}
}

// checkView fails if a view claims to be complete up to a time but lacks an earlier change.
func (f *watchFleet) checkView(p *watchProcess, w *storeWatch) {
	asOf, ok := w.currentAsOf()
	if !ok {
		return
	}
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, it := range f.store.items {
		at := p.at(f.store.written[it.Revision])
		if strings.HasPrefix(key, w.prefix) && at.Before(asOf) && p.state[key].Revision < it.Revision {
			f.t.Errorf("a view as of %v lacks revision %d of %v", asOf, it.Revision, at)
		}
	}
}

// reach makes a call to the store that began at the given time fail if the process has lost it, and hang if its connection
// has become silent since.
func (p *watchProcess) reach(ctx context.Context, began time.Time) error {
	var silent, lost bool
	p.with(func() { silent, lost = began.Before(p.storeSilent), p.storeLost })
	if silent {
		<-ctx.Done()
		return ctx.Err()
	}
	if lost {
		return sequoiaregistry.ErrRefused
	}
	return nil
}

func (p *watchProcess) listFrom(s *watchStore) func(ctx context.Context, prefix string) ([]sequoiaregistry.Item, uint64, error) {
	return func(ctx context.Context, prefix string) ([]sequoiaregistry.Item, uint64, error) {
		ctx, cancel := context.WithTimeout(ctx, sequoiaregistry.CallTimeout)
		defer cancel()
		items, revision, err := s.list(ctx, prefix)
		if lost := p.reach(ctx, time.Now()); lost != nil {
			return nil, 0, lost
		}
		return items, revision, err
	}
}

func (p *watchProcess) watchFrom(s *watchStore) func(
	ctx context.Context, prefix string, after uint64, wait time.Duration,
) ([]sequoiaregistry.Item, uint64, error) {
	return func(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]sequoiaregistry.Item, uint64, error) {
		began := time.Now()
		if err := p.reach(ctx, began); err != nil {
			time.Sleep(testRoundTrip)
			return nil, 0, err
		}
		items, revision, err := s.watch(ctx, prefix, after, wait)
		if lost := p.reach(ctx, began); lost != nil {
			return nil, 0, lost
		}
		return items, revision, err
	}
}

// send returns the function with which processes send messages to each other.
func (f *watchFleet) send() func(
	ctx context.Context, instance string, timeout time.Duration, req *sequoiarouter.Request,
) (*sequoiarouter.Response, error) {
	return func(ctx context.Context, instance string, timeout time.Duration, req *sequoiarouter.Request) (*sequoiarouter.Response, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		to := f.processes[instance]
		time.Sleep(testRoundTrip / 2)
		var fault watchFault
		var broken chan struct{}
		to.with(func() { fault, broken = to.fault, to.broken })
		resp := notRunResponse(reasonBadRequest, 0)
		if fault != olderBuild {
			answered := make(chan *sequoiarouter.Response, 1)
			go func() { answered <- to.shared.serve(ctx, req) }()
			select {
			case <-broken:
				return nil, to.awaitEnd(ctx)
			case resp = <-answered:
			}
			select {
			case <-broken:
				return nil, to.awaitEnd(ctx)
			default:
			}
		}
		time.Sleep(testRoundTrip / 2)
		if resp.Outcome != sequoiarouter.Answered {
			return resp, errors.Wrap(errMessageNotHandled, resp.Reason)
		}
		return resp, nil
	}
}

// awaitEnd waits until a request to a process that can no longer answer ends: at once if it is dead, when the liveness
// check closes the connection if it is frozen, and with the timeout of the request if it hangs.
func (p *watchProcess) awaitEnd(ctx context.Context) error {
	fault := working
	p.with(func() { fault = p.fault })
	switch fault {
	case dead:
	case frozen:
		_ = sequoiatimer.Sleep(ctx, testSilence)
	default:
		<-ctx.Done()
	}
	return sequoiapeer.ErrUnknown
}

// calls returns the number of calls to the store since the last call of this method.
func (f *watchFleet) calls() int {
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	n := f.store.lists + f.store.watches
	f.store.lists, f.store.watches = 0, 0
	return n
}

// followers returns whom each process asks.
func (f *watchFleet) followers() map[string]string {
	targets := map[string]string{}
	for _, name := range f.names {
		s := f.processes[name].shared
		s.mu.Lock()
		targets[name] = s.following
		s.mu.Unlock()
	}
	return targets
}

// slowest returns the longest time that a process took to learn of a change, and fails if one has not learned it.
func (f *watchFleet) slowest(g *WithT, change string, written time.Time) time.Duration {
	longest := time.Duration(0)
	for _, name := range f.names {
		p := f.processes[name]
		learned, ok := time.Time{}, false
		p.with(func() { learned, ok = p.learned[change] })
		g.Expect(ok).To(BeTrue(), "%s has not learned of %s", name, change)
		longest = max(longest, learned.Sub(written))
	}
	return longest
}

// changeMembers changes members at random for a time, about once in each interval.
func (f *watchFleet) changeMembers(r *rand.Rand, duration, interval time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); {
		time.Sleep(time.Duration(r.Int64N(2 * int64(interval))))
		f.store.put(memberPrefix+f.names[r.IntN(len(f.names))], fmt.Sprint(r.Uint64()))
	}
}

// Guards against followers that cost more calls than they save, and counts the calls of a calm fleet. A renewal of a lease
// costs a tenth of a call and each process makes one a second, so 0.1 is left out here of the wanted 0.3 and 0.15.
func TestStoreCallsOfACalmFleet(t *testing.T) {
	for _, fleet := range []struct {
		members  int
		interval time.Duration
		want     float64
	}{{70, 1200 * time.Millisecond, 0.2}, {295, time.Second, 0.05}} {
		perProcess := map[bool]float64{}
		for _, direct := range []bool{true, false} {
			// Larger fleets are watched for a shorter time.
			synctest.Test(t, func(t *testing.T) {
				span := 3 * time.Hour / time.Duration(fleet.members)
				f := newWatchFleet(t, fleet.members, direct)
				r := rand.New(rand.NewPCG(1, 2))
				f.changeMembers(r, 20*time.Second, fleet.interval)
				f.calls()
				f.changeMembers(r, span, fleet.interval)
				perProcess[direct] = float64(f.calls()) / span.Seconds() / float64(fleet.members)
				f.cancel()
				f.running.Wait()
			})
		}
		t.Logf("%d members: %.3f calls per second and process directly, %.3f with followers", fleet.members, perProcess[true], perProcess[false])
		if perProcess[false] > fleet.want {
			t.Errorf("%d members: %.3f calls per second and process, want at most %.2f", fleet.members, perProcess[false], fleet.want)
		}
	}
}

// busiest returns the process that most others ask.
func (f *watchFleet) busiest(g *WithT) (string, *watchProcess) {
	load := map[string]int{}
	for _, target := range f.followers() {
		if target != "" {
			load[target]++
		}
	}
	best := ""
	for target, n := range load {
		if n > load[best] || n == load[best] && target < best {
			best = target
		}
	}
	g.Expect(best).NotTo(BeEmpty())
	return best, f.processes[best]
}

// exclude makes all processes leave a member out, as one that is stopping.
func (f *watchFleet) exclude(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.excluded[name] = true
}

// expectSameState fails if the view of a process differs from the store.
func (f *watchFleet) expectSameState(g *WithT) {
	f.store.mu.Lock()
	want := maps.Clone(f.store.items)
	f.store.mu.Unlock()
	for _, name := range f.names {
		p := f.processes[name]
		p.with(func() { g.Expect(p.state).To(Equal(want), name) })
	}
}

// followerFault is a fault of a process that others follow.
type followerFault struct {
	name string
	fail func(f *watchFleet, name string, p *watchProcess)
	// configuration and member limit the time until all processes know a change after the fault.
	configuration, member time.Duration
}

// configurationBound is the time within which a configuration must be in force everywhere while the store is up.
const configurationBound = 2500 * time.Millisecond

var followerFaults = []followerFault{
	{"none", func(*watchFleet, string, *watchProcess) {}, 100 * time.Millisecond, time.Second},
	{"dead", func(_ *watchFleet, _ string, p *watchProcess) { p.setFault(dead) }, configurationBound, time.Second},
	{"frozen", func(_ *watchFleet, _ string, p *watchProcess) { p.setFault(frozen) }, configurationBound, 2 * time.Second},
	{"hangs", func(_ *watchFleet, _ string, p *watchProcess) { p.setFault(hanging) }, configurationBound, 5 * time.Second},
	{"replaced by an older build", func(_ *watchFleet, _ string, p *watchProcess) { p.setFault(olderBuild) }, configurationBound, time.Second},
	{"lost the store", func(_ *watchFleet, _ string, p *watchProcess) { p.with(func() { p.storeLost = true }) }, configurationBound, time.Second},
	{"stopping", func(f *watchFleet, name string, p *watchProcess) {
		p.shared.stop()
		f.exclude(name)
	}, 100 * time.Millisecond, time.Second},
	// Its calls to the store get no answer. The renewal of its lease notices that after 1.8 s at the latest.
	{"cut off from the store", func(_ *watchFleet, _ string, p *watchProcess) {
		p.with(func() { p.storeSilent, p.storeLost = time.Now().Add(10*time.Second), true })
		time.AfterFunc(sequoiaregistry.RenewInterval+sequoiaregistry.CallTimeout, p.shared.lose)
	}, configurationBound, 3 * time.Second},
	// Processes whose own connection to the store is silent learn of a change within the wait of a watch and its grace. Those
	// that follow them learn of it as late. For the configuration this is the bound without the messages that processes send
	// each other; see the test below.
	{"silent connection to the store", func(_ *watchFleet, _ string, p *watchProcess) {
		p.with(func() { p.storeSilent = time.Now() })
	}, configurationWatchTimeout + sequoiaregistry.WatchGrace + 100*time.Millisecond, memberWatchTimeout + sequoiaregistry.WatchGrace + time.Second},
	// Its watches neither end nor go on.
	{"blocked", func(f *watchFleet, _ string, p *watchProcess) {
		resumed := make(chan struct{})
		p.with(func() { p.resumed = resumed })
		time.AfterFunc(14*time.Second, func() { close(resumed) })
		f.store.put(testConfigurationKey, "0.5")
		f.store.put(memberPrefix+f.names[4], "before")
		time.Sleep(time.Second)
	}, configurationWatchTimeout + watchSlack + 100*time.Millisecond, memberWatchTimeout + watchSlack + time.Second},
	{"restored store", func(f *watchFleet, _ string, _ *watchProcess) { f.store.restore(5) }, configurationBound, time.Second},
}

// Guards against changes that arrive late, or not at all, because a follower cannot answer.
func TestFaultsOfFollowers(t *testing.T) {
	for _, fault := range followerFaults {
		for _, delay := range []time.Duration{0, 700 * time.Millisecond, 3100 * time.Millisecond, 5900 * time.Millisecond} {
			t.Run(fmt.Sprintf("%s, change after %v", fault.name, delay), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					g := NewWithT(t)
					f := newWatchFleet(t, 48, false)
					f.changeMembers(rand.New(rand.NewPCG(3, 4)), 20*time.Second, time.Second)
					name, p := f.busiest(g)
					fault.fail(f, name, p)
					time.Sleep(delay)
					written := time.Now()
					f.store.put(testConfigurationKey, "1")
					f.store.put(memberPrefix+f.names[5], "changed")
					time.Sleep(15 * time.Second)
					if p.storeLost || p.resumed != nil {
						// The process itself learns of the changes later.
						p.with(func() { p.storeLost = false })
						time.Sleep(time.Second)
						p.with(func() {
							p.learned[testConfigurationKey+"1"] = written
							p.learned[memberPrefix+f.names[5]+"changed"] = written
						})
					}
					configuration, member := f.slowest(g, testConfigurationKey+"1", written), f.slowest(g, memberPrefix+f.names[5]+"changed", written)
					t.Logf("configuration after %v, member after %v", configuration, member)
					g.Expect(configuration).To(BeNumerically("<=", fault.configuration))
					g.Expect(member).To(BeNumerically("<=", fault.member))
					f.expectSameState(g)
					f.cancel()
					f.running.Wait()
				})
			})
		}
	}
}

// Guards against a configuration that is late at all processes that follow one whose connection to the store is silent,
// although that one has learned of it from another process.
func TestConfigurationThroughAFollowerWithASilentConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f := newWatchFleet(t, 48, false)
		time.Sleep(20 * time.Second)
		_, p := f.busiest(g)
		p.with(func() { p.storeSilent = time.Now() })
		written := time.Now()
		f.store.put(testConfigurationKey, "1")
		time.Sleep(400 * time.Millisecond)
		p.shared.onLate(testConfigurationKey, p.watchers[testConfigurationKey].Refresh)
		f.store.mu.Lock()
		revision := f.store.items[testConfigurationKey].Revision
		f.store.mu.Unlock()
		p.shared.refreshLate(testConfigurationKey, revision)
		time.Sleep(10 * time.Second)
		g.Expect(f.slowest(g, testConfigurationKey+"1", written)).To(BeNumerically("<", 500*time.Millisecond))
		f.cancel()
		f.running.Wait()
	})
}

// randomFault makes a process fail, or the store be restored, at random.
func (f *watchFleet) randomFault(r *rand.Rand) {
	name := f.names[r.IntN(len(f.names))]
	p := f.processes[name]
	switch r.IntN(8) {
	case 0:
		p.heal()
		p.setFault([]watchFault{dead, frozen, hanging, olderBuild}[r.IntN(4)])
	case 1:
		p.with(func() { p.storeLost = true })
	case 2:
		p.with(func() { p.storeSilent = time.Now() })
	case 3:
		p.shared.lose()
	case 4:
		p.watchers[[]string{memberPrefix, testConfigurationKey}[r.IntN(2)]].Refresh()
	case 5:
		f.mu.Lock()
		f.excluded[name] = !f.excluded[name]
		f.mu.Unlock()
	case 6:
		if r.IntN(4) == 0 {
			f.store.restore(uint64(r.IntN(5)))
		}
	default:
		p.heal()
	}
}

// Guards against views that differ from the store, or claim to be complete although they lack a change, after faults of
// several processes at once. The clocks of the processes differ, and one runs up to 2% faster than another.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				f := newWatchFleet(t, 40, false)
				r := rand.New(rand.NewPCG(seed, 5))
				for range 150 {
					time.Sleep(time.Duration(r.Int64N(int64(900 * time.Millisecond))))
					switch r.IntN(4) {
					case 0:
						f.randomFault(r)
					case 1:
						f.store.put(testConfigurationKey, fmt.Sprint(r.Uint64()))
					case 2:
						f.store.put(memberPrefix+f.names[r.IntN(len(f.names))], "")
					default:
						f.store.put(memberPrefix+f.names[r.IntN(len(f.names))], fmt.Sprint(r.Uint64()))
					}
				}
				for _, p := range f.processes {
					p.heal()
				}
				f.store.put(testConfigurationKey, "last")
				f.store.put(memberPrefix+f.names[0], "last")
				time.Sleep(memberWatchTimeout + sequoiaregistry.WatchGrace + 2*time.Second)
				f.expectSameState(g)
				f.cancel()
				f.running.Wait()
			})
		})
	}
}

// newFollower starts a Node that watches the members up to a revision, and returns it with its address.
func newFollower(revision uint64) (*Node, netip.AddrPort) {
	ginkgo.GinkgoHelper()
	n := newForwardingNode()
	n.watches.add(memberPrefix, memberQuestionWait)
	n.watches.updateHub(memberPrefix, func(h *sequoiafollow.Hub) { h.Begin(revision) })
	addr := freeAddress()
	listenAsPeer(addr, func(req *sequoiarouter.Request) *sequoiarouter.Response {
		return n.serveForwarded(context.Background(), req)
	})
	return n, addr
}

// newAsker returns a Node that knows another process b at an address.
func newAsker(addr netip.AddrPort) *Node {
	ginkgo.GinkgoHelper()
	n := newForwardingNode()
	n.directory.setMembers(map[string]sequoiaowner.Member{"b": {Instance: "b", Address: addr}})
	return n
}

var _ = ginkgo.Describe("a watch that another process answers", func() {
	revision := sequoiaregistry.Revision(3, 70)
	items := []sequoiaregistry.Item{
		{Key: memberPrefix + "a", Value: []byte{0, 255}, Revision: revision + 1, Lease: 9},
		{Key: memberPrefix + "b", Revision: revision + 2, Deleted: true},
	}
	question := watchQuestion{Prefix: memberPrefix, After: revision, Wait: 2 * time.Second}
	ask := func(n *Node, q watchQuestion) (sequoiafollow.Answer, error) {
		return n.watches.ask(context.Background(), "b", q)
	}

	// Guards against items that another process gets otherwise than the store has them, and against a question that is
	// answered only when its wait ends.
	ginkgo.It("has the items as the store has them, once there are any", func() {
		follower, addr := newFollower(revision)
		go func() {
			time.Sleep(50 * time.Millisecond)
			follower.watches.updateHub(memberPrefix, func(h *sequoiafollow.Hub) {
				h.Record(revision, items, revision+5, sequoiatimer.BootTime().Add(-time.Minute))
			})
		}()
		began := time.Now()
		answer, err := ask(newAsker(addr), question)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer.Items).To(Equal(items))
		Expect(answer.Revision).To(Equal(revision + 5))
		Expect(answer.Confirmed).To(BeTrue())
		Expect(answer.Age).To(BeNumerically("~", time.Minute, time.Second))
		Expect(time.Since(began)).To(BeNumerically("<", time.Second))
	})

	ginkgo.It("is empty once the wait is over", func() {
		_, addr := newFollower(revision)
		short := question
		short.Wait = 50 * time.Millisecond
		answer, err := ask(newAsker(addr), short)
		Expect(err).NotTo(HaveOccurred())
		Expect(answer).To(Equal(sequoiafollow.Answer{Revision: revision}))
	})

	// Guards against a process that waits for one that cannot answer.
	ginkgo.DescribeTable("has a reason if there is no answer",
		func(prepare func(follower *Node), q watchQuestion, want sequoiafollow.Reason) {
			follower, addr := newFollower(revision)
			prepare(follower)
			began := time.Now()
			_, err := ask(newAsker(addr), q)
			Expect(err).To(MatchError(errNoAnswer{want}))
			Expect(time.Since(began)).To(BeNumerically("<", time.Second))
		},
		ginkgo.Entry("lost store", func(n *Node) {
			n.watches.updateHub(memberPrefix, func(h *sequoiafollow.Hub) { h.Lose() })
		}, question, sequoiafollow.ReasonLostStore),
		ginkgo.Entry("not following", func(n *Node) {
			n.watches.updateHub(memberPrefix, func(h *sequoiafollow.Hub) { h.Stop() })
		}, question, sequoiafollow.ReasonNotFollowing),
		ginkgo.Entry("another era", func(*Node) {},
			watchQuestion{Prefix: memberPrefix, After: sequoiaregistry.Revision(4, 70), Wait: time.Second}, sequoiafollow.ReasonNotCovered),
		ginkgo.Entry("a prefix that is not watched", func(*Node) {},
			watchQuestion{Prefix: "other", After: revision, Wait: time.Second}, sequoiafollow.ReasonNotFollowing),
		ginkgo.Entry("stopping before the question", func(n *Node) { n.watches.stop() }, question, sequoiafollow.ReasonStopping),
		ginkgo.Entry("stopping while the question waits", func(n *Node) {
			time.AfterFunc(100*time.Millisecond, n.watches.stop)
		}, question, sequoiafollow.ReasonStopping),
	)

	// Guards against a follower whose link is full of a large change while requests wait behind it.
	ginkgo.It("is refused if many large ones were sent", func() {
		follower, addr := newFollower(revision)
		large := items[0]
		large.Value = make([]byte, 30<<10)
		follower.watches.updateHub(memberPrefix, func(h *sequoiafollow.Hub) {
			h.Record(revision, []sequoiaregistry.Item{large}, revision+5, sequoiatimer.BootTime())
		})
		asker := newAsker(addr)
		answered, refused := 0, 0
		for range 12 {
			if _, err := ask(asker, question); err == nil {
				answered++
			} else {
				Expect(err).To(MatchError(errNoAnswer{sequoiafollow.ReasonBusy}))
				refused++
			}
		}
		Expect(answered).To(BeNumerically(">=", 2))
		Expect(refused).To(BeNumerically(">=", 6))
	})

	ginkgo.DescribeTable("has a reason if the other process does not answer it as a watch",
		func(serve func(*sequoiarouter.Request) *sequoiarouter.Response, want sequoiafollow.Reason) {
			addr := freeAddress()
			listenAsPeer(addr, serve)
			short := question
			short.Wait = 50 * time.Millisecond
			_, err := ask(newAsker(addr), short)
			Expect(err).To(MatchError(errNoAnswer{want}))
		},
		ginkgo.Entry("an older build", func(*sequoiarouter.Request) *sequoiarouter.Response {
			return notRunResponse(reasonBadRequest, 0)
		}, sequoiafollow.ReasonUnsupported),
		ginkgo.Entry("one that hangs", func(*sequoiarouter.Request) *sequoiarouter.Response {
			time.Sleep(time.Second)
			return okResponse(nil, nil)
		}, sequoiafollow.ReasonSilent),
		ginkgo.Entry("one that answers something else", func(*sequoiarouter.Request) *sequoiarouter.Response {
			return okResponse([]byte("?"), nil)
		}, sequoiafollow.ReasonMalformed),
	)

	// Guards against a view that mixes eras of the store or takes a change twice.
	ginkgo.DescribeTable("is rejected if it does not fit the question",
		func(a sequoiafollow.Answer) {
			b, err := encodeAnswer(a)
			Expect(err).NotTo(HaveOccurred())
			_, ok := decodeAnswer(b, question)
			Expect(ok).To(BeFalse())
		},
		ginkgo.Entry("earlier revision", sequoiafollow.Answer{Revision: revision - 1}),
		ginkgo.Entry("another era", sequoiafollow.Answer{Revision: sequoiaregistry.Revision(4, 71)}),
		ginkgo.Entry("an item that was known", sequoiafollow.Answer{
			Revision: revision + 1, Items: []sequoiaregistry.Item{{Key: memberPrefix + "a", Revision: revision}},
		}),
		ginkgo.Entry("an item after the revision", sequoiafollow.Answer{
			Revision: revision + 1, Items: []sequoiaregistry.Item{{Key: memberPrefix + "a", Revision: revision + 2}},
		}),
		ginkgo.Entry("an item of another prefix", sequoiafollow.Answer{
			Revision: revision + 1, Items: []sequoiaregistry.Item{{Key: "other", Revision: revision + 1}},
		}),
	)

	// Guards against followers that are about to end, that get no messages, or that do not know the question.
	ginkgo.It("is not asked of members that are unreachable, leaving, stopping or of an older build", func() {
		members := map[string]sequoiaowner.Member{}
		for name, change := range map[string]func(m *sequoiaowner.Member){
			"good": func(*sequoiaowner.Member) {}, "unreachable": func(*sequoiaowner.Member) {},
			"leaving":  func(m *sequoiaowner.Member) { m.Upstream.Leaving = true },
			"stopping": func(m *sequoiaowner.Member) { m.Upstream.Lost = true },
			"older":    func(m *sequoiaowner.Member) { m.Protocol = 0 },
		} {
			m := member(name, "zone")
			m.Protocol = sequoiarouter.ProtocolVersion
			change(&m)
			members[name] = m
		}
		d := directoryOf("good", members)
		Expect(d.markUnreachable("unreachable")).To(BeTrue())
		excluded := map[string]bool{}
		for _, m := range d.watchMembers() {
			excluded[m.Instance] = m.Excluded
		}
		Expect(excluded).To(Equal(map[string]bool{"good": false, "unreachable": true, "leaving": true, "stopping": true, "older": true}))
	})
})
