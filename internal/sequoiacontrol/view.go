package sequoiacontrol

import "github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"

// view holds data derived from the table and is rebuilt once per table change. With thousands of members, sorting and
// scanning them in every step would exceed the CPU budget.
type view struct {
	// eligible and ineligible are the live members that may and may not be given keys, in ascending order.
	eligible   []sequoiatable.IncarnationID
	ineligible []sequoiatable.IncarnationID
	revoked    []sequoiatable.IncarnationID
	// planner is the lowest-ranked eligible member of each service. storeReader is that of each failure domain, which also
	// relays load reports.
	planner     map[string]sequoiatable.IncarnationID
	storeReader map[string]sequoiatable.IncarnationID
	members     int
	// eligibleInDomain is the number of eligible members in each failure domain.
	eligibleInDomain map[string]int
}

func newView(t *sequoiatable.Table, eligible func(m *sequoiatable.MemberState) bool) view {
	v := view{
		planner:          map[string]sequoiatable.IncarnationID{},
		storeReader:      map[string]sequoiatable.IncarnationID{},
		eligibleInDomain: map[string]int{},
	}
	for _, id := range t.Members() {
		m := t.Member(id)
		v.members++
		switch {
		case m.Revoked():
			v.revoked = append(v.revoked, id)
			continue
		case !eligible(m):
			v.ineligible = append(v.ineligible, id)
			continue
		}
		v.eligible = append(v.eligible, id)
		v.eligibleInDomain[m.FailureDomain]++
		if v.planner[m.Service] == 0 {
			v.planner[m.Service] = id
		}
		if v.storeReader[m.FailureDomain] == 0 {
			v.storeReader[m.FailureDomain] = id
		}
	}
	return v
}
