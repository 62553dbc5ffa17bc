package placement

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func names(prefix string, count int) []string {
	list := make([]string, count)
	for i := range list {
		list[i] = fmt.Sprint(prefix, i)
	}
	return list
}

// No router owns more shards than the limit, and the order of the routers does not matter.
func TestOwnersAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shards := names("shard-", rapid.IntRange(1, 100).Draw(t, "shards"))
		routers := names("router-", rapid.IntRange(1, 100).Draw(t, "routers"))
		owners := Owners(shards, routers)
		must.MapLen(t, len(shards), owners)
		owned := map[string]int{}
		for _, owner := range owners {
			owned[owner]++
		}
		mean := float64(len(shards)) / float64(len(routers))
		for _, count := range owned {
			must.Less(t, ownershipSlack*mean+1, float64(count))
		}
		must.Eq(t, owners, Owners(shards, rapid.Permutation(routers).Draw(t, "shuffled")))
	})
}

// At the target size, the loss of a router moves its own shard and at most two others.
func TestRouterLossMovesFewShards(t *testing.T) {
	shards, routers := names("shard-", 75), names("router-", 380)
	before := Owners(shards, routers)
	for lost := range routers {
		rest := append(append([]string{}, routers[:lost]...), routers[lost+1:]...)
		moved := 0
		for shard, owner := range Owners(shards, rest) {
			if owner != before[shard] {
				moved++
			}
		}
		must.LessEq(t, 3, moved)
	}
}
