package sequoiacontrol

// A process that binds the control address of an earlier process on the same instance and in the same boot proves that
// the earlier process has ended, since a paused process keeps its address. The later process may therefore reply on
// behalf of the earlier incarnation, its predecessor, although it has none of its state. The predecessor neither sends
// nor answers renewals any more, and everything it granted expires within one lease after this process started.
//
// Without this rule a restart of the whole fleet would leave every key without an owner, since all witnesses that could
// give promises are gone too.

// findPredecessors records the incarnations in the table that are predecessors of this process.
func (c *Core) findPredecessors() {
	self := c.opt.member
	if self.Boot == 0 {
		return
	}
	for _, id := range c.table.Members() {
		m := c.table.Member(id)
		sameProcessAddress := m.Boot == self.Boot && m.Instance == self.Instance && m.Control == self.Control
		if sameProcessAddress && !c.isSelf(id) {
			c.predecessors[id] = c.startedAt.Add(c.opt.timings.Lease)
		}
	}
}

// proposePredecessorRevocations revokes predecessors without waiting until their witnesses suspect them.
func (c *Core) proposePredecessorRevocations(b *batch) {
	for _, id := range sortedKeys(c.predecessors) {
		c.proposeRevoke(b, id, "Restarted")
	}
}

// predecessorPromise returns a promise on behalf of a predecessor, which may have been the holder or one of its
// witnesses. It returns nil for any other incarnation.
func (c *Core) predecessorPromise(m *Promise) *Promised {
	end, ok := c.predecessors[m.Witness]
	if !ok {
		return nil
	}
	return &Promised{
		Holder: m.Holder, Witness: m.Witness, RevokeIndex: m.RevokeIndex, Remaining: max(0, end.Sub(c.now)),
	}
}
