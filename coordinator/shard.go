package coordinator

import (
	"fmt"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	"github.com/egretflow/egretflow"
)

// maxShardServers is the number of servers above which a pool is divided. A larger
// shard places requests better; a coordinator gets about twelve messages for each
// request of its shard.
const maxShardServers = 128

// shardCount returns the number of shards of a pool.
func shardCount(p *egretflow.Pool) int {
	if p.Kind != egretflow.PoolKindModel {
		return 1
	}
	return max(1, (len(p.Servers)+maxShardServers-1)/maxShardServers)
}

// shardName returns the name of the pool that holds shard n of count.
func shardName(pool egretflow.PoolName, n, count int) egretflow.PoolName {
	if count == 1 {
		return pool
	}
	return egretflow.PoolName(fmt.Sprintf("%s.%d", pool, n))
}

// shardOf returns the shard of a server. When the number of shards changes, only the
// servers that move to or from the last one change their shard.
func shardOf(s egretflow.ServerName, count int) int {
	best, bestScore := 0, uint64(0)
	for n := range count {
		if score := xxhash.Sum64String(fmt.Sprintf("%s/%d", s, n)); score >= bestScore {
			best, bestScore = n, score
		}
	}
	return best
}

// splitPool returns the shards of a pool.
func splitPool(p *egretflow.Pool) []egretflow.Pool {
	count := shardCount(p)
	if count == 1 {
		return []egretflow.Pool{*p}
	}
	shards := make([]egretflow.Pool, count)
	for n := range shards {
		shards[n] = *p
		shards[n].Name, shards[n].Servers = shardName(p.Name, n, count), nil
	}
	for n := range p.Servers {
		s := &shards[shardOf(p.Servers[n].Name, count)]
		s.Servers = append(s.Servers, p.Servers[n])
	}
	return shards
}

// SplitPools returns tables in which each large model pool is replaced by its shards.
// Routes keep naming the whole pool.
func SplitPools(t *egretflow.Tables) *egretflow.Tables {
	split := *t
	split.Pools = nil
	for n := range t.Pools {
		split.Pools = append(split.Pools, splitPool(&t.Pools[n])...)
	}
	return &split
}

// shard is a part of a pool, as this instance chooses between them.
type shard struct {
	pool egretflow.PoolName
	// capacity counts the servers that run requests, which are all but prefill
	// and draining ones.
	capacity int
}

// shardsOf lists the shards of a pool.
func shardsOf(p *egretflow.Pool) []shard {
	var shards []shard
	for _, part := range splitPool(p) {
		s := shard{pool: part.Name}
		for n := range part.Servers {
			if part.Servers[n].Role != egretflow.RolePrefill && !part.Servers[n].Drain {
				s.capacity++
			}
		}
		shards = append(shards, s)
	}
	return shards
}

// chooseShard draws a shard with a probability proportional to its capacity.
func chooseShard(shards []shard, r *rand.Rand) egretflow.PoolName {
	total := 0
	for _, s := range shards {
		total += s.capacity
	}
	if total == 0 {
		return shards[0].pool
	}
	drawn := r.IntN(total)
	for _, s := range shards {
		if drawn -= s.capacity; drawn < 0 {
			return s.pool
		}
	}
	return shards[len(shards)-1].pool
}
