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
	// Lease is the lease duration that a witness counts from its reply to a renewal. HolderLease is the duration that the
	// holder counts from sending the renewal. It is shorter to allow for a clock drift of 1%.
	Lease         time.Duration
	HolderLease   time.Duration
	RenewInterval time.Duration
	// SuspectAfter is the time without a renewal after which a witness reports a holder as silent, and the time without a
	// reply to renewals after which a holder replaces a witness.
	SuspectAfter time.Duration
	// PlannerDelay is how much longer each planner waits than the one before it until it acts on a suspicion or a
	// revocation.
	PlannerDelay time.Duration
	// SuspectBatchDelay is how long a confirmed suspect waits for others, so that one entry revokes them all.
	SuspectBatchDelay time.Duration
	// JoinWait is how long a starting process waits for its upstream before it joins, which avoids a second Join entry.
	JoinWait time.Duration
	// InitialWait is the time without a new eligible member before keys without an owner are assigned.
	// InitialWaitLimit is the maximum total wait.
	InitialWait      time.Duration
	InitialWaitLimit time.Duration
	// StoreRetryInterval is the interval at which a failed read or an append with an unknown result is retried.
	StoreRetryInterval time.Duration
	// ResendInterval is the interval at which unanswered messages between processes are sent again.
	ResendInterval time.Duration
	// CloseTimeout, MemoryTimeout and AssignTimeout limit the phases of a planned move. MemoryTimeout starts again with
	// each acknowledged part.
	CloseTimeout  time.Duration
	MemoryTimeout time.Duration
	AssignTimeout time.Duration
	// DrainTimeout limits each wait for requests in progress during a drain: while keys move, and before the process
	// leaves. It exceeds the longest request that a process accepts, 60 s, so that no request is interrupted.
	DrainTimeout time.Duration
	// DrainFirstTimeout limits how long the first attempt to move the keys of a drain keeps them closed. Later attempts
	// move each shard and hot key on its own, so that a long request keeps no other key closed.
	DrainFirstTimeout time.Duration
	// NoTargetWait is how long a draining process continues to serve when no other member can take its keys. A departing
	// process has to refuse new work within 3 s.
	NoTargetWait time.Duration
	// DrainWithoutStore is how long a draining process continues to serve keys that it cannot move because the store is
	// unavailable. It leaves room for ticks and a last request in transit within the 3 s after which a departing process
	// has to refuse new work.
	DrainWithoutStore time.Duration
	// LeaveTimeout limits the wait for the entry that ends a drain, which cannot be written while the store is down.
	LeaveTimeout time.Duration
	// CheckpointRetryInterval is the time between attempts to write a checkpoint, by the writer and by each planner in
	// turn.
	CheckpointRetryInterval time.Duration
	// CommandTimeout limits the duration of a command.
	CommandTimeout  time.Duration
	BalanceInterval time.Duration
	// DirectReportInterval is the longest interval at which load reports go directly to the planner; in a larger fleet
	// they go through relays. It is shorter than the 30 s after which an idle control connection closes.
	DirectReportInterval time.Duration
	// NoWitnessTimeout is how long a member may be without witnesses before planners remove it. No witness would report
	// the loss of such a member, and it would keep its rank forever.
	NoWitnessTimeout time.Duration
	// PauseThreshold is the gap between two steps above which the process considers itself to have been paused and does
	// not count the gap as silence of others.
	PauseThreshold time.Duration
}

// DefaultTimings returns the timings used in production.
func DefaultTimings() Timings {
	return Timings{
		Lease:                   time.Second,
		HolderLease:             990 * time.Millisecond,
		RenewInterval:           250 * time.Millisecond,
		SuspectAfter:            600 * time.Millisecond,
		PlannerDelay:            150 * time.Millisecond,
		SuspectBatchDelay:       50 * time.Millisecond,
		JoinWait:                300 * time.Millisecond,
		InitialWait:             time.Second,
		InitialWaitLimit:        5 * time.Second,
		StoreRetryInterval:      300 * time.Millisecond,
		ResendInterval:          100 * time.Millisecond,
		CloseTimeout:            10 * time.Second,
		MemoryTimeout:           2 * time.Second,
		AssignTimeout:           2 * time.Second,
		DrainTimeout:            65 * time.Second,
		DrainFirstTimeout:       time.Second,
		NoTargetWait:            2 * time.Second,
		DrainWithoutStore:       2 * time.Second,
		LeaveTimeout:            5 * time.Second,
		CheckpointRetryInterval: 10 * time.Second,
		CommandTimeout:          10 * time.Second,
		BalanceInterval:         5 * time.Second,
		DirectReportInterval:    20 * time.Second,
		NoWitnessTimeout:        30 * time.Second,
		PauseThreshold:          300 * time.Millisecond,
	}
}

// Policy chooses the owners of keys.
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
	disabled  disabledSafeguards
	// checkpointInterval is the number of entries between checkpoints.
	checkpointInterval uint64
}

// Option sets one option of New.
type Option func(o *options)

// WithMember sets the member record of the process. Core sets its Incarnation, Service and Slots.
func WithMember(m sequoiatable.Member) Option {
	return func(o *options) { o.member = m }
}

// WithContacts sets control addresses of peers that are asked for the table while the store is unavailable.
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

// WithTuning sets the source of the current balancing parameters of each service. Without it the defaults apply.
func WithTuning(f func(service string) sequoiaplacement.Tuning) Option {
	return func(o *options) { o.tuning = f }
}

// WithTableCodec enables Checkpoint messages. Without it a peer that lacks trimmed entries has to read the checkpoint
// from the store.
func WithTableCodec(t TableCodec) Option {
	return func(o *options) { o.codec = t }
}

// WithRandom sets the source of incarnation identifiers and nonces.
func WithRandom(random func() uint64) Option {
	return func(o *options) { o.random = random }
}

// WithAuthority sets the lease protocol. The default is Witnesses.
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
