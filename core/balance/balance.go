// Package balance ranks the upstreams of a pool for one request. It answers two loads: prompts
// whose first parts return within minutes, which should meet an engine that has them in its
// cache, and surges on one such prompt, which should not overload that engine.
package balance

import (
	"sort"

	"agateswitch/core/fleet"
	"agateswitch/core/rendezvous"
)

// Candidate is an upstream that may get the request.
type Candidate struct {
	ID fleet.UpstreamID
	// Hash is rendezvous.Hash of ID.
	Hash uint64
	// Load is the number of requests that the upstream is believed to run, from all routers.
	Load float64
	// FailureRate is the recent share of its calls that failed.
	FailureRate float64
}

// Figures of the ranking.
const (
	// spread is the multiple of the pool's mean load up to which the upstream with the warm
	// cache is taken. The fleet's bound is 2; this leaves room for what other routers add
	// before they are heard.
	spread = 1.4
	// spreadSlack keeps requests with their cache while the pool is nearly idle.
	spreadSlack = 2.0
	// faulty is the failure rate from which an upstream comes last, if others fail much less.
	faulty = 0.25
	// faultyRatio is how many times the pool's mean failure rate that is at the least. Where
	// all upstreams fail alike, none is avoided.
	faultyRatio = 2.0
)

// Reason names the rule that put an upstream first.
type Reason string

// Reasons.
const (
	// Warm is the upstream that the prompt's shared parts belong to.
	Warm Reason = "warm"
	// Spread is the next one in the prompt's order, since those before it are loaded.
	Spread Reason = "spread"
	// LeastLoaded is the one with the least load.
	LeastLoaded Reason = "least_loaded"
)

// Ranking is an order of candidates, best first.
type Ranking struct {
	Order  []int
	Reason Reason
	// Mean is the pool's mean load, and Bound what the first upstream may have.
	Mean, Bound float64
}

// ByPrompt ranks candidates for a prompt whose shared parts have a key.
func ByPrompt(key string, candidates []Candidate) Ranking {
	ranking := newRanking(candidates)
	hash := rendezvous.Hash(key)
	score := func(i int) uint64 { return rendezvous.Mix(hash, candidates[i].Hash) }
	sort.Slice(ranking.Order, func(a, b int) bool { return score(ranking.Order[a]) > score(ranking.Order[b]) })
	if len(candidates) == 0 {
		return ranking
	}
	home := ranking.Order[0]
	faults := faultyOnes(candidates)
	class := func(i int) int {
		switch {
		case faults[i]:
			return 2
		case candidates[i].Load > ranking.Bound:
			return 1
		}
		return 0
	}
	sort.SliceStable(ranking.Order, func(a, b int) bool {
		i, j := ranking.Order[a], ranking.Order[b]
		if class(i) != class(j) {
			return class(i) < class(j)
		}
		return class(i) == 1 && candidates[i].Load < candidates[j].Load
	})
	ranking.Reason = Warm
	if ranking.Order[0] != home {
		ranking.Reason = Spread
	}
	return ranking
}

// ByLoad ranks candidates by their load. Tie returns a random order of two equals.
func ByLoad(candidates []Candidate, tie func(i int) uint64) Ranking {
	ranking := newRanking(candidates)
	ranking.Reason = LeastLoaded
	faults := faultyOnes(candidates)
	sort.Slice(ranking.Order, func(a, b int) bool {
		i, j := ranking.Order[a], ranking.Order[b]
		if faults[i] != faults[j] {
			return faults[j]
		}
		if candidates[i].Load != candidates[j].Load {
			return candidates[i].Load < candidates[j].Load
		}
		return tie(i) < tie(j)
	})
	return ranking
}

func newRanking(candidates []Candidate) Ranking {
	ranking := Ranking{Order: make([]int, len(candidates))}
	for i, candidate := range candidates {
		ranking.Order[i] = i
		ranking.Mean += candidate.Load / float64(len(candidates))
	}
	ranking.Bound = spread*ranking.Mean + spreadSlack
	return ranking
}

// faultyOnes tells which candidates fail much more often than the others.
func faultyOnes(candidates []Candidate) []bool {
	mean := 0.0
	for _, candidate := range candidates {
		mean += candidate.FailureRate / float64(len(candidates))
	}
	faults := make([]bool, len(candidates))
	for i, candidate := range candidates {
		faults[i] = candidate.FailureRate > faulty && candidate.FailureRate > faultyRatio*mean
	}
	return faults
}
