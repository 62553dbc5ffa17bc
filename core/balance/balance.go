// Package balance ranks the upstreams of a pool for one request. It is made for three kinds of load:
// prompts whose first parts return within minutes and should reach an engine that has them cached;
// surges on one such prompt, which should not overload that engine; and many long new prompts at
// once, each of which should reach an engine with few pending prefill tokens.
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
	// Running is the number of requests that the upstream is assumed to run. It may be a mean of the last seconds.
	Running float64
	// Held is the last known number of the requests that it runs.
	Held float64
	// Slots is the number of requests that it runs concurrently.
	Slots int
	// RateLimited is true if the upstream has stated a rate limit.
	RateLimited bool
	// PendingPrefill is the number of prompt tokens that it still has to read for them.
	PendingPrefill float64
	// Uncached is the number of tokens of this prompt that are not in its cache.
	Uncached float64
	// Fetchable is how many of those it could copy from another engine instead of reading them.
	Fetchable float64
	// FailureRate is the share of its recent calls that failed.
	FailureRate float64
	// WorkTime is how long work is expected to take there, relative to the usual time. 0 means that the upstream does not state it.
	WorkTime float64
}

// Parameters of the ranking. Costs are in prompt tokens to read.
const (
	// loadBoundFactor times the candidates' mean load is the load above which an upstream counts as
	// overloaded, unless the limit for the whole pool is below it. The margin to the limit is for requests that
	// other routers have sent but not yet reported.
	loadBoundFactor = 1.4
	// loadBoundSlack is added to the bound, so that requests reach the engine that has their prompt
	// cached while the pool is nearly idle.
	loadBoundSlack = 2.0
	// minRoom is how far the limit has to be above the candidates' mean load to be kept.
	minRoom = 1.0
	// runningCostTokens is the cost of each running request: its decoding steps take turns with the
	// reading of prompts, which delays a new request by the time of reading that many tokens.
	runningCostTokens = 40
	// prefillCostFactor is the cost of a token of the prompt that the engine has to read, compared
	// with a pending token of other requests. It is above 1 since reading also delays others.
	prefillCostFactor = 1.5
	// fetchCostFactor is the same for a token that is copied from another engine: a copy takes
	// about 0.6 of the time of reading, and neither engine computes meanwhile.
	fetchCostFactor = 1.2
	// homeCachedShare is the share of a prompt that its home, the first engine in its key's rendezvous
	// order, is assumed to have cached while no engine is known to have it. All routers, also
	// restarted ones, then prefer the same engine.
	homeCachedShare = 0.5
	// StaleLoadCostGranularity is the CostGranularity for loads that are some hundred milliseconds
	// old. An engine reads that many tokens in 40 ms.
	StaleLoadCostGranularity = 2048
	// minFaultyRate is the failure rate above which an upstream counts as faulty and ranks last,
	// if it also fails more than minFaultyRatio times as often as the pool's mean.
	minFaultyRate = 0.25
	// minFaultyRatio compares an upstream's failure rate with the pool's mean. If all upstreams fail
	// equally often, none is faulty.
	minFaultyRatio = 2.0
)

// Reason names the rule that put an upstream first.
type Reason string

// Reasons for the first upstream of a ranking.
const (
	// ReasonWarm means that the upstream has a part of the prompt cached.
	ReasonWarm Reason = "warm"
	// ReasonSpread means that it has no part cached, and those that have one rank lower.
	ReasonSpread Reason = "spread"
	// ReasonCold means that no upstream has a part of the prompt cached.
	ReasonCold Reason = "cold"
	// ReasonLeastLoaded means that it has the least load.
	ReasonLeastLoaded Reason = "least_loaded"
	// ReasonFreeSlots means that it was drawn by its free slots.
	ReasonFreeSlots Reason = "free_slots"
)

// Ranking is an order of candidates, best first.
type Ranking struct {
	Order  []int
	Reason Reason
	// MeanLoad is the mean load of the candidates. LoadBound is the load above which an upstream ranks after
	// those below it. Limit is what a candidate may hold.
	MeanLoad, LoadBound, Limit float64
	// FaultyCount is how many of the last candidates fail much more often than the others.
	FaultyCount int
}

