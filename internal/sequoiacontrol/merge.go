package sequoiacontrol

import (
	"slices"

	"github.com/sequoiaspring/sequoiaspring/internal/sequoiatable"
)

// mergeKeys folds hot keys into their shards where this process owns both. No request has to wait, since the owner
// stays the same. A shard in a planned move is left out: the key would be assigned with the shard without having been
// closed.
func (c *Core) mergeKeys(keys KeySet) {
	if c.table.Service(keys.Service) == nil || c.selfRevoke {
		return
	}
	for _, k := range keys.Keys {
		one := KeySet{Service: keys.Service, Keys: []string{k}}
		if c.mayMerge(keys.Service, k) && !c.conflicts(one) {
			c.merges[keys.Service] = append(c.merges[keys.Service], k)
		}
	}
}

// mayMerge reports whether this process owns a hot key and its shard.
func (c *Core) mayMerge(service, key string) bool {
	s := c.table.Service(service)
	a, hot := s.HotKey(key)
	return hot && a.Owner == c.self && s.Shard(sequoiatable.ShardOf(key, s.Shards)).Owner == c.self
}

// advanceMerges forgets merges that are done or no longer allowed. One whose append has an unknown result stays, so
// that the shard does not begin to move.
func (c *Core) advanceMerges() {
	for _, name := range sortedKeys(c.merges) {
		if c.mergePending(name) {
			continue
		}
		keys := slices.DeleteFunc(c.merges[name], func(k string) bool { return !c.mayMerge(name, k) })
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

func (c *Core) wantMerges(b *batch) {
	for _, name := range sortedKeys(c.merges) {
		merge := &sequoiatable.Merge{Service: name, Keys: slices.Clone(c.merges[name])}
		b.add(sequoiatable.Change{Merge: merge}, origin{merge: name})
	}
}
