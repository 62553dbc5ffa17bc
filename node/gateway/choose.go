package gateway

import (
	"math/rand/v2"
	"time"

	"agateswitch/core/balance"
	"agateswitch/core/fleet"
	"agateswitch/core/pace"
	"agateswitch/core/routing"
)

// choice is an upstream for one attempt, and why.
type choice struct {
	engine   *engine
	upstream fleet.Upstream
	ranking  balance.Ranking
	load     float64
}

// choose takes an upstream of the pool. It returns nil when none may get the request now.
func (g *Gateway) choose(current *snapshot, pool *routing.Pool, key string, tried map[*engine]bool, now time.Time) *choice {
	var usable, ejected []*engine
	var candidates, ejectedCandidates []balance.Candidate
	others := g.loadOfOthers(now)
	for _, e := range current.engines[pool.ID] {
		s := e.standing(now)
		if tried[e] || s.upstream.State != fleet.Live || current.out[s.upstream.DataCentre] {
			continue
		}
		candidate := balance.Candidate{
			ID: e.id, Hash: e.hash, FailureRate: s.failureRate,
			Load: float64(e.running.Load()) + float64(others[e.id]),
		}
		if s.ejected {
			ejected, ejectedCandidates = append(ejected, e), append(ejectedCandidates, candidate)
			continue
		}
		usable, candidates = append(usable, e), append(candidates, candidate)
	}
	if found := g.first(usable, candidates, pool, key, now); found != nil {
		return found
	}
	return g.first(ejected, ejectedCandidates, pool, key, now)
}

// first returns the best candidate that admits a request.
func (g *Gateway) first(engines []*engine, candidates []balance.Candidate, pool *routing.Pool, key string, now time.Time) *choice {
	var ranking balance.Ranking
	if key != "" {
		ranking = balance.ByPrompt(key, candidates)
	} else {
		ties := make([]uint64, len(candidates))
		for i := range ties {
			ties[i] = rand.Uint64()
		}
		ranking = balance.ByLoad(candidates, func(i int) uint64 { return ties[i] })
	}
	routers := g.Fleet.Count()
	for _, i := range ranking.Order {
		e := engines[i]
		if e.admit(now, g.coldShare(e, pool.ColdRate, routers), g.coldShare(e, cautiousRate, routers)) {
			return &choice{engine: e, upstream: e.upstream(), ranking: ranking, load: candidates[i].Load}
		}
	}
	return nil
}

// coldShare is this router's part of what a cold upstream bears in a second.
func (g *Gateway) coldShare(e *engine, rate float64, routers int) int {
	if rate <= 0 {
		return int(^uint(0) >> 1)
	}
	return pace.Share(rate, routers, g.Fleet.Rank(string(e.id)))
}
