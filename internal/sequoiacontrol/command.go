package sequoiacontrol

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

// releaseResend is the interval at which an operator's move is asked of the owner again.
const releaseResend = time.Second

// command is an operator's command that has not been answered.
type command struct {
	Command
	since    time.Time
	sentAt   time.Time
	answered bool
	// alive is set when a member whose loss is to be confirmed turns out to be alive.
	alive bool
}

// drainState is a planned stop of this process.
type drainState struct {
	command  *command
	reason   string
	since    time.Time
	closeAll uint64
	closedAt time.Time
	// targetSeen is when another member could last take keys.
	targetSeen time.Time
	// leave is set when nothing is in progress any more.
	leave   bool
	leaveAt time.Time
	stopped bool
}

// stopping reports whether the process is leaving for good.
func (c *Core) stopping() bool {
	return c.drain != nil && c.drain.leave
}

func (c *Core) stopped() bool {
	return c.drain != nil && c.drain.stopped
}

func (c *Core) command(ev Command) {
	cmd := &command{Command: ev, since: c.now}
	if ev.Configure != nil && c.opt.disabled.staleConfigurationBase {
		ev.Configure.Base = c.table.Configuration.Revision
	}
	switch {
	case ev.Configure != nil, ev.Move != nil:
		c.commands = append(c.commands, cmd)
	case ev.ConfirmLoss != nil:
		if c.table.Member(ev.ConfirmLoss.Incarnation) == nil || c.isSelf(ev.ConfirmLoss.Incarnation) {
			c.reply(cmd, sequoiatable.ErrNotMember)
			return
		}
		c.commands = append(c.commands, cmd)
	case ev.Drain != nil:
		if c.drain != nil {
			c.reply(cmd, errors.New("the process is already draining"))
			return
		}
		c.drain = &drainState{command: cmd, reason: ev.Drain.Reason, since: c.now, targetSeen: c.now}
		c.joinAfter = c.now
	default:
		c.reply(cmd, errors.New("the command is empty"))
	}
}

func (c *Core) reply(cmd *command, err error) {
	if cmd.answered {
		return
	}
	cmd.answered = true
	c.emit(Reply{ID: cmd.ID, Index: c.table.Index, Err: err})
}

func (c *Core) advanceCommands() {
	for _, cmd := range c.commands {
		switch {
		case cmd.Configure != nil:
			c.advanceConfigure(cmd)
		case cmd.Move != nil:
			c.advanceMoveCommand(cmd)
		case cmd.ConfirmLoss != nil:
			c.advanceConfirmLoss(cmd)
		}
	}
	c.commands = slices.DeleteFunc(c.commands, func(cmd *command) bool { return cmd.answered })
}

// advanceConfigure refuses a document that was based on an older revision; revisions never decrease, so the table's
// answer is final.
func (c *Core) advanceConfigure(cmd *command) {
	if c.configurePending(cmd) {
		if c.now.Sub(cmd.since) >= c.opt.timings.CommandTimeout {
			c.reply(cmd, ErrResultUnknown)
		}
		return
	}
	if rev := c.table.Configuration.Revision; rev > cmd.Configure.Base {
		c.configured(cmd, errors.Wrapf(sequoiatable.ErrStaleConfiguration, "base %d, in force %d", cmd.Configure.Base, rev))
		return
	}
	if c.now.Sub(cmd.since) >= c.opt.timings.CommandTimeout {
		c.reply(cmd, ErrTimeout)
	}
}

func (c *Core) configurePending(cmd *command) bool {
	p := c.pending
	return p != nil && slices.ContainsFunc(p.origins, func(o origin) bool { return o.configure == cmd })
}

// configured answers with the revision in force, which is the winner's if the command was refused.
func (c *Core) configured(cmd *command, err error) {
	if cmd.answered {
		return
	}
	cmd.answered = true
	c.emit(Reply{ID: cmd.ID, Index: c.table.Configuration.Revision, Err: err})
}

