package sequoiacontrol

import (
	"cmp"
	"slices"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

// witnessCount is the size of a witness set; 2 of 3 have to agree.
const witnessCount = 3

// chooseWitnesses returns a witness set for the holder, or nil if fewer than 3 members can be one. Members of the
// current set are kept where possible, because each change asks the holder's lease of fewer witnesses for a while; so
// at most one usable member is replaced for a better spread over failure domains.
func chooseWitnesses(
	t *sequoiatable.Table, holder sequoiatable.IncarnationID, current []sequoiatable.IncarnationID,
	usable func(id sequoiatable.IncarnationID) bool,
) []sequoiatable.IncarnationID {
	ch := newChoice(t, holder, usable)
	var set []sequoiatable.IncarnationID
	for _, id := range current {
		if ch.member[id] != nil {
			set = append(set, id)
		}
	}
	if len(set) == witnessCount {
		set = ch.withoutWorst(set)
	}
	for len(set) < witnessCount {
		id, ok := ch.best(set)
		if !ok {
			return nil
		}
		set = append(set, id)
	}
	return set
}

// choice is what one choice of witnesses depends on.
type choice struct {
	holder *sequoiatable.MemberState
	member map[sequoiatable.IncarnationID]*sequoiatable.MemberState
	// pool lists the candidates: those in the holder's region if it has 3 failure domains, else all.
	pool    []sequoiatable.IncarnationID
	domains int
}

func newChoice(t *sequoiatable.Table, holder sequoiatable.IncarnationID, usable func(sequoiatable.IncarnationID) bool) *choice {
	ch := &choice{holder: t.Member(holder), member: map[sequoiatable.IncarnationID]*sequoiatable.MemberState{}}
	var all, region []sequoiatable.IncarnationID
	if ch.holder == nil {
		return ch
	}
	for _, id := range t.Members() {
		m := t.Member(id)
		if m.Revoked() || id == holder || !usable(id) {
			continue
		}
		ch.member[id] = m
		all = append(all, id)
		if m.Region == ch.holder.Region {
			region = append(region, id)
		}
	}
	ch.pool = all
	if ch.countDomains(region) >= witnessCount {
		ch.pool = region
	}
	ch.domains = min(witnessCount, ch.countDomains(ch.pool))
	return ch
}

func (ch *choice) countDomains(ids []sequoiatable.IncarnationID) int {
	domains := map[string]bool{}
	for _, id := range ids {
		domains[ch.member[id].FailureDomain] = true
	}
	return len(domains)
}

// withoutWorst removes one member that shares a failure domain, or lies outside the pool, if better ones exist.
func (ch *choice) withoutWorst(set []sequoiatable.IncarnationID) []sequoiatable.IncarnationID {
	for i, id := range set {
		if !slices.Contains(ch.pool, id) {
			return slices.Delete(slices.Clone(set), i, i+1)
		}
	}
	if ch.countDomains(set) >= ch.domains {
		return set
	}
	for i := len(set) - 1; i > 0; i-- {
		if ch.shared(set[:i], set[i]) > 0 {
			return slices.Delete(slices.Clone(set), i, i+1)
		}
	}
	return set
}

// shared counts the members of the set in the failure domain of a candidate.
func (ch *choice) shared(set []sequoiatable.IncarnationID, id sequoiatable.IncarnationID) int {
	n := 0
	for _, other := range set {
		if ch.member[other].FailureDomain == ch.member[id].FailureDomain {
			n++
		}
	}
	return n
}

// best returns the candidate that spreads the set most. Equal ones are ordered by a hash of holder and candidate, so
// that each member is chosen by about 3 holders.
func (ch *choice) best(set []sequoiatable.IncarnationID) (sequoiatable.IncarnationID, bool) {
	var best sequoiatable.IncarnationID
	for _, id := range ch.pool {
		if slices.Contains(set, id) {
			continue
		}
		if best == 0 || ch.compare(set, id, best) < 0 {
			best = id
		}
	}
	return best, best != 0
}

func (ch *choice) compare(set []sequoiatable.IncarnationID, a, b sequoiatable.IncarnationID) int {
	return cmp.Or(
		cmp.Compare(ch.shared(set, a), ch.shared(set, b)),
		cmp.Compare(ch.ownDomain(a), ch.ownDomain(b)),
		cmp.Compare(mix(ch.holder.Incarnation, a), mix(ch.holder.Incarnation, b)),
	)
}

// ownDomain is 1 for a candidate in the holder's failure domain, which would be lost together with it.
func (ch *choice) ownDomain(id sequoiatable.IncarnationID) int {
	if ch.member[id].FailureDomain == ch.holder.FailureDomain {
		return 1
	}
	return 0
}

// mix hashes a pair of identifiers (the finalizer of splitmix64).
func mix(a, b sequoiatable.IncarnationID) uint64 {
	x := uint64(a) ^ uint64(b)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
