// Package rendezvous implements rendezvous hashing: it ranks nodes for a key by highest random weight
// (Thaler and Ravishankar, 1998). Removing a node moves only that node's keys.
package rendezvous

import (
	"math"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Score returns the score of node for key. The node with the highest score is first.
func Score(key, node string) uint64 {
	// Hashing key and node separately lets callers compute each hash once and combine them by Mix.
	return Mix(xxhash.Sum64String(key), xxhash.Sum64String(node))
}

// Mix combines the hash of a key and the hash of a node into a score.
func Mix(keyHash, nodeHash uint64) uint64 {
	// The finalizer of SplitMix64 spreads each input bit over the whole word.
	x := keyHash ^ (nodeHash * 0x9e3779b97f4a7c15)
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// Weighted returns a score with which each node has the highest score for a share of the keys that is
// proportional to its weight. A node with a weight of zero or less never wins against a positive one.
func Weighted(key, node string, weight float64) float64 {
	return MixWeighted(Hash(key), Hash(node), weight)
}

// Order returns the nodes sorted by descending score for key. It does not change nodes.
func Order(key string, nodes []string) []string {
	ordered := append([]string(nil), nodes...)
	keyHash := xxhash.Sum64String(key)
	scores := make(map[string]uint64, len(nodes))
	for _, node := range nodes {
		scores[node] = Mix(keyHash, xxhash.Sum64String(node))
	}
	sort.Slice(ordered, func(i, j int) bool {
		if scores[ordered[i]] != scores[ordered[j]] {
			return scores[ordered[i]] > scores[ordered[j]]
		}
		return ordered[i] < ordered[j]
	})
	return ordered
}

// First returns the node with the highest score for key, and false when there are no nodes.
func First(key string, nodes []string) (string, bool) {
	return NewNodes(nodes).First(key)
}

// Hash returns the hash of a key or a node, for Mix and MixWeighted.
func Hash(name string) uint64 {
	return xxhash.Sum64String(name)
}

// MixWeighted is Weighted for the hashes of a key and a node.
func MixWeighted(keyHash, nodeHash uint64, weight float64) float64 {
	if weight <= 0 {
		return math.Inf(-1)
	}
	// unit is in (0, 1): the upper 53 bits of the score, plus a half to exclude zero.
	unit := (float64(Mix(keyHash, nodeHash)>>11) + 0.5) / (1 << 53)
	return weight / -math.Log(unit)
}
