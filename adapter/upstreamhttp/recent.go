package upstreamhttp

import (
	"hash/maphash"
	"sync"

	"agateswitch/core/fleet"
)

// recentCalls is how many calls of a client are remembered. At the users' target, where a router sends some ten requests per
// second, that is several minutes, which is longer than a caller tries again.
const recentCalls = 4096

// recentIDs remembers to which upstreams requests were sent lately, by digests. It is safe for concurrent use.
type recentIDs struct {
	seed maphash.Seed

	mu sync.Mutex
	// digests holds the remembered calls in the order of arrival, the oldest at next once it is full.
	digests []uint64
	next    int
	counts  map[uint64]int
}

func newRecentIDs() *recentIDs {
	return &recentIDs{seed: maphash.MakeSeed(), counts: map[uint64]int{}}
}

// has reports whether a request with the id was sent to the address lately.
func (r *recentIDs) has(address string, id fleet.RequestID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts[r.digest(address, id)] > 0
}

// add remembers that a request may have been sent to the address.
func (r *recentIDs) add(address string, id fleet.RequestID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	digest := r.digest(address, id)
	r.counts[digest]++
	if len(r.digests) < recentCalls {
		r.digests = append(r.digests, digest)
		return
	}
	oldest := r.digests[r.next]
	if r.counts[oldest]--; r.counts[oldest] == 0 {
		delete(r.counts, oldest)
	}
	r.digests[r.next] = digest
	r.next = (r.next + 1) % recentCalls
}

func (r *recentIDs) digest(address string, id fleet.RequestID) uint64 {
	return maphash.String(r.seed, address+" "+string(id))
}
