package sequoiacontrol

import (
	"cmp"
	"slices"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

// witnessCount is the size of a witness set. A quorum is 2 of 3.
const witnessCount = 3

// chooseWitnesses returns a witness set for the holder, or nil if there are fewer than 3 candidates. Members of the
// current set are kept where possible, because during a change fewer witnesses support the holder's lease. For the same
// reason at most one usable member is replaced to improve the spread over failure domains.
func chooseWitnesses(
	t *sequoiatable.Table, holder sequoiatable.IncarnationID, current []sequoiatable.IncarnationID,
	usable func(id sequoiatable.IncarnationID) bool,
) []sequoiatable.IncarnationID {
	s := newWitnessSelection(t, holder, usable)
	var set []sequoiatable.IncarnationID
	for _, id := range current {
		if s.members[id] != nil {
			set = append(set, id)
		}
	}
	if len(set) == witnessCount {
		set = s.dropWorst(set)
	}
	for len(set) < witnessCount {
		id, ok := s.best(set)
		if !ok {
			return nil
		}
		set = append(set, id)
	}
	return set
}

// witnessSelection is the input of one selection of witnesses.
type witnessSelection struct {
	holder  *sequoiatable.MemberState
	members map[sequoiatable.IncarnationID]*sequoiatable.MemberState
	// candidates lists the usable members in the holder's region if they span 3 failure domains, else all usable members.
	candidates    []sequoiatable.IncarnationID
	targetDomains int
}

func newWitnessSelection(t *sequoiatable.Table, holder sequoiatable.IncarnationID, usable func(sequoiatable.IncarnationID) bool) *witnessSelection {
	s := &witnessSelection{holder: t.Member(holder), members: map[sequoiatable.IncarnationID]*sequoiatable.MemberState{}}
	var all, region []sequoiatable.IncarnationID
	if s.holder == nil {
		return s
	}
	for _, id := range t.Members() {
		m := t.Member(id)
		if m.Revoked() || id == holder || !usable(id) {
			continue
		}
		s.members[id] = m
		all = append(all, id)
		if m.Region == s.holder.Region {
			region = append(region, id)
		}
	}
	s.candidates = all
	if s.countDomains(region) >= witnessCount {
		s.candidates = region
	}
	s.targetDomains = min(witnessCount, s.countDomains(s.candidates))
	return s
}

func (s *witnessSelection) countDomains(ids []sequoiatable.IncarnationID) int {
	domains := map[string]bool{}
	for _, id := range ids {
		domains[s.members[id].FailureDomain] = true
	}
	return len(domains)
}

// dropWorst removes at most one member: the first that is not a candidate or, if the candidates span more failure
// domains than the set, one that shares a failure domain with another.
func (s *witnessSelection) dropWorst(set []sequoiatable.IncarnationID) []sequoiatable.IncarnationID {
	for i, id := range set {
		if !slices.Contains(s.candidates, id) {
			return slices.Delete(slices.Clone(set), i, i+1)
		}
	}
	if s.countDomains(set) >= s.targetDomains {
		return set
	}
	for i := len(set) - 1; i > 0; i-- {
		if s.countInDomain(set[:i], set[i]) > 0 {
			return slices.Delete(slices.Clone(set), i, i+1)
		}
	}
	return set
}

// countInDomain counts the members of the set that are in the candidate's failure domain.
func (s *witnessSelection) countInDomain(set []sequoiatable.IncarnationID, id sequoiatable.IncarnationID) int {
	n := 0
	for _, other := range set {
		if s.members[other].FailureDomain == s.members[id].FailureDomain {
			n++
		}
	}
	return n
}

// best returns the candidate that adds most to the spread over failure domains. Ties are broken by a hash of holder and
// candidate, so that each member is a witness of about 3 holders.
func (s *witnessSelection) best(set []sequoiatable.IncarnationID) (sequoiatable.IncarnationID, bool) {
	var best sequoiatable.IncarnationID
	for _, id := range s.candidates {
		if slices.Contains(set, id) {
			continue
		}
		if best == 0 || s.compare(set, id, best) < 0 {
			best = id
		}
	}
	return best, best != 0
}

func (s *witnessSelection) compare(set []sequoiatable.IncarnationID, a, b sequoiatable.IncarnationID) int {
	return cmp.Or(
		cmp.Compare(s.countInDomain(set, a), s.countInDomain(set, b)),
		cmp.Compare(s.inHolderDomain(a), s.inHolderDomain(b)),
		cmp.Compare(hashPair(s.holder.Incarnation, a), hashPair(s.holder.Incarnation, b)),
	)
}

// inHolderDomain returns 1 for a candidate in the holder's failure domain, since both would be lost together, else 0.
func (s *witnessSelection) inHolderDomain(id sequoiatable.IncarnationID) int {
	if s.members[id].FailureDomain == s.holder.FailureDomain {
		return 1
	}
	return 0
}

// hashPair hashes a pair of identifiers with the finalizer of splitmix64.
func hashPair(a, b sequoiatable.IncarnationID) uint64 {
	x := uint64(a) ^ uint64(b)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
