// Package sequoiafollow decides which processes watch the store themselves and which ask another process instead, and
// keeps the events from which such a process answers. It does no I/O and takes the time as an argument.
//
// In a large fleet each change of a member costs one store call by every process, since the change answers the watch of
// all of them. Choice therefore selects a few processes in each failure domain, the followers, of which the others ask for
// changes. Hub holds the latest changes of one prefix at a process that watches the store.
package sequoiafollow

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// MaxDirectMembers is the largest number of members with which every process asks the store. Below it, the calls that
	// followers save are few.
	MaxDirectMembers = 32
	// FollowersPerDomain is the number of followers of a failure domain. With two, the loss of one leaves another that has
	// the events already.
	FollowersPerDomain = 2
	// silentFor is how long a process that has not answered or is stopping is not asked. It is longer than the lease of its
	// entry, which decides from then on.
	silentFor = 15 * time.Second
	// unsupportedFor is how long a process that does not know the message is not asked. It changes with an upgrade only.
	unsupportedFor = time.Minute
	// restFor is how long the store is asked after a follower that works could not answer.
	restFor = time.Second
	// servesFor is how long a process asks the store itself after another one has asked it. Views of the members differ for
	// a short time, and a link between two processes may be down longer.
	servesFor = 20 * time.Second
)

// Member is a member of the fleet as Choice needs it.
type Member struct {
	Instance string
	Domain   string
	// Excluded is true for a member that should not be asked: it is unreachable, leaving, stopping or of an older build.
	Excluded bool
}

// Reason says why a process asks the store, or why it could not be answered by another process.
type Reason string

// Reasons to ask the store.
const (
	// ReasonSmallFleet means that the fleet has at most MaxDirectMembers members.
	ReasonSmallFleet Reason = "SmallFleet"
	// ReasonFollower means that the process is a follower.
	ReasonFollower Reason = "Follower"
	// ReasonAsked means that other processes ask this one.
	ReasonAsked Reason = "Asked"
	// ReasonNoFollower means that no member of the failure domain may be asked.
	ReasonNoFollower Reason = "NoFollower"
	// ReasonResting means that a follower could not answer a short time ago.
	ReasonResting Reason = "Resting"
)

// Reasons for which a follower gives no answer.
const (
	// ReasonSilent means that it has not answered in time, or that the connection was lost.
	ReasonSilent Reason = "Silent"
	// ReasonStopping means that its process is stopping.
	ReasonStopping Reason = "Stopping"
	// ReasonUnsupported means that it does not know the message.
	ReasonUnsupported Reason = "Unsupported"
	// ReasonMalformed means that its answer cannot be used.
	ReasonMalformed Reason = "Malformed"
	// ReasonLostStore means that it cannot reach the store.
	ReasonLostStore Reason = "LostStore"
	// ReasonNotFollowing means that it does not watch the store.
	ReasonNotFollowing Reason = "NotFollowing"
	// ReasonNotCovered means that it does not have all events after the revision.
	ReasonNotCovered Reason = "NotCovered"
	// ReasonBusy means that the changes are more than it may send now.
	ReasonBusy Reason = "Busy"
)

// Choice decides for one process whom it asks. It is not safe for concurrent use.
type Choice struct {
	instance, domain string
	// avoided holds until when members are not asked.
	avoided     map[string]time.Time
	restUntil   time.Time
	servesUntil time.Time
}

// NewChoice returns the Choice of the process on an instance in a failure domain.
func NewChoice(instance, domain string) *Choice {
	return &Choice{instance: instance, domain: domain, avoided: map[string]time.Time{}}
}

// Next returns the instance to ask, or an empty string and the reason if the store is to be asked.
func (c *Choice) Next(now time.Time, members []Member) (string, Reason) {
	maps.DeleteFunc(c.avoided, func(_ string, until time.Time) bool { return !now.Before(until) })
	if len(members) <= MaxDirectMembers {
		return "", ReasonSmallFleet
	}
	followers := Followers(c.domain, members, func(instance string) bool {
		_, avoided := c.avoided[instance]
		return avoided && instance != c.instance
	})
	switch {
	case slices.Contains(followers, c.instance):
		return "", ReasonFollower
	case now.Before(c.servesUntil):
		return "", ReasonAsked
	case len(followers) == 0:
		return "", ReasonNoFollower
	case now.Before(c.restUntil):
		return "", ReasonResting
	}
	// Each process has its own order of the two, so that they share the work, and the processes of a lost one are divided
	// between those that remain.
	return slices.MaxFunc(followers, func(a, b string) int {
		return cmp.Or(cmp.Compare(hash(c.instance, a), hash(c.instance, b)), cmp.Compare(a, b))
	}), ""
}

// Failed records that a follower could not answer. The caller then asks the store once before it calls Next again.
func (c *Choice) Failed(now time.Time, instance string, r Reason) {
	switch r {
	case ReasonLostStore, ReasonNotFollowing:
		c.restUntil = now.Add(restFor)
	case ReasonNotCovered, ReasonBusy:
		// The next watch is after a later revision, which the follower has, and returns other changes.
	case ReasonUnsupported:
		c.avoided[instance] = now.Add(unsupportedFor)
	default:
		c.avoided[instance] = now.Add(silentFor)
	}
}

// Asked records that another process asks this one, which then watches the store for a while even if it does not count
// itself among the followers.
func (c *Choice) Asked(now time.Time) { c.servesUntil = now.Add(servesFor) }

// Followers returns the followers of a failure domain by rank: the members that are not excluded with the highest hash of
// domain and instance. avoid names further members that are left out.
func Followers(domain string, members []Member, avoid func(instance string) bool) []string {
	var eligible []string
	for _, m := range members {
		if m.Domain == domain && !m.Excluded && !avoid(m.Instance) {
			eligible = append(eligible, m.Instance)
		}
	}
	slices.SortFunc(eligible, func(a, b string) int {
		return cmp.Or(cmp.Compare(hash(domain, b), hash(domain, a)), cmp.Compare(a, b))
	})
	return eligible[:min(FollowersPerDomain, len(eligible))]
}

// hash returns the hash of two names.
func hash(a, b string) uint64 { return xxhash.Sum64String(a + "\x00" + b) }
