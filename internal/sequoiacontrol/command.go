package sequoiacontrol

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

// releaseResendInterval is the interval at which Release is sent again to the owner for an operator's move.
const releaseResendInterval = time.Second

// command is a Command in progress; it is removed once answered.
type command struct {
	Command
	receivedAt time.Time
	sentAt     time.Time
	answered   bool
	// alive is set if the member named by ConfirmLoss, or one of its witnesses, reports that it is alive.
	alive bool
}

// drainState is the progress of a planned stop of this process.
type drainState struct {
	command   *command
	reason    string
	startedAt time.Time
	// closeID identifies the CloseKeys action that closes all keys, zero before it is emitted.
	closeID  uint64
	closedAt time.Time
	// targetSeenAt is when moves were last in progress or possible, or the store was failing.
	targetSeenAt time.Time
	// leaving is set once no request is in progress, or the wait for them has timed out.
	leaving bool
	leaveAt time.Time
	stopped bool
}

// stopping reports whether the process is leaving the fleet permanently.
func (c *Core) stopping() bool {
	return c.drain != nil && c.drain.leaving
}

func (c *Core) stopped() bool {
	return c.drain != nil && c.drain.stopped
}

func (c *Core) handleCommand(ev Command) {
	cmd := &command{Command: ev, receivedAt: c.now}
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
		c.drain = &drainState{command: cmd, reason: ev.Drain.Reason, startedAt: c.now, targetSeenAt: c.now}
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

// advanceConfigure refuses a document based on a revision older than the one in force. Revisions never decrease, so the
// refusal is final.
func (c *Core) advanceConfigure(cmd *command) {
	if c.configurePending(cmd) {
		if c.now.Sub(cmd.receivedAt) >= c.opt.timings.CommandTimeout {
			c.reply(cmd, ErrResultUnknown)
		}
		return
	}
	if rev := c.table.Configuration.Revision; rev > cmd.Configure.Base {
		c.replyConfigure(cmd, errors.Wrapf(sequoiatable.ErrStaleConfiguration, "base %d, in force %d", cmd.Configure.Base, rev))
		return
	}
	if c.now.Sub(cmd.receivedAt) >= c.opt.timings.CommandTimeout {
		c.reply(cmd, ErrTimeout)
	}
}

func (c *Core) configurePending(cmd *command) bool {
	p := c.pending
	return p != nil && slices.ContainsFunc(p.origins, func(o origin) bool { return o.configure == cmd })
}

// replyConfigure replies with the revision in force, which is that of the winning document if the command was refused.
func (c *Core) replyConfigure(cmd *command, err error) {
	if cmd.answered {
		return
	}
	cmd.answered = true
	c.emit(Reply{ID: cmd.ID, Index: c.table.Configuration.Revision, Err: err})
}

func (c *Core) proposeConfiguration(b *batch) {
	for _, cmd := range c.commands {
		if cmd.Configure != nil && !cmd.answered {
			b.add(sequoiatable.Change{SetConfiguration: cmd.Configure}, origin{configure: cmd})
		}
	}
}

// advanceMoveCommand sends Release to the owners until the table assigns all keys to the target.
func (c *Core) advanceMoveCommand(cmd *command) {
	r := cmd.Move
	target := c.liveMember(r.To)
	owners := r.Keys.owners(c.table)
	switch {
	case len(owners) == 1 && owners[0] == r.To:
		c.reply(cmd, nil)
		return
	case target == nil, target.Service != r.Keys.Service:
		c.reply(cmd, ErrInvalidTarget)
		return
	case len(owners) == 0, slices.Contains(owners, 0):
		c.reply(cmd, ErrNoOwner)
		return
	case c.now.Sub(cmd.receivedAt) >= c.opt.timings.CommandTimeout:
		c.reply(cmd, ErrTimeout)
		return
	}
	if c.now.Sub(cmd.sentAt) < releaseResendInterval {
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

// lossQueryTimeout is how long the member and its witnesses are asked whether its lease is still being renewed.
const lossQueryTimeout = 500 * time.Millisecond

// advanceConfirmLoss refuses to confirm the loss of a member if the member or one of its witnesses replies that its
// lease is still being renewed. The command completes when the member is no longer in the table, which is when it owns
// no keys any more.
func (c *Core) advanceConfirmLoss(cmd *command) {
	id := cmd.ConfirmLoss.Incarnation
	m := c.table.Member(id)
	switch {
	case m == nil:
		c.reply(cmd, nil)
	case c.confirmedLosses[id] && c.now.Sub(cmd.receivedAt) >= c.opt.timings.CommandTimeout:
		c.reply(cmd, ErrTimeout)
	case c.confirmedLosses[id]:
		return
	case cmd.alive || c.authority.RecentlyRenewed(id):
		c.reply(cmd, ErrMemberAlive)
	case m.Revoked(), c.now.Sub(cmd.receivedAt) >= lossQueryTimeout:
		c.confirmedLosses[id] = true
		return
	default:
		c.queryLoss(cmd, m)
		return
	}
	delete(c.confirmedLosses, id)
}

func (c *Core) queryLoss(cmd *command, m *sequoiatable.MemberState) {
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

// recordLossReply records a reply from the member itself, or from a witness that still receives its renewals.
func (c *Core) recordLossReply(from sequoiatable.IncarnationID, r *SuspectReply) {
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

// advanceDrain moves all keys to other members, waits for requests in progress, and leaves the fleet. If only the
// upstream is draining, its keys are moved and the process stays.
func (c *Core) advanceDrain() {
	if c.drain == nil {
		if c.upstream != nil && c.upstream.Draining {
			c.moveAllKeys("UpstreamDraining")
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
	if m == nil && (d.leaving || c.pending == nil) {
		c.stop()
		return
	}
	if d.leaving {
		c.awaitLeave()
		return
	}
	if m == nil || m.Revoked() {
		return
	}
	if m.Owned > 0 || len(c.moves) > 0 {
		c.moveAllKeys(d.reason)
	}
	empty := m.Owned == 0 && len(c.moves) == 0 && m.Service == ""
	if empty || c.mustStopServing() {
		c.closeAllKeys()
	}
}

// awaitLeave stops the process without a log entry if none has been written before LeaveTimeout. Its requests have
// finished or timed out by then, and the witnesses will report the member as silent.
func (c *Core) awaitLeave() {
	d := c.drain
	if d.leaveAt.IsZero() {
		d.leaveAt = c.now
	}
	if c.now.Sub(d.leaveAt) >= c.opt.timings.LeaveTimeout {
		c.emit(Record{Own: true, Decision: "LeftWithoutEntry", Owner: c.self, Reason: "the store did not respond"})
		// The table still names this process as the owner, so its keys must stay closed.
		d.closeID = 0
		c.stop()
	}
}

// mustStopServing reports whether a draining process has to stop serving keys that it still owns: no other member can
// take them, the store does not respond, or the drain has timed out. The process then gives up the keys with a Revoke
// change, and the planner assigns them.
func (c *Core) mustStopServing() bool {
	d := c.drain
	if c.store.failing && c.now.Sub(d.startedAt) >= c.opt.timings.DrainWithoutStore {
		return true
	}
	if len(c.moves) > 0 || c.store.failing || c.hasTarget() {
		d.targetSeenAt = c.now
	}
	return c.now.Sub(d.targetSeenAt) >= c.opt.timings.NoTargetWait || c.now.Sub(d.startedAt) >= c.opt.timings.DrainTimeout
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

// closeAllKeys closes all keys and waits for the remaining requests, including those without a key.
func (c *Core) closeAllKeys() {
	d := c.drain
	if d.closeID == 0 {
		d.closeID = c.nextID()
		d.closedAt = c.now
		c.emit(CloseKeys{Move: d.closeID, All: true})
	}
	if c.now.Sub(d.closedAt) >= c.opt.timings.DrainTimeout {
		c.emit(Record{Own: true, Decision: "DrainTimeout", Owner: c.self, Reason: "requests were still in progress"})
		d.leaving = true
	}
}

func (c *Core) stop() {
	d := c.drain
	d.stopped = true
	if d.closeID != 0 {
		c.emit(OpenKeys{Move: d.closeID})
	}
	c.reply(d.command, nil)
	c.emit(Stopped{})
}

// moveAllKeys starts planned moves of all keys of this process to the members chosen by the policy.
func (c *Core) moveAllKeys(reason string) {
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
			for _, single := range keys.split() {
				c.startMove(&Release{Keys: single, To: m.To, Reason: reason}, c.opt.timings.DrainTimeout)
			}
		}
	}
}