func (c *Core) wantConfiguration(b *batch) {
	for _, cmd := range c.commands {
		if cmd.Configure != nil && !cmd.answered {
			b.add(sequoiatable.Change{SetConfiguration: cmd.Configure}, origin{configure: cmd})
		}
	}
}

// advanceMoveCommand asks the owners until the table names the target for all keys.
func (c *Core) advanceMoveCommand(cmd *command) {
	r := cmd.Move
	target := c.liveMember(r.To)
	owners := r.Keys.owners(c.table)
	switch {
	case len(owners) == 1 && owners[0] == r.To:
		c.reply(cmd, nil)
		return
	case target == nil, target.Service != r.Keys.Service:
		c.reply(cmd, ErrTarget)
		return
	case len(owners) == 0, slices.Contains(owners, 0):
		c.reply(cmd, ErrNoOwner)
		return
	case c.now.Sub(cmd.since) >= c.opt.timings.CommandTimeout:
		c.reply(cmd, ErrTimeout)
		return
	}
	if c.now.Sub(cmd.sentAt) < releaseResend {
		return
	}
	cmd.sentAt = c.now
	for _, owner := range owners {
		if owner == r.To {
			continue
		}
		part := r.Keys.ownedBy(c.table, owner)
		c.sendRelease(owner, &Release{Keys: part, To: r.To, Reason: r.Reason})
	}
}

// lossQueryWait is how long the member and its witnesses are asked whether it still renews its lease.
const lossQueryWait = 500 * time.Millisecond

// advanceConfirmLoss refuses the loss of a member that still renews its lease, as far as it and its witnesses answer. It
// ends when the log no longer names the member, which is when it owns nothing any more.
func (c *Core) advanceConfirmLoss(cmd *command) {
	id := cmd.ConfirmLoss.Incarnation
	m := c.table.Member(id)
	switch {
	case m == nil:
		c.reply(cmd, nil)
	case c.confirmedLosses[id] && c.now.Sub(cmd.since) >= c.opt.timings.CommandTimeout:
		c.reply(cmd, ErrTimeout)
	case c.confirmedLosses[id]:
		return
	case cmd.alive || c.authority.RecentlyRenewed(id):
		c.reply(cmd, ErrStillRenews)
	case m.Revoked(), c.now.Sub(cmd.since) >= lossQueryWait:
		c.confirmedLosses[id] = true
		return
	default:
		c.askLoss(cmd, m)
		return
	}
	delete(c.confirmedLosses, id)
}

func (c *Core) askLoss(cmd *command, m *sequoiatable.MemberState) {
	if c.now.Sub(cmd.sentAt) < c.opt.timings.ResendInterval {
		return
	}
	cmd.sentAt = c.now
	for _, id := range append(slices.Clone(m.Witnesses), m.Incarnation) {
		if id != c.self {
			c.send(id, Message{SuspectQuery: &SuspectQuery{Holder: m.Incarnation}})
		}
	}
}

// lossReply notes an answer of the member itself, or of a witness that renews its lease.
func (c *Core) lossReply(from sequoiatable.IncarnationID, r *SuspectReply) {
	m := c.table.Member(r.Holder)
	if m == nil || r.Silent || (from != r.Holder && !slices.Contains(m.Witnesses, from)) {
		return
	}
	for _, cmd := range c.commands {
		if cmd.ConfirmLoss != nil && cmd.ConfirmLoss.Incarnation == r.Holder {
			cmd.alive = true
		}
	}
}