// Prompt describes a request's prompt.
type Prompt struct {
	// Key is the id of the last part that the prompt shares with other requests. Its hash breaks
	// ties, in the same way on all routers.
	Key string
	// IsCached is true when some engine is assumed to have that part cached.
	IsCached bool
	// Tokens is the prompt's length.
	Tokens float64
	// CostGranularity is the multiple to which costs are rounded down, so that similar costs are
	// equal. Routers with stale loads would otherwise all choose the same engine until they receive
	// each other's reports. It is zero, for no rounding, while loads are fresh.
	CostGranularity float64
	// RandomTie is a random number that breaks ties in place of Key when rounded costs are compared
	// and an engine that has the prompt cached is overloaded.
	RandomTie uint64
	// PacksLongReads makes long reads prefer engines that read another one already, if loads are stale.
	PacksLongReads bool
}

// ByPrompt ranks candidates by the estimated time until they answer the prompt. Faulty upstreams rank
// last, and overloaded ones before them, those that hold least above the limit first. limit is what an upstream may
// hold at most.
func ByPrompt(prompt Prompt, candidates []Candidate, limit float64) Ranking {
	ranking := newRanking(candidates, limit)
	if len(candidates) == 0 {
		return ranking
	}
	hash := rendezvous.Hash(prompt.Key)
	faults := findFaulty(candidates)
	ranks := make([]rank, len(candidates))
	anyWarm, home := false, 0
	for i, c := range candidates {
		if rendezvous.Mix(hash, c.Hash) > rendezvous.Mix(hash, candidates[home].Hash) {
			home = i
		}
		ranks[i] = rank{
			faulty: faults[i], overloaded: c.Running > ranking.LoadBound, excess: excess(c, ranking.Limit), tie: rendezvous.Mix(hash, c.Hash),
			cost: ExpectedTokens(c.Running, pendingBefore(c, prompt), c.Uncached, c.Fetchable),
		}
		anyWarm = anyWarm || c.Uncached < prompt.Tokens
	}
	if !prompt.IsCached {
		ranks[home].cost -= prefillCostFactor * homeCachedShare * prompt.Tokens
	}
	expectTimes(ranks, candidates, prompt.RandomTie)
	if prompt.CostGranularity > 0 {
		roundCosts(ranks, candidates, prompt)
	}
	sort.Slice(ranking.Order, func(a, b int) bool { return ranks[ranking.Order[a]].before(ranks[ranking.Order[b]]) })
	switch {
	case candidates[ranking.Order[0]].Uncached < prompt.Tokens:
		ranking.Reason = ReasonWarm
	case anyWarm:
		ranking.Reason = ReasonSpread
	default:
		ranking.Reason = ReasonCold
	}
	return ranking
}

// roundCosts rounds costs down to the prompt's granularity. If a warm engine is overloaded, ties
// become random, so that a surge spreads over the cold engines.
func roundCosts(ranks []rank, candidates []Candidate, prompt Prompt) {
	surge := false
	for i := range ranks {
		ranks[i].cost = math.Floor(ranks[i].cost / prompt.CostGranularity)
		surge = surge || ranks[i].overloaded && candidates[i].Uncached < prompt.Tokens
	}
	if !surge {
		return
	}
	for i := range ranks {
		ranks[i].tie = rendezvous.Mix(prompt.RandomTie, candidates[i].Hash)
	}
}

// rank holds the values by which candidates are compared.
type rank struct {
	faulty, overloaded bool
	// excess is by how much the request would raise the load above the limit.
	excess float64
	cost   float64
	tie    uint64
}

// before reports whether r ranks before other.
func (r rank) before(other rank) bool {
	switch {
	case r.faulty != other.faulty:
		return !r.faulty
	case r.overloaded != other.overloaded:
		return !r.overloaded
	case r.excess != other.excess:
		return r.excess < other.excess
	case r.cost != other.cost:
		return r.cost < other.cost
	}
	return r.tie > other.tie
}

