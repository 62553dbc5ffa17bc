package gateway

import (
	"math"
	"math/rand/v2"
	"time"

	"agateswitch/core/balance"
	"agateswitch/core/fleet"
	"agateswitch/core/pace"
	"agateswitch/core/routing"
	"agateswitch/core/warmth"
	"agateswitch/node/workload"
)

// minFetchTokens is how many tokens more another engine must have in its cache for a copy to be
// worth the transfer's setup, which takes as long as reading about 300 tokens.
const minFetchTokens = 512

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
	var usable, ejected candidates
	total := promptTokens(prompt)
	cached := g.Workload.Cached(prompt)
	for _, e := range current.engines[pool.ID] {
		s := e.standing(now)
		if tried[e] || s.upstream.State != fleet.Live || current.out[s.upstream.DataCentre] {
			continue
		}
		load := g.Workload.Load(e.id)
		candidate := balance.Candidate{
			ID: e.id, Hash: e.hash, FailureRate: s.failureRate, Running: float64(load.Running),
			Unread: float64(load.Unread), Uncached: float64(total - cached[e.id]),
		}
		if s.ejected {
			ejected.add(e, candidate)
		} else {
			usable.add(e, candidate)
		}
	}
	chosen := g.first(usable, pool, prompt, now)
	if chosen == nil {
		chosen = g.first(ejected, pool, prompt, now)
	}
	if chosen != nil {
		chosen.fetchFrom = fetchSource(current, pool.ID, chosen, total, cached, now)
	}
	return chosen
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
		ranking = balance.ByPrompt(key, g.Workload.Known(key), float64(promptTokens(prompt)), among.ranked)
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
			load: workload.Load{Running: int(ranked.Running), Unread: int(ranked.Unread)},
		}
	}
	return nil
}

// coldShare is this router's part of what a cold upstream bears in a second.
func (g *Gateway) coldShare(e *engine, rate float64, routers int) int {
	if rate <= 0 {
		return math.MaxInt
	}
	return pace.Share(rate, routers, g.Fleet.Rank(string(e.id)))
}

// fetchSource returns the address of the engine that has most of a prompt, if it has much more
// than the chosen one. Engines that leave still serve copies.
func fetchSource(current *snapshot, pool fleet.PoolID, chosen *choice, total int, cached map[fleet.UpstreamID]int, now time.Time) string {
	best, address := total-chosen.uncached+minFetchTokens, ""
	for _, e := range current.engines[pool] {
		s := e.standing(now)
		if e == chosen.engine || cached[e.id] < best || s.ejected || s.limited || current.out[s.upstream.DataCentre] {
			continue
		}
		best, address = cached[e.id], s.upstream.Address
	}
	return address
}