// advanceDrain moves all keys away, waits until nothing is in progress, and leaves. An upstream that drains alone only
// has its keys moved.
func (c *Core) advanceDrain() {
	if c.drain == nil {
		if c.upstream != nil && c.upstream.Draining {
			c.moveAllAway("UpstreamDraining")
		} else {
			c.drainIndividually = false
		}
		return
	}
	d := c.drain
	if d.stopped || c.opt.disabled.ignoreDrain {
		return
	}
	m := c.table.Member(c.self)
	if m == nil && (d.leave || c.pending == nil) {
		c.stop()
		return
	}
	if d.leave {
		c.awaitLeave()
		return
	}
	if m == nil || m.Revoked() {
		return
	}
	if m.Owned > 0 || len(c.moves) > 0 {
		c.moveAllAway(d.reason)
	}
	empty := m.Owned == 0 && len(c.moves) == 0 && m.Service == ""
	if empty || c.cannotMove() {
		c.closeAll()
	}
}

// awaitLeave stops without an entry of its own if the store does not take it. Nothing is in progress then, and the
// witnesses report the member as silent.
func (c *Core) awaitLeave() {
	d := c.drain
	if d.leaveAt.IsZero() {
		d.leaveAt = c.now
	}
	if c.now.Sub(d.leaveAt) >= c.opt.timings.LeaveTimeout {
		c.emit(Record{Own: true, Decision: "LeftWithoutEntry", Owner: c.self, Reason: "the store did not answer"})
		// The table still names this process as an owner, so its keys have to stay closed.
		d.closeAll = 0
		c.stop()
	}
}

// cannotMove reports whether a draining process has to stop serving keys that it still owns: no other member can take
// them, the store does not answer, or the time for the moves is over. The process then gives them up by Revoke, and the planner assigns them.
func (c *Core) cannotMove() bool {
	d := c.drain
	if c.store.failing && c.now.Sub(d.since) >= c.opt.timings.DrainWithoutStore {
		return true
	}
	if len(c.moves) > 0 || c.store.failing || c.hasTarget() {
		d.targetSeen = c.now
	}
	return c.now.Sub(d.targetSeen) >= c.opt.timings.NoTargetWait || c.now.Sub(d.since) >= c.opt.timings.DrainTimeout
}

// hasTarget reports whether another member can take keys of one of the services that this process owns keys of.
func (c *Core) hasTarget() bool {
	for _, name := range c.table.ServiceNames() {
		if ownedKeys(c.table.Service(name), c.self).empty() {
			continue
		}
		for _, u := range c.placementInput(name).Upstreams {
			if u.Incarnation != c.self {
				return true
			}
		}
	}
	return false
}

// closeAll waits for the last requests, those without a key included.
func (c *Core) closeAll() {
	d := c.drain
	if d.closeAll == 0 {
		d.closeAll = c.nextID()
		d.closedAt = c.now
		c.emit(CloseKeys{Move: d.closeAll, All: true})
	}
	if c.now.Sub(d.closedAt) >= c.opt.timings.DrainTimeout {
		c.emit(Record{Own: true, Decision: "DrainTimeout", Owner: c.self, Reason: "requests were still in progress"})
		d.leave = true
	}
}

func (c *Core) stop() {
	d := c.drain
	d.stopped = true
	if d.closeAll != 0 {
		c.emit(OpenKeys{Move: d.closeAll})
	}
	c.reply(d.command, nil)
	c.emit(Stopped{})
}

// moveAllAway starts a planned move of every key to the members that the policy chooses.
func (c *Core) moveAllAway(reason string) {
	if len(c.moves) > 0 || c.store.failing || c.liveMember(c.self) == nil {
		return
	}
	for _, name := range c.table.ServiceNames() {
		set := ownedKeys(c.table.Service(name), c.self)
		if set.empty() {
			continue
		}
		for _, m := range c.opt.policy.Place(c.placementInput(name), c.self, set.Shards, set.Keys) {
			keys := KeySet{Service: name, Shards: m.Shards, Keys: m.Keys}
			if !c.drainIndividually {
				c.startMove(&Release{Keys: keys, To: m.To, Reason: reason}, c.opt.timings.DrainFirstTimeout)
				continue
			}
			for _, one := range keys.split() {
				c.startMove(&Release{Keys: one, To: m.To, Reason: reason}, c.opt.timings.DrainTimeout)
			}
		}
	}
}
