package gateway

import (
	"context"
	"math/rand/v2"

	"agateswitch/core/balance"
	"agateswitch/node/room"
)

// bestAdmitted ranks a group of candidates and returns the best one that admits the request, or
// nil. Full upstreams come last: the limit refuses no request.
func (g *Gateway) bestAdmitted(ctx context.Context, group candidates, s *selection) *choice {
	ranking := g.rankCandidates(group, s)
	s.limit = ranking.Limit
	search := balance.NewSearch(ranking, group.properties, balance.UnseenLoad(g.Workload.IsDirect(), ranking.MeanLoad, s.poolLoad.age), globalRandom)
	for i, mayBeFull, found := search.Next(); found; i, mayBeFull, found = search.Next() {
		if s.pathless[group.engines[i]] {
			return &choice{engine: group.engines[i], upstream: group.engines[i].upstream(), ranking: ranking}
		}
		chosen, held, outcome := g.admit(ctx, group, i, s, mayBeFull, false)
		switch {
		case chosen != nil:
			chosen.ranking, chosen.fullBefore = ranking, search.Refusals()
			return chosen
		case outcome == room.Full && mayBeFull:
			search.Refuse(i, held)
		case outcome == room.Unknown:
			search.Skip(i)
		}
	}
	for _, i := range search.Full() {
		if chosen, _, _ := g.admit(ctx, group, i, s, true, true); chosen != nil {
			chosen.ranking, chosen.fullBefore = ranking, search.Refusals()
			return chosen
		}
	}
	return nil
}

// globalRandom draws from the source of math/rand/v2, which is safe for concurrent use.
var globalRandom = rand.New(globalSource{})

type globalSource struct{}

func (globalSource) Uint64() uint64 { return rand.Uint64() }

// rankCandidates ranks a group of candidates.
func (g *Gateway) rankCandidates(group candidates, s *selection) balance.Ranking {
	prompt := s.prompt
	switch {
	case s.alone:
		return balance.ByLoad(group.properties, func(int) uint64 { return rand.Uint64() })
	case len(prompt) > 0:
		key := prompt[max(0, len(prompt)-2)].ID
		return balance.ByPrompt(balance.Prompt{
			Key: key, IsCached: g.Workload.IsCached(key), Tokens: float64(promptTokens(prompt)),
			CostGranularity: g.costGranularity(), RandomTie: rand.Uint64(), PacksLongReads: g.placement.Load().PackLongPrompts,
		}, group.properties, s.poolLimit)
	case g.Workload.IsDirect():
		ties := make([]uint64, len(group.properties))
		for i := range ties {
			ties[i] = rand.Uint64()
		}
		return balance.ByLoad(group.properties, func(i int) uint64 { return ties[i] })
	}
	return balance.ByFreeSlots(group.properties, s.poolLimit, rand.Float64)
}

// costGranularity returns the balance.Prompt.CostGranularity for the age of the workload's loads.
func (g *Gateway) costGranularity() float64 {
	if g.Workload.IsDirect() {
		return 0
	}
	return balance.StaleLoadCostGranularity
}

// Placement states by what prompts are placed beside loads and caches.
type Placement struct {
	// BySpeed counts expected times at engines that state how long work takes there at the moment.
	BySpeed bool
	// PackLongPrompts lets engines that read one long prompt read a second one.
	PackLongPrompts bool
}

// SetPlacement applies changed settings.
func (g *Gateway) SetPlacement(p Placement) { g.placement.Store(&p) }
