package gateway

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"agateswitch/core/balance"
	"agateswitch/core/fleet"
	"agateswitch/core/pace"
	"agateswitch/core/routing"
	"agateswitch/core/warmth"
	"agateswitch/node/workload"
)

// minCopyTokens is how many tokens more another engine must have in its cache for a copy to be
// worth the transfer's setup, which takes as long as reading about 300 tokens.
const minCopyTokens = 512

// choice is an upstream for one attempt, and why.
type choice struct {
	engine   *engine
	upstream fleet.Upstream
	ranking  balance.Ranking
	load     workload.Load
	// uncached is how many tokens of the prompt the upstream has to read.
	uncached int
	// fetchFrom is the address of an engine that has more of the prompt.
	fetchFrom string
	ticket    *workload.Ticket
	// sentAt is when the attempt began, and first how long its first byte took.
	sentAt time.Time
	first  time.Duration
	// events is how many events of a stream came.
	events int
}

// candidates are upstreams side by side with what the ranking knows of them.
type candidates struct {
	engines []*engine
	ranked  []balance.Candidate
}

func (c *candidates) add(e *engine, ranked balance.Candidate) {
	c.engines, c.ranked = append(c.engines, e), append(c.ranked, ranked)
}

// choose takes an upstream of the pool. It returns nil when none may get the request now.
func (g *Gateway) choose(current *snapshot, pool *routing.Pool, prompt []warmth.Part, tried map[*engine]bool, now time.Time) *choice {
	var preferred, usable, ejected candidates
	total := promptTokens(prompt)
	cached := g.Workload.CachedTokens(prompt)
	sources := fetchSources(current, pool.ID, cached, now)
	versions := g.Moves.Choose(pool.ID, presentVersions(current, pool.ID))
	for _, e := range current.engines[pool.ID] {
		s := e.standing(now)
		if tried[e] || s.upstream.State != fleet.Live || current.out[s.upstream.DataCentre] ||
			versions.Avoid != "" && s.upstream.Version == versions.Avoid {
			continue
		}
		load := g.Workload.Load(e.id)
		candidate := balance.Candidate{
			ID: e.id, Hash: e.hash, FailureRate: s.failureRate, Running: float64(load.Running),
			PendingPrefill: float64(load.PendingPrefill), Uncached: float64(total - cached[e.id]),
		}
		if source, found := sources.besides(e); found && source.tokens >= cached[e.id]+minCopyTokens {
			candidate.Fetchable = float64(source.tokens - cached[e.id])
		}
		switch {
		case s.ejected:
			ejected.add(e, candidate)
		case versions.Prefer != "" && s.upstream.Version == versions.Prefer:
			preferred.add(e, candidate)
		default:
			usable.add(e, candidate)
		}
	}
	var chosen *choice
	for _, among := range []candidates{preferred, usable, ejected} {
		if chosen = g.first(among, pool, prompt, now); chosen != nil {
			break
		}
	}
	if chosen != nil {
		if source, found := sources.besides(chosen.engine); found && source.tokens >= cached[chosen.engine.id]+minCopyTokens {
			chosen.fetchFrom = source.address
		}
	}
	return chosen
}

// presentVersions counts the pool's upstreams that take work, by version.
func presentVersions(current *snapshot, pool fleet.PoolID) map[fleet.Version]int {
	present := map[fleet.Version]int{}
	for _, e := range current.engines[pool] {
		if upstream := e.upstream(); upstream.State == fleet.Live && !current.out[upstream.DataCentre] {
			present[upstream.Version]++
		}
	}
	return present
}

func promptTokens(prompt []warmth.Part) int {
	total := 0
	for _, part := range prompt {
		total += part.Tokens
	}
	return total
}

// first returns the best candidate that admits a request.
func (g *Gateway) first(among candidates, pool *routing.Pool, prompt []warmth.Part, now time.Time) *choice {
	var ranking balance.Ranking
	if len(prompt) > 0 {
		key := prompt[max(0, len(prompt)-2)].ID
		ranking = balance.ByPrompt(balance.Prompt{
			Key: key, IsCached: g.Workload.IsCached(key), Tokens: float64(promptTokens(prompt)),
			CostGranularity: g.costStep(), RandomTie: rand.Uint64(),
		}, among.ranked)
	} else {
		ties := make([]uint64, len(among.ranked))
		for i := range ties {
			ties[i] = rand.Uint64()
		}
		ranking = balance.ByLoad(among.ranked, func(i int) uint64 { return ties[i] })
	}
	routers := g.Fleet.Count()
	for _, i := range ranking.Order {
		e, ranked := among.engines[i], among.ranked[i]
		if !e.admit(now, g.coldShare(e, pool.ColdRate, routers), g.coldShare(e, cautiousRate, routers)) {
			continue
		}
		return &choice{
			engine: e, upstream: e.upstream(), ranking: ranking, uncached: int(ranked.Uncached),
			load: workload.Load{Running: int(ranked.Running), PendingPrefill: int(ranked.PendingPrefill)},
		}
	}
	return nil
}

// costStep is how far costs must differ to count, by the age of the workload's figures.
func (g *Gateway) costStep() float64 {
	if g.Workload.IsDirect() {
		return 0
	}
	return balance.StaleLoadCostGranularity
}

// coldShare is this router's part of what a cold upstream bears in a second.
func (g *Gateway) coldShare(e *engine, rate float64, routers int) int {
	if rate <= 0 {
		return math.MaxInt
	}
	return pace.Share(rate, routers, g.Fleet.Rank(string(e.id)))
}

// source is an engine from which others may copy a prompt.
type source struct {
	engine  *engine
	address string
	// tokens is how many of the prompt it has.
	tokens int
}

// sourceList is ordered by tokens, most first.
type sourceList []source

// besides returns the best source other than an engine itself.
func (l sourceList) besides(e *engine) (source, bool) {
	for _, s := range l {
		if s.engine != e {
			return s, true
		}
	}
	return source{}, false
}

// fetchSources finds the engines that have a part of a prompt. Engines that leave still serve
// copies; those in a data centre that is out get no work of any kind.
func fetchSources(current *snapshot, pool fleet.PoolID, cached map[fleet.UpstreamID]int, now time.Time) sourceList {
	if len(cached) == 0 {
		return nil
	}
	var list sourceList
	for _, e := range current.engines[pool] {
		s := e.standing(now)
		if cached[e.id] > 0 && !s.ejected && !s.limited && !current.out[s.upstream.DataCentre] {
			list = append(list, source{engine: e, address: s.upstream.Address, tokens: cached[e.id]})
		}
	}
	slices.SortFunc(list, func(a, b source) int { return b.tokens - a.tokens })
	return list
}
