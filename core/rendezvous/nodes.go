package rendezvous

import "github.com/cespare/xxhash/v2"

// Nodes is a set of nodes whose hashes are computed once, for many keys. It is immutable.
type Nodes struct {
	names  []string
	hashes []uint64
}

// NewNodes returns a set of the named nodes. It retains the slice.
func NewNodes(names []string) *Nodes {
	n := &Nodes{names: names, hashes: make([]uint64, len(names))}
	for i, name := range names {
		n.hashes[i] = xxhash.Sum64String(name)
	}
	return n
}

// First returns the node with the highest score for key, and false when there are no nodes. Its result
// is that of the function First.
func (n *Nodes) First(key string) (string, bool) {
	best := -1
	var bestScore uint64
	keyHash := xxhash.Sum64String(key)
	for i, hash := range n.hashes {
		score := Mix(keyHash, hash)
		if best < 0 || score > bestScore || (score == bestScore && n.names[i] < n.names[best]) {
			best, bestScore = i, score
		}
	}
	if best < 0 {
		return "", false
	}
	return n.names[best], true
}
