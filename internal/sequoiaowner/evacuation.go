package sequoiaowner

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	// evacuationSample is the number of members among which an owner chooses those that get its keys when its failure domain
	// is evacuated, and evacuationTargets is how many it chooses. All owners of the domain move their keys at the same time:
	// if each divided them among all other members, each member would get more ranges than it may have.
	evacuationSample  = 8
	evacuationTargets = 4
	// minRoom is the room that is assumed of an upstream at least. A full one takes some keys too if there is no other.
	minRoom = 0.25
)

// SetEvacuated sets the failure domains that are being evacuated. Keys leave them at the next Step, and none enters them.
// Moves that have begun are completed when a domain is not evacuated any more.
func (c *Core) SetEvacuated(domains []string) {
	c.evacuated = map[string]bool{}
	for _, d := range domains {
		c.evacuated[d] = true
	}
}

// Evacuated reports whether a failure domain is being evacuated.
func (c *Core) Evacuated(domain string) bool { return c.evacuated[domain] }

// receivers returns the members that have room for keys, all of them if none has.
func (c *Core) receivers(members []Member) []Member {
	with := slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return c.room(m) <= 0 })
	if len(with) == 0 {
		return members
	}
	return with
}

// sample returns some of the members: those with the most room among a few that differ from owner to owner.
func (c *Core) sample(members []Member) []Member {
	rank := map[string]uint64{}
	for _, m := range members {
		rank[m.Instance] = xxhash.Sum64String(c.instance + "\x00" + m.Instance)
	}
	names := slices.SortedFunc(maps.Keys(rank), func(a, b string) int { return cmp.Compare(rank[a], rank[b]) })
	names = names[:min(evacuationSample, len(names))]
	chosen := slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return !slices.Contains(names, m.Instance) })
	slices.SortFunc(chosen, func(a, b Member) int {
		return cmp.Or(cmp.Compare(c.room(b), c.room(a)), cmp.Compare(rank[a.Instance], rank[b.Instance]))
	})
	chosen = chosen[:min(evacuationTargets, len(chosen))]
	slices.SortFunc(chosen, func(a, b Member) int { return strings.Compare(a.Instance, b.Instance) })
	return chosen
}

// fill distributes load among members in proportion to their room.
type fill struct {
	members  []Member
	room     []float64
	assigned []float64
}

func newFill(members []Member, room func(m Member) float64) *fill {
	f := &fill{members: members, assigned: make([]float64, len(members))}
	for _, m := range members {
		f.room = append(f.room, math.Max(minRoom, room(m)))
	}
	return f
}

// take returns the member that gets one more part with the given load. What it has been given before counts against it.
func (f *fill) take(load float64) Member {
	least := 0
	for i := range f.members {
		if (f.assigned[i]+load)/f.room[i] < (f.assigned[least]+load)/f.room[least] {
			least = i
		}
	}
	f.assigned[least] += load
	return f.members[least]
}
