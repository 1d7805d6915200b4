package sequoiatable

import (
	"github.com/pkg/errors"
)

// merge applies the change in full or not at all.
func (b *builder) merge(c *Merge) error {
	if err := b.checkMerge(c); err != nil {
		return err
	}
	s := b.mutableService(c.Service)
	b.copyKeys(s)
	for _, k := range c.Keys {
		n := ShardOf(k, s.Shards)
		shard := s.Shard(n)
		shard.Epoch = Epoch(b.entry.Index)
		shard.Floor = max(shard.Floor, s.keys[k].Floor)
		b.setShard(s, n, shard)
		delete(s.keys, k)
	}
	b.addOwned(b.entry.Writer, -len(c.Keys))
	return nil
}

func (b *builder) checkMerge(c *Merge) error {
	owner := b.entry.Writer
	if _, err := b.unrevokedMember(owner); err != nil {
		return err
	}
	s := b.next.services[c.Service]
	if s == nil {
		return errors.Wrap(ErrWrongService, c.Service)
	}
	seen := make(map[string]bool, len(c.Keys))
	for _, k := range c.Keys {
		a, ok := s.keys[k]
		if !ok {
			return errors.Wrapf(ErrNotHotKey, "%s key %q", c.Service, k)
		}
		if seen[k] {
			return errors.Wrapf(ErrMalformed, "%s hot key %q is listed twice", c.Service, k)
		}
		seen[k] = true
		if a.Owner != owner {
			return errors.Wrapf(ErrNotOwner, "%s hot key %q is owned by %s, not %s", c.Service, k, a.Owner, owner)
		}
		n := ShardOf(k, s.Shards)
		if shard := s.Shard(n); shard.Owner != owner {
			return errors.Wrapf(ErrNotOwner, "%s shard %d is owned by %s, not %s", c.Service, n, shard.Owner, owner)
		}
	}
	return nil
}
