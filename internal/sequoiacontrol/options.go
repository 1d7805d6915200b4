package sequoiacontrol

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiaplacement"
	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

// Timings are the durations that the rules of the control protocol use.
type Timings struct {
	// Lease is what a witness counts from its answer. HolderLease is what the holder counts from the moment it sent
	// the renewal; it is shorter by the assumed clock drift of 1%.
	Lease         time.Duration
	HolderLease   time.Duration
	RenewInterval time.Duration
	// SuspectAfter is the silence after which a witness reports a holder, and a holder replaces a witness.
	SuspectAfter time.Duration
	// PlannerDelay is multiplied by a planner's position before it acts on a suspicion or a revocation.
	PlannerDelay time.Duration
	// SuspectBatch collects confirmed suspects into one entry.
	SuspectBatch time.Duration
	// JoinWait is how long a starting process waits for its upstream, which saves a second Join entry.
	JoinWait time.Duration
	// InitialWait is the time without a new eligible member before keys without an owner are assigned, and
	// InitialWaitLimit the longest such wait.
	InitialWait      time.Duration
	InitialWaitLimit time.Duration
	// StoreRetry is the interval at which an append with an unknown result, or a failed read, is repeated.
	StoreRetry time.Duration
	// Resend is the interval at which unanswered messages between processes are repeated.
	Resend time.Duration
	// CloseTimeout, MemoryTimeout and AssignTimeout bound the phases of a planned move. MemoryTimeout counts from the
	// last acknowledged part.
	CloseTimeout  time.Duration
	MemoryTimeout time.Duration
	AssignTimeout time.Duration
	// DrainTimeout bounds each of the waits for requests in progress in a drain: while keys move, and before the
	// process leaves. It is longer than the longest request that a process accepts, 60 s, so that none is interrupted.
	DrainTimeout time.Duration
	// DrainFirstTry is how long the first attempt to move a drain's keys keeps them closed. Later attempts move each
	// shard and hot key alone, so that a long request keeps no other key closed.
	DrainFirstTry time.Duration
	// NoTargetWait is how long a draining process serves on when no other member can take its keys. A departing
	// process has to refuse new work within 3 s.
	NoTargetWait time.Duration
	// DrainWithoutStore is how long a draining process serves keys that it cannot move because the store does not
	// answer. With the ticks and a last request on its way it keeps the bound of I6, 3 s without new work.
	DrainWithoutStore time.Duration
	// LeaveTimeout bounds the wait for the entry that ends a drain, which cannot be written while the store is down.
	LeaveTimeout time.Duration
	// CheckpointRetry separates attempts to write a checkpoint, by the writer and by each planner in turn.
	CheckpointRetry time.Duration
	// CommandTimeout bounds an operator's command.
	CommandTimeout  time.Duration
	BalanceInterval time.Duration
	// DirectReports is the longest interval of load reports to the planner itself; in a larger fleet relays pass them on.
	// It is shorter than the 30 s after which an idle control connection closes.
	DirectReports time.Duration
	// WithoutWitnesses is how long a member may have no witnesses before planners remove it. No witness would report
	// such a member, and it would keep its rank for good.
	WithoutWitnesses time.Duration
	// PauseAfter is the gap between two steps after which the process treats itself as paused and does not count the
	// gap as silence of others.
	PauseAfter time.Duration
}

// DefaultTimings returns the values of the design.
func DefaultTimings() Timings {
	return Timings{
		Lease:             time.Second,
		HolderLease:       990 * time.Millisecond,
		RenewInterval:     250 * time.Millisecond,
		SuspectAfter:      600 * time.Millisecond,
		PlannerDelay:      150 * time.Millisecond,
		SuspectBatch:      50 * time.Millisecond,
		JoinWait:          300 * time.Millisecond,
		InitialWait:       time.Second,
		InitialWaitLimit:  5 * time.Second,
		StoreRetry:        300 * time.Millisecond,
		Resend:            100 * time.Millisecond,
		CloseTimeout:      10 * time.Second,
		MemoryTimeout:     2 * time.Second,
		AssignTimeout:     2 * time.Second,
		DrainTimeout:      65 * time.Second,
		DrainFirstTry:     time.Second,
		NoTargetWait:      2 * time.Second,
		DrainWithoutStore: 2 * time.Second,
		LeaveTimeout:      5 * time.Second,
		CheckpointRetry:   10 * time.Second,
		CommandTimeout:    10 * time.Second,
		BalanceInterval:   5 * time.Second,
		DirectReports:     20 * time.Second,
		WithoutWitnesses:  30 * time.Second,
		PauseAfter:        300 * time.Millisecond,
	}
}

// Policy chooses owners.
type Policy struct {
	Place   func(in sequoiaplacement.Input, from sequoiatable.IncarnationID, shards []uint32, keys []string) []sequoiaplacement.Move
	Balance func(in sequoiaplacement.Input) []sequoiaplacement.Move
}

// TableCodec encodes tables for the Checkpoint message.
type TableCodec struct {
	Encode func(t *sequoiatable.Table) ([][]byte, error)
	Decode func(parts [][]byte) (*sequoiatable.Table, error)
}

type options struct {
	member    sequoiatable.Member
	contacts  []netip.AddrPort
	timings   Timings
	policy    Policy
	tuning    func(service string) sequoiaplacement.Tuning
	codec     TableCodec
	random    func() uint64
	authority func(c *Core) Authority
	removed   safeguards
	// checkpointInterval is the number of entries between checkpoints.
	checkpointInterval uint64
}

// Option sets one option of New.
type Option func(o *options)

// WithMember describes the process. Incarnation, Service and Slots are set by Core.
func WithMember(m sequoiatable.Member) Option {
	return func(o *options) { o.member = m }
}

// WithContacts lists control addresses of peers that are asked for the table while the store does not answer.
func WithContacts(addrs []netip.AddrPort) Option {
	return func(o *options) { o.contacts = addrs }
}

// WithTimings replaces DefaultTimings.
func WithTimings(t Timings) Option {
	return func(o *options) { o.timings = t }
}

// WithPolicy replaces the functions of sequoiaplacement.
func WithPolicy(p Policy) Option {
	return func(o *options) { o.policy = p }
}

// WithTuning sets the source of the balancing parameters in force; without it the defaults apply.
func WithTuning(f func(service string) sequoiaplacement.Tuning) Option {
	return func(o *options) { o.tuning = f }
}

// WithTableCodec enables Checkpoint messages. Without it a peer that lacks trimmed entries has to read the store.
func WithTableCodec(t TableCodec) Option {
	return func(o *options) { o.codec = t }
}

// WithRandom sets the source of incarnation identifiers and nonces.
func WithRandom(random func() uint64) Option {
	return func(o *options) { o.random = random }
}

// WithAuthority replaces the way in which leases are kept alive; the default is Witnesses.
func WithAuthority(a func(c *Core) Authority) Option {
	return func(o *options) { o.authority = a }
}

func defaultOptions() options {
	return options{
		timings:   DefaultTimings(),
		policy:    Policy{Place: sequoiaplacement.Place, Balance: sequoiaplacement.Balance},
		tuning:    func(string) sequoiaplacement.Tuning { return sequoiaplacement.Tuning{} },
		random:    rand.Uint64,
		authority: Witnesses,

		checkpointInterval: checkpointInterval,
	}
}
