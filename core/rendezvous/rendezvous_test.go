package rendezvous

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func nodes(n int) []string {
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("node-%d", i)
	}
	return names
}

// Removing one node moves only that node's keys.
func TestRemovalMovesOnlyKeysOfRemovedNode(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := nodes(rapid.IntRange(2, 40).Draw(t, "nodes"))
		removed := rapid.IntRange(0, len(all)-1).Draw(t, "lost")
		key := rapid.String().Draw(t, "key")
		rest := append(append([]string{}, all[:removed]...), all[removed+1:]...)
		before, _ := First(key, all)
		after, _ := First(key, rest)
		if before != all[removed] && after != before {
			t.Fatalf("key moved from %s to %s though %s was lost", before, after, all[removed])
		}
	})
}

func TestFirstIsHeadOfOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := nodes(rapid.IntRange(1, 40).Draw(t, "nodes"))
		key := rapid.String().Draw(t, "key")
		first, found := First(key, all)
		must.True(t, found)
		must.Eq(t, Order(key, all)[0], first)
	})
}

// Each of n nodes of equal weight gets 1/n of the keys, with a tolerance of a tenth.
func TestScoreSpreadsKeys(t *testing.T) {
	const keys, tolerance = 100_000, 0.1
	all := nodes(10)
	counts := map[string]int{}
	for i := range keys {
		first, _ := First(fmt.Sprintf("chat-%d", i), all)
		counts[first]++
	}
	for _, node := range all {
		share := float64(counts[node]) / (float64(keys) / float64(len(all)))
		must.Between(t, 1-tolerance, share, 1+tolerance)
	}
}

func TestWeightedFollowsWeights(t *testing.T) {
	const keys, tolerance = 100_000, 0.1
	heavy := 0
	for i := range keys {
		key := fmt.Sprintf("chat-%d", i)
		if Weighted(key, "heavy", 3) > Weighted(key, "light", 1) {
			heavy++
		}
	}
	must.Between(t, 0.75*(1-tolerance), float64(heavy)/keys, 0.75*(1+tolerance))
}
