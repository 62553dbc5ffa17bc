// Package balance ranks the upstreams of a pool for one request. It answers three loads: prompts
// whose first parts return within minutes, which should meet an engine that has them in its
// cache; surges on one such prompt, which should not overload that engine; and many long new
// prompts at once, each of which should meet an engine that has little left to read.
package balance

import (
	"math"
	"sort"

	"agateswitch/core/fleet"
	"agateswitch/core/rendezvous"
)

// Candidate is an upstream that may get the request.
type Candidate struct {
	ID fleet.UpstreamID
	// Hash is rendezvous.Hash of ID.
	Hash uint64
	// Running is the number of requests that the upstream is believed to run.
	Running float64
	// PendingPrefill is the number of prompt tokens that it has still to read for them.
	PendingPrefill float64
	// Uncached is how many tokens of this prompt it has not in its cache.
	Uncached float64
	// Fetchable is how many of those it could copy from another engine instead of reading them.
	Fetchable float64
	// FailureRate is the recent share of its calls that failed.
	FailureRate float64
}

// Figures of the ranking.
const (
	// spread is the multiple of the pool's mean load up to which an upstream gets more. The
	// fleet's bound is 2; this leaves room for what other routers add before they are heard.
	spread = 1.4
	// spreadSlack keeps requests with their cache while the pool is nearly idle.
	spreadSlack = 2.0
	// runningTokens is what a running request delays another one, in prompt tokens read in the
	// same time: its steps take turns with the reading of prompts.
	runningTokens = 40
	// rereadFactor weighs tokens that are read again against tokens that are waited for: the
	// engine's time is lost to others, too.
	rereadFactor = 1.5
	// fetchFactor is the same for tokens that are copied from another engine: a copy takes
	// about 0.6 of the time of reading, and neither engine computes meanwhile.
	fetchFactor = 1.2
	// homeShare of a prompt is taken to be cached on the first engine in the key's order while
	// no engine is known to have it. All routers, and one that has lost its memory, then agree.
	homeShare = 0.5
	// OldFiguresStep is the Step for figures that are some hundred milliseconds old: an engine
	// reads that many tokens in 40 ms.
	OldFiguresStep = 2048
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
	// Warm is an upstream with a part of the prompt in its cache.
	Warm Reason = "warm"
	// Spread is one without, since those with are loaded.
	Spread Reason = "spread"
	// Cold is one without when there is none with.
	Cold Reason = "cold"
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

// Prompt is what the ranking needs to know of a request.
type Prompt struct {
	// Key names the last part that other requests share. It breaks ties in the same way on all
	// routers.
	Key string
	// Known tells whether some engine is believed to have that part.
	Known bool
	// Tokens is the prompt's length.
	Tokens float64
	// Step makes costs that differ by less count as equal. Routers whose figures are old would
	// else all send to the same engine until they hear of it. Zero for fresh figures.
	Step float64
	// Draw breaks ties in place of Key when the engines that have the prompt are loaded.
	Draw uint64
}

// ByPrompt ranks candidates for a prompt by the time until they could answer it.
func ByPrompt(prompt Prompt, candidates []Candidate) Ranking {
	ranking := newRanking(candidates)
	if len(candidates) == 0 {
		return ranking
	}
	hash := rendezvous.Hash(prompt.Key)
	faults := faultyOnes(candidates)
	ranks := make([]rank, len(candidates))
	anyWarm, home := false, 0
	for i, c := range candidates {
		if rendezvous.Mix(hash, c.Hash) > rendezvous.Mix(hash, candidates[home].Hash) {
			home = i
		}
		ranks[i] = rank{
			faulty: faults[i], loaded: c.Running > ranking.Bound, tie: rendezvous.Mix(hash, c.Hash),
			cost: c.PendingPrefill + runningTokens*c.Running + rereadFactor*(c.Uncached-c.Fetchable) + fetchFactor*c.Fetchable,
		}
		anyWarm = anyWarm || c.Uncached < prompt.Tokens
	}
	if !prompt.Known {
		ranks[home].cost -= rereadFactor * homeShare * prompt.Tokens
	}
	if prompt.Step > 0 {
		roughen(ranks, candidates, prompt)
	}
	sort.Slice(ranking.Order, func(a, b int) bool { return ranks[ranking.Order[a]].before(ranks[ranking.Order[b]]) })
	switch {
	case candidates[ranking.Order[0]].Uncached < prompt.Tokens:
		ranking.Reason = Warm
	case anyWarm:
		ranking.Reason = Spread
	default:
		ranking.Reason = Cold
	}
	return ranking
}

// roughen makes similar costs equal, and ties random where a surge leaves the warm engines.
func roughen(ranks []rank, candidates []Candidate, prompt Prompt) {
	surge := false
	for i := range ranks {
		ranks[i].cost = math.Floor(ranks[i].cost / prompt.Step)
		surge = surge || ranks[i].loaded && candidates[i].Uncached < prompt.Tokens
	}
	if !surge {
		return
	}
	for i := range ranks {
		ranks[i].tie = rendezvous.Mix(prompt.Draw, candidates[i].Hash)
	}
}

// rank is what candidates are compared by.
type rank struct {
	faulty, loaded bool
	cost           float64
	tie            uint64
}

func (r rank) before(other rank) bool {
	switch {
	case r.faulty != other.faulty:
		return !r.faulty
	case r.loaded != other.loaded:
		return !r.loaded
	case r.cost != other.cost:
		return r.cost < other.cost
	}
	return r.tie > other.tie
}

// ByLoad ranks candidates by their load. Tie returns a random order of two equals.
func ByLoad(candidates []Candidate, tie func(i int) uint64) Ranking {
	ranking := newRanking(candidates)
	ranking.Reason = LeastLoaded
	faults := faultyOnes(candidates)
	sort.Slice(ranking.Order, func(a, b int) bool {
		i, j := ranking.Order[a], ranking.Order[b]
		return rank{faulty: faults[i], cost: candidates[i].Running, tie: tie(i)}.before(
			rank{faulty: faults[j], cost: candidates[j].Running, tie: tie(j)})
	})
	return ranking
}

func newRanking(candidates []Candidate) Ranking {
	ranking := Ranking{Order: make([]int, len(candidates))}
	for i, candidate := range candidates {
		ranking.Order[i] = i
		ranking.Mean += candidate.Running / float64(len(candidates))
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
