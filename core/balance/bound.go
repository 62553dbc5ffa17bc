package balance

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Bound is what one upstream may hold at most, relative to its pool: Factor times the mean load of all upstreams of the
// pool, and Slack more requests. Upstreams that get no requests now count in the mean too.
type Bound struct {
	Factor, Slack float64
}

// Limit returns the bound for a pool with the given mean load.
func (b Bound) Limit(poolMean float64) float64 {
	if b.Factor <= 0 {
		return math.Inf(1)
	}
	return b.Factor*poolMean + b.Slack
}

// Parameters of UnseenLoad and Search.
const (
	// unseenSlack and unseenPerLoad bound the requests that other routers of a large fleet send to an upstream before this
	// one hears of them. In some tenths of a second that is about what the upstream holds in the mean.
	unseenSlack   = 2.5
	unseenPerLoad = 1.0
	// maxLoadAge is the age above which a load says nothing.
	maxLoadAge = time.Second
	// rankedRefusals is how many upstreams without room are tried in the order of the ranking. After them those with the
	// least load come first: the next ones of a ranking are often as popular.
	rankedRefusals = 2
	// maxRefusals bounds how many upstreams without room are asked for it.
	maxRefusals = 4
)

// UnseenLoad returns how many requests an upstream may hold beyond its known load, given the mean load of those that may
// get the request and the time since loads last arrived. In a small fleet, where routers publish each request at once,
// it is 0.
func UnseenLoad(isDirect bool, mean float64, age time.Duration) float64 {
	switch {
	case isDirect:
		return 0
	case age > maxLoadAge:
		return math.Inf(1)
	}
	return unseenSlack + unseenPerLoad*mean
}

// Search goes through the candidates of a ranking. Those whose known load is so near the limit that it may be above it by
// now need a place from the router that counts all requests to the upstream. The limit never ends a search without a candidate:
// Full returns those that were passed over.
type Search struct {
	candidates []Candidate
	// remaining are the candidates that were not tried yet, the next one first.
	remaining     []int
	limit, unseen float64
	// mean is the mean load of the candidates.
	mean   float64
	random *rand.Rand
	// refused holds the candidates that had no room, unasked those that were not asked for it.
	refused []refusedCandidate
	unasked []int
}

// refusedCandidate is a candidate that has no room since it holds too much.
type refusedCandidate struct{ candidate, held int }

// NewSearch begins a search through a ranking of candidates. unseen is the UnseenLoad.
func NewSearch(ranking Ranking, candidates []Candidate, unseen float64, random *rand.Rand) *Search {
	return &Search{
		candidates: candidates, remaining: slices.Clone(ranking.Order), limit: ranking.Limit, unseen: unseen, mean: ranking.MeanLoad, random: random,
	}
}

// Next returns the next candidate and whether it needs a place. It reports false after the last one.
func (s *Search) Next() (candidate int, needsPlace, found bool) {
	for len(s.remaining) > 0 {
		candidate, s.remaining = s.remaining[0], s.remaining[1:]
		switch {
		case !s.mayBeFull(candidate):
			return candidate, false, true
		case len(s.refused) < maxRefusals:
			return candidate, true, true
		}
		s.unasked = append(s.unasked, candidate)
	}
	return 0, false, false
}

// mayBeFull reports whether a candidate may have no room although its known load is below the limit.
func (s *Search) mayBeFull(candidate int) bool {
	return s.unseen > 0 && !math.IsInf(s.limit, 1) && s.candidates[candidate].Held+1+s.unseen >= s.limit
}

// Refuse records that a candidate has no room, as it holds the given number of requests.
func (s *Search) Refuse(candidate, held int) {
	s.refused = append(s.refused, refusedCandidate{candidate: candidate, held: held})
	if len(s.refused) == rankedRefusals {
		s.shuffle()
	}
}

// shuffle puts the remaining candidates into a random order, those with at most the mean load first. The routers, which know
// similar loads, would all ask for the least of them.
func (s *Search) shuffle() {
	s.random.Shuffle(len(s.remaining), func(i, j int) { s.remaining[i], s.remaining[j] = s.remaining[j], s.remaining[i] })
	slices.SortStableFunc(s.remaining, func(a, b int) int {
		return cmp.Compare(max(s.mean, s.candidates[a].Held), max(s.mean, s.candidates[b].Held))
	})
}

// Skip records that it is not known whether a candidate has room.
func (s *Search) Skip(candidate int) { s.unasked = append(s.unasked, candidate) }

// Refusals returns how many candidates had no room.
func (s *Search) Refusals() int { return len(s.refused) }

// Full returns the candidates that were passed over because of the limit, those that hold least first.
func (s *Search) Full() []int {
	slices.SortStableFunc(s.refused, func(a, b refusedCandidate) int { return a.held - b.held })
	slices.SortStableFunc(s.unasked, s.compareLoad)
	var full []int
	for _, refused := range s.refused {
		full = append(full, refused.candidate)
	}
	return append(full, s.unasked...)
}

// compareLoad compares the known loads of two candidates.
func (s *Search) compareLoad(a, b int) int {
	return cmp.Compare(s.candidates[a].Held, s.candidates[b].Held)
}