// excess returns by how much one more request raises a candidate's load above the limit.
func excess(c Candidate, limit float64) float64 { return max(0, c.Held+1-limit) }

// ByLoad ranks candidates by their number of running requests, faulty ones last. Tie returns the
// number that breaks ties for the candidate with index i.
func ByLoad(candidates []Candidate, tie func(i int) uint64) Ranking {
	ranking := newRanking(candidates, math.Inf(1))
	ranking.Reason = ReasonLeastLoaded
	faults := findFaulty(candidates)
	sort.Slice(ranking.Order, func(a, b int) bool {
		i, j := ranking.Order[a], ranking.Order[b]
		return rank{faulty: faults[i], cost: candidates[i].Running, tie: tie(i)}.before(
			rank{faulty: faults[j], cost: candidates[j].Running, tie: tie(j)})
	})
	return ranking
}

// minFreeSlots is the number of free slots that an upstream counts with at least: loads that are some
// hundred milliseconds old say little about a slot that is held for less.
const minFreeSlots = 0.5

// ByFreeSlots draws an order of candidates, each in proportion to the slots that it has free, faulty ones
// last, and those above the limit, which an upstream may hold at most, before them. It is made for a small service behind many
// routers: they know loads that are older than most of its requests, and would all send to the upstream that had the least.
// random is uniform in [0, 1).
func ByFreeSlots(candidates []Candidate, limit float64, random func() float64) Ranking {
	ranking := newRanking(candidates, limit)
	ranking.Reason = ReasonFreeSlots
	faults := findFaulty(candidates)
	for _, isFaulty := range faults {
		if isFaulty {
			ranking.FaultyCount++
		}
	}
	// The order of exponential variables with these rates is a draw without replacement.
	arrivals := make([]float64, len(candidates))
	for i, c := range candidates {
		arrivals[i] = -math.Log(1-random()) / max(float64(c.Slots)-c.Running, minFreeSlots)
	}
	sort.Slice(ranking.Order, func(a, b int) bool {
		i, j := ranking.Order[a], ranking.Order[b]
		return rank{faulty: faults[i], excess: excess(candidates[i], ranking.Limit), cost: arrivals[i]}.before(
			rank{faulty: faults[j], excess: excess(candidates[j], ranking.Limit), cost: arrivals[j]})
	})
	return ranking
}

// newRanking returns a ranking in the candidates' order with the mean load and the load bound.
func newRanking(candidates []Candidate, limit float64) Ranking {
	ranking := Ranking{Order: make([]int, len(candidates))}
	for i := range candidates {
		ranking.Order[i] = i
	}
	ranking.MeanLoad = meanLoad(candidates)
	ranking.LoadBound = loadBoundFactor*ranking.MeanLoad + loadBoundSlack
	ranking.Limit = limit
	if limit < ranking.MeanLoad+minRoom {
		// The candidates together hold more than the limit allows, whichever of them gets the request.
		ranking.Limit = ranking.LoadBound
	}
	ranking.LoadBound = min(ranking.LoadBound, ranking.Limit-1)
	return ranking
}

// meanLoad returns the mean load of the candidates without a rate limit, or of all if each has one. If those with a
// limit counted, all others would count as overloaded.
func meanLoad(candidates []Candidate) float64 {
	load, upstreams, limitedLoad := 0.0, 0, 0.0
	for _, candidate := range candidates {
		if candidate.RateLimited {
			limitedLoad += candidate.Running
			continue
		}
		load += candidate.Running
		upstreams++
	}
	if upstreams == 0 {
		return limitedLoad / float64(max(1, len(candidates)))
	}
	return load / float64(upstreams)
}

// findFaulty returns for each candidate whether it fails much more often than the pool's mean.
func findFaulty(candidates []Candidate) []bool {
	mean := 0.0
	for _, candidate := range candidates {
		mean += candidate.FailureRate / float64(len(candidates))
	}
	faults := make([]bool, len(candidates))
	for i, candidate := range candidates {
		faults[i] = candidate.FailureRate > minFaultyRate && candidate.FailureRate > minFaultyRatio*mean
	}
	return faults
}
