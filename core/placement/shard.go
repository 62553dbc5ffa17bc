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

// ShardCount returns how many shards a pool of a number of upstreams has.
func ShardCount(upstreams int) int {
	return max(1, (upstreams+shardSize/2)/shardSize)
}

// ShardMap tells which shard an upstream belongs to. It is a function of the listed
// upstreams alone, so that routers with the same list agree on it.
type ShardMap struct {
	count int
	shard map[fleet.UpstreamID]ShardID
}

// NewShardMap deals the upstreams to shards. Shards differ in size by one at most, and so do
// a data centre's parts of them where the sizes allow it. Upstreams that take no new work
// count too, so that a data centre can leave and return without changing the map.
func NewShardMap(listed []fleet.Upstream) *ShardMap {
	d := newDealer(listed)
	for _, entry := range d.order {
		d.place(entry)
	}
	return &ShardMap{count: len(d.free), shard: d.shard}
}

// Count returns the number of shards.
func (m *ShardMap) Count() int { return m.count }

// Shard returns the shard of an upstream; an unknown one belongs to shard 0.
func (m *ShardMap) Shard(id fleet.UpstreamID) ShardID { return m.shard[id] }

// dealer assigns upstreams to shards with bounded sizes.
type dealer struct {
	order []fleet.Upstream
	// free is how many more upstreams each shard takes.
	free []int
	// parts counts the upstreams of each data centre in each shard, partLimit bounds them.
	parts     map[fleet.DataCentre][]int
	partLimit map[fleet.DataCentre]int
	shard     map[fleet.UpstreamID]ShardID
}

func newDealer(listed []fleet.Upstream) *dealer {
	count := ShardCount(len(listed))
	d := &dealer{
		order: append([]fleet.Upstream(nil), listed...), free: make([]int, count),
		parts: map[fleet.DataCentre][]int{}, partLimit: map[fleet.DataCentre]int{},
		shard: make(map[fleet.UpstreamID]ShardID, len(listed)),
	}
	sort.Slice(d.order, func(i, j int) bool {
		left, right := rendezvous.Hash(string(d.order[i].ID)), rendezvous.Hash(string(d.order[j].ID))
		if left != right {
			return left < right
		}
		return d.order[i].ID < d.order[j].ID
	})
	for i := range d.free {
		d.free[i] = len(listed) / count
		if i < len(listed)%count {
			d.free[i]++
		}
	}
	sizes := map[fleet.DataCentre]int{}
	for _, entry := range listed {
		sizes[entry.DataCentre]++
	}
	for dataCentre, size := range sizes {
		d.parts[dataCentre] = make([]int, count)
		d.partLimit[dataCentre] = (size + count - 1) / count
	}
	return d
}

// place gives an upstream to the shard that it ranks first among those with room for it.
func (d *dealer) place(entry fleet.Upstream) {
	parts := d.parts[entry.DataCentre]
	best, found := d.best(entry, func(shard int) bool {
		return d.free[shard] > 0 && parts[shard] < d.partLimit[entry.DataCentre]
	})
	if !found {
		best, _ = d.best(entry, func(shard int) bool { return d.free[shard] > 0 })
	}
	d.free[best]--
	parts[best]++
	d.shard[entry.ID] = ShardID(best)
}

func (d *dealer) best(entry fleet.Upstream, hasRoom func(shard int) bool) (best int, found bool) {
	hash := rendezvous.Hash(string(entry.ID))
	var bestScore uint64
	for shard := range d.free {
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

// ChatHash returns the key under which a chat is placed.
func ChatHash(chat fleet.ChatID) uint64 { return rendezvous.Hash(string(chat)) }

func weightOf(upstream fleet.Upstream) float64 {
	if upstream.Weight <= 0 {
		return 1
	}
	return upstream.Weight
}
