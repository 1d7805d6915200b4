package sequoiacontrol

import (
	"slices"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

// mergeKeys merges hot keys into their shards where this process owns both. No request has to wait, since the owner
// does not change. A key whose shard is in a planned move is skipped: it would be assigned with the shard without
// having been closed.
func (c *Core) mergeKeys(keys KeySet) {
	if c.table.Service(keys.Service) == nil || c.selfRevoke {
		return
	}
	for _, k := range keys.Keys {
		single := KeySet{Service: keys.Service, Keys: []string{k}}
		if c.canMerge(keys.Service, k) && !c.conflicts(single) {
			c.merges[keys.Service] = append(c.merges[keys.Service], k)
		}
	}
}

// canMerge reports whether this process owns both a hot key and its shard.
func (c *Core) canMerge(service, key string) bool {
	s := c.table.Service(service)
	a, hot := s.HotKey(key)
	return hot && a.Owner == c.self && s.Shard(sequoiatable.ShardOf(key, s.Shards)).Owner == c.self
}

// advanceMerges drops merges that are done or no longer possible. A merge whose append has an unknown result is kept,
// so that no move of the shard starts.
func (c *Core) advanceMerges() {
	for _, name := range sortedKeys(c.merges) {
		if c.mergePending(name) {
			continue
		}
		keys := slices.DeleteFunc(c.merges[name], func(k string) bool { return !c.canMerge(name, k) })
		c.merges[name] = keys
		if len(keys) == 0 {
			delete(c.merges, name)
		}
	}
}

func (c *Core) mergePending(service string) bool {
	p := c.pending
	return p != nil && slices.ContainsFunc(p.origins, func(o origin) bool { return o.merge == service })
}

func (c *Core) proposeMerges(b *batch) {
	for _, name := range sortedKeys(c.merges) {
		merge := &sequoiatable.Merge{Service: name, Keys: slices.Clone(c.merges[name])}
		b.add(sequoiatable.Change{Merge: merge}, origin{merge: name})
	}
}
