package placement

import (
	"sort"

	"agateswitch/core/fleet"
	"agateswitch/core/rendezvous"
)

// ShardID numbers a shard of a pool from 0.
type ShardID int

// shardSize is the number of upstreams that a shard has on average.
const shardSize = 8

// ShardCount returns the number of shards of a pool with the given number of upstreams.
func ShardCount(upstreams int) int {
	return max(1, (upstreams+shardSize/2)/shardSize)
}

// ShardMap assigns upstreams to shards. It depends only on the listed upstreams, so that routers
// with the same list agree on it.
type ShardMap struct {
	count int
	shard map[fleet.UpstreamID]ShardID
}

// NewShardMap distributes the upstreams over shards. The sizes of shards differ by at most one, and
// so do the numbers of upstreams of one data centre in them where the sizes allow it. Upstreams
// that accept no new work are included, so that the map does not change when a data centre is
// taken out of service and returns.
func NewShardMap(listed []fleet.Upstream) *ShardMap {
	assigner := newShardAssigner(listed)
	for _, entry := range assigner.order {
		assigner.assign(entry)
	}
	return &ShardMap{count: len(assigner.room), shard: assigner.shard}
}

// Count returns the number of shards.
func (m *ShardMap) Count() int { return m.count }

// Shard returns the shard of an upstream; an unknown one belongs to shard 0.
func (m *ShardMap) Shard(id fleet.UpstreamID) ShardID { return m.shard[id] }

// shardAssigner assigns upstreams to shards of bounded size.
type shardAssigner struct {
	order []fleet.Upstream
	// room is the number of further upstreams for which each shard has room.
	room []int
	// dataCentreCounts counts the upstreams of each data centre in each shard, and
	// dataCentreLimit is the maximum for each shard.
	dataCentreCounts map[fleet.DataCentre][]int
	dataCentreLimit  map[fleet.DataCentre]int
	shard            map[fleet.UpstreamID]ShardID
}

func newShardAssigner(listed []fleet.Upstream) *shardAssigner {
	count := ShardCount(len(listed))
	a := &shardAssigner{
		order: append([]fleet.Upstream(nil), listed...), room: make([]int, count),
		dataCentreCounts: map[fleet.DataCentre][]int{}, dataCentreLimit: map[fleet.DataCentre]int{},
		shard: make(map[fleet.UpstreamID]ShardID, len(listed)),
	}
	sort.Slice(a.order, func(i, j int) bool {
		left, right := rendezvous.Hash(string(a.order[i].ID)), rendezvous.Hash(string(a.order[j].ID))
		if left != right {
			return left < right
		}
		return a.order[i].ID < a.order[j].ID
	})
	for i := range a.room {
		a.room[i] = len(listed) / count
		if i < len(listed)%count {
			a.room[i]++
		}
	}
	sizes := map[fleet.DataCentre]int{}
	for _, entry := range listed {
		sizes[entry.DataCentre]++
	}
	for dataCentre, size := range sizes {
		a.dataCentreCounts[dataCentre] = make([]int, count)
		a.dataCentreLimit[dataCentre] = (size + count - 1) / count
	}
	return a
}

// assign adds an upstream to the first shard with room in the upstream's rendezvous order.
func (a *shardAssigner) assign(entry fleet.Upstream) {
	counts := a.dataCentreCounts[entry.DataCentre]
	best, found := a.bestShard(entry, func(shard int) bool {
		return a.room[shard] > 0 && counts[shard] < a.dataCentreLimit[entry.DataCentre]
	})
	if !found {
		best, _ = a.bestShard(entry, func(shard int) bool { return a.room[shard] > 0 })
	}
	a.room[best]--
	counts[best]++
	a.shard[entry.ID] = ShardID(best)
}

// bestShard returns the first shard in the upstream's rendezvous order that satisfies hasRoom.
func (a *shardAssigner) bestShard(entry fleet.Upstream, hasRoom func(shard int) bool) (best int, found bool) {
	hash := rendezvous.Hash(string(entry.ID))
	var bestScore uint64
	for shard := range a.room {
		score := rendezvous.Mix(hash, uint64(shard)+1)
		if hasRoom(shard) && (!found || score > bestScore) {
			best, bestScore, found = shard, score, true
		}
	}
	return best, found
}

// Home returns the first of the upstreams in a chat's weighted rendezvous order, and false
// when there are none.
func Home(chat uint64, upstreams []fleet.Upstream) (fleet.Upstream, bool) {
	best := -1
	var bestScore float64
	for i := range upstreams {
		score := rendezvous.MixWeighted(chat, rendezvous.Hash(string(upstreams[i].ID)), weightOf(upstreams[i]))
		if best < 0 || score > bestScore {
			best, bestScore = i, score
		}
	}
	if best < 0 {
		return fleet.Upstream{}, false
	}
	return upstreams[best], true
}

// ChatHash returns the hash of a chat id that placement uses as the chat's key.
func ChatHash(chat fleet.ChatID) uint64 { return rendezvous.Hash(string(chat)) }

// weightOf returns the weight of an upstream, 1 if unset.
func weightOf(upstream fleet.Upstream) float64 {
	if upstream.Weight <= 0 {
		return 1
	}
	return upstream.Weight
}
