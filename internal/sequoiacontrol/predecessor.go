package sequoiacontrol

// A process that has bound the control address of an earlier process on the same instance, since the instance last
// booted, proves that the earlier one has ended: a process that is only paused keeps its address. So the later process
// may speak for the earlier one's incarnation, its predecessor, of which it has no memory. The predecessor answers no
// more renewals and sends none, and what it granted before ends one lease after this process started.
//
// Without this rule the restart of a whole fleet would leave every key without an owner, since each witness that could
// promise is gone too.

// notePredecessors finds the incarnations in the table that this process succeeds.
func (c *Core) notePredecessors() {
	own := c.opt.member
	if own.Boot == 0 {
		return
	}
	for _, id := range c.table.Members() {
		m := c.table.Member(id)
		same := m.Boot == own.Boot && m.Instance == own.Instance && m.Control == own.Control
		if same && !c.isSelf(id) {
			c.predecessors[id] = c.started.Add(c.opt.timings.Lease)
		}
	}
}

// wantPredecessorRevocations gives up the keys of predecessors without waiting for their witnesses' suspicion.
func (c *Core) wantPredecessorRevocations(b *batch) {
	for _, id := range sortedKeys(c.predecessors) {
		c.wantRevoke(b, id, "Restarted")
	}
}

// promiseFor answers for a predecessor, as a holder or as a witness of one. It returns nil for any other incarnation.
func (c *Core) promiseFor(m *Promise) *Promised {
	end, ok := c.predecessors[m.Witness]
	if !ok {
		return nil
	}
	return &Promised{
		Holder: m.Holder, Witness: m.Witness, RevokeIndex: m.RevokeIndex, Remaining: max(0, end.Sub(c.now)),
	}
}
