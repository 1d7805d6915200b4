package sequoiatable

import "github.com/cespare/xxhash/v2"

// ShardOf returns the shard of a key in a service with the given number of shards, which must not be zero.
func ShardOf(key string, shards uint32) uint32 {
	return uint32(xxhash.Sum64String(key) % uint64(shards))
}
