package placement

import (
	"math"
	"sort"

	"agateswitch/core/rendezvous"
)

// ownershipSlack is the maximum number of shards of one router as a multiple of the mean.
const ownershipSlack = 1.25

// Owners assigns each shard to its owner: the first router in the shard's rendezvous order that
// owns fewer shards than the limit, which is the mean times ownershipSlack, rounded up. The limit
// bounds the control traffic of a router. Shard names must be unique. Without routers the result
// is empty.
func Owners(shards, routers []string) map[string]string {
	if len(routers) == 0 {
		return nil
	}
	ordered := append([]string(nil), shards...)
	sort.Strings(ordered)
	hashes := make([]uint64, len(routers))
	for i, router := range routers {
		hashes[i] = rendezvous.Hash(router)
	}
	limit := int(math.Ceil(ownershipSlack * float64(len(shards)) / float64(len(routers))))
	owned := make([]int, len(routers))
	owners := make(map[string]string, len(shards))
	for _, shard := range ordered {
		best := firstWithRoom(rendezvous.Hash(shard), routers, hashes, owned, limit)
		owned[best]++
		owners[shard] = routers[best]
	}
	return owners
}

// firstWithRoom returns the index of the first router in the shard's rendezvous order that is
// below the limit.
func firstWithRoom(shard uint64, routers []string, hashes []uint64, owned []int, limit int) int {
	best := -1
	var bestScore uint64
	for i := range routers {
		if owned[i] >= limit {
			continue
		}
		score := rendezvous.Mix(shard, hashes[i])
		if best < 0 || score > bestScore || (score == bestScore && routers[i] < routers[best]) {
			best, bestScore = i, score
		}
	}
	return best
}
