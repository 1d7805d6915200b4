package sequoiacontrol

import "github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"

// view is derived from the table once per change of it. With thousands of members the steps between two changes could
// not each sort and scan them within the processor budget.
type view struct {
	// eligible and unwatched are the live members that may and may not be given keys, in ascending order.
	eligible  []sequoiatable.IncarnationID
	unwatched []sequoiatable.IncarnationID
	revoked   []sequoiatable.IncarnationID
	// planner is the lowest-ranked eligible member of each service, reader that of each failure domain, which also relays
	// load reports.
	planner map[string]sequoiatable.IncarnationID
	reader  map[string]sequoiatable.IncarnationID
	members int
	// inDomain is the number of eligible members of each failure domain.
	inDomain map[string]int
}

func newView(t *sequoiatable.Table, eligible func(m *sequoiatable.MemberState) bool) view {
	v := view{
		planner:  map[string]sequoiatable.IncarnationID{},
		reader:   map[string]sequoiatable.IncarnationID{},
		inDomain: map[string]int{},
	}
	for _, id := range t.Members() {
		m := t.Member(id)
		v.members++
		switch {
		case m.Revoked():
			v.revoked = append(v.revoked, id)
			continue
		case !eligible(m):
			v.unwatched = append(v.unwatched, id)
			continue
		}
		v.eligible = append(v.eligible, id)
		v.inDomain[m.FailureDomain]++
		if v.planner[m.Service] == 0 {
			v.planner[m.Service] = id
		}
		if v.reader[m.FailureDomain] == 0 {
			v.reader[m.FailureDomain] = id
		}
	}
	return v
}
