package wire

import (
	"fmt"
	"hash/fnv"
)

// ShardCount is the number of key shards.
const ShardCount = 64

// ShardOf returns the key shard of a job ID or idempotency key.
func ShardOf(key string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(key))
	return int(h.Sum32() % ShardCount)
}

// TeamShard returns the key shard whose owner leases the team's quota.
func TeamShard(team string) int { return ShardOf("team:" + team) }

// ShardStream returns the name of the log stream of a key shard.
func ShardStream(shard int) string { return fmt.Sprintf("shard-%02d", shard) }

// ShardUnit returns the name of the ownership unit of a key shard.
func ShardUnit(shard int) string { return fmt.Sprintf("shard:%02d", shard) }

// RackUnit returns the name of the ownership unit of a rack.
func RackUnit(dataCentre, rack string) string { return "rack:" + dataCentre + "/" + rack }
