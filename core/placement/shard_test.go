package placement

import (
	"fmt"
	"testing"

	"agateswitch/core/fleet"
	"agateswitch/core/rendezvous"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// Shards have 6 to 11 upstreams, and each spans all data centres that have enough of them.
func TestShardsAreEvenAndSpanDataCentres(t *testing.T) {
	const smallest, largest = 6, 11
	rapid.Check(t, func(t *rapid.T) {
		list := upstreams(rapid.IntRange(smallest, 600).Draw(t, "upstreams"))
		shards := NewShardMap(list)
		sizes := make([]int, shards.Count())
		spans := make([]map[fleet.DataCentre]bool, shards.Count())
		for _, upstream := range list {
			shard := shards.Shard(upstream.ID)
			sizes[shard]++
			if spans[shard] == nil {
				spans[shard] = map[fleet.DataCentre]bool{}
			}
			spans[shard][upstream.DataCentre] = true
		}
		for shard, size := range sizes {
			must.Between(t, smallest, size, largest)
			must.GreaterEq(t, 3, len(spans[shard]))
		}
	})
}

// The order of the host list does not matter.
func TestShardMapIgnoresOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := upstreams(40)
		shuffled := rapid.Permutation(list).Draw(t, "shuffled")
		one, other := NewShardMap(list), NewShardMap(shuffled)
		for _, upstream := range list {
			must.Eq(t, one.Shard(upstream.ID), other.Shard(upstream.ID))
		}
	})
}

// The loss of one of n upstreams moves at most 1/n of the chats plus 5%, also when it changes the
// number of shards.
func TestLossMovesFewChats(t *testing.T) {
	const chats, tolerance = 4000, 0.05
	for _, count := range []int{10, 12, 20, 40, 44, 600} {
		all := upstreams(count)
		moved := 0
		for i := range chats {
			chat := rendezvous.Hash(fmt.Sprint("chat-", i))
			before, _ := Home(chat, all)
			after, _ := Home(chat, all[1:])
			if before.ID != after.ID {
				moved++
			}
		}
		must.LessEq(t, 1/float64(count)+tolerance, float64(moved)/chats)
	}
}
