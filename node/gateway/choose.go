package gateway

import (
	"context"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"agateswitch/core/balance"
	"agateswitch/core/fleet"
	"agateswitch/core/pace"
	"agateswitch/core/routing"
	"agateswitch/core/warmth"
	"agateswitch/node/detour"
	"agateswitch/node/quarantine"
	"agateswitch/node/ratelimit"
	"agateswitch/node/room"
	"agateswitch/node/versionmove"
	"agateswitch/node/workload"
	"agateswitch/port"
)

// minCopyTokens is how many more tokens another engine must have cached before they are copied.
// Setting up the transfer takes as long as reading about 300 tokens.
const minCopyTokens = 512

// Limits on the draws from rate limits for one attempt. Upstreams without a limit need none.
const (
	maxDraws    = 4
	maxDrawTime = 200 * time.Millisecond
)

// choice is the upstream chosen for one attempt, the reason, and the attempt's measurements.
type choice struct {
	engine   *engine
	upstream fleet.Upstream
	ranking  balance.Ranking
	load     workload.Load
	poolLoad poolLoad
	// fullBefore is how many upstreams had no room for the request.
	fullBefore int
	// stated is the load that the upstream stated in its answer.
	stated port.EngineLoad
	// uncached is the number of prompt tokens that the upstream has to read.
	uncached int
	// fetchFrom is the address of an engine that has more of the prompt cached; empty means none.
	fetchFrom string
	// via is the router through which the request is sent, which then chooses the upstream; empty for this one. report is
	// its word on the request.
	via    fleet.HostID
	report *detour.Report
	// lease is what lets that router have an upstream work on the request; nil if it knows no leases.
	lease *detour.Lease
	// hasAlternative is true if the request may be sent another way than to the upstream from here.
	hasAlternative bool
	// permit is the quarantine's permission for the attempt.
	permit *quarantine.Permit
	ticket *workload.Ticket
	// draw is what allowed the request within the upstream's rate limit.
	draw ratelimit.Draw
	// place is the request's place on an upstream that is brittle or may be full; nil on others.
	place *room.Place
	// seat is the request's place on a small pool, waited how long it took, and expected how long that was expected to take.
	seat             *room.Seat
	waited, expected time.Duration
	// versions is what the pool's version move allowed for the attempt.
	versions versionmove.Versions
	// sentAt is when the attempt began, and firstByteTime the time from then to the first byte of
	// the answer, or to the first event of a stream.
	sentAt        time.Time
	firstByteTime time.Duration
	// eventCount is the number of events of a stream that arrived.
	eventCount int
}

// isCold reports whether the upstream has to read more of the prompt than it takes to begin an answer.
func (c *choice) isCold() bool { return c.uncached > minCopyTokens }

// candidates holds upstreams and, at the same indexes, the properties by which they are ranked.
type candidates struct {
	engines    []*engine
	properties []balance.Candidate
}

func (c *candidates) add(e *engine, properties balance.Candidate) {
	c.engines, c.properties = append(c.engines, e), append(c.properties, properties)
}

// selection is what the choice of an upstream depends on.
type selection struct {
	current *snapshot
	pool    *routing.Pool
	prompt  []warmth.Part
	// rank is the request's urgency.
	rank  int
	tried map[*engine]bool
	// alone is true if the request must be the only one of its kind.
	alone bool
	// mayDetour is true if another router may be asked to send the request, and sendsForOther if this one was asked.
	mayDetour, sendsForOther bool
	now                      time.Time
	// pathless holds the candidates to which this router has no path.
	pathless map[*engine]bool
	// brittle is how many requests per second the pool's upstreams turn away without falling over; 0 if they are not brittle.
	brittle  float64
	poolLoad poolLoad
	// poolLimit is what an upstream of the pool may hold, and limit what one of the group that is being searched may.
	poolLimit, limit float64
	// lasts is how long the request is in work at most.
	lasts time.Duration
	// drawsLeft is how many more rate limits may be asked for a token.
	drawsLeft int
	// queue is the request's queueing on small pools; nil if it must not wait.
	queue *queueing
}

// chooseUpstream chooses an upstream for an attempt. Upstreams of the version that a
// move prefers come first, and ejected ones last. A request that must be alone goes to the upstream with the least work.
// It returns nil if none may get the request now.
func (g *Gateway) chooseUpstream(caller context.Context, s selection) *choice {
	ctx, cancel := context.WithTimeout(caller, maxDrawTime)
	defer cancel()
	s.drawsLeft = maxDraws
	current, pool, prompt, now := s.current, s.pool, s.prompt, s.now
	var preferred, usable, ejected candidates
	pathless := map[*engine]bool{}
	total := promptTokens(prompt)
	cached := g.Workload.CachedTokens(prompt)
	sources := findFetchSources(current, pool.ID, cached, now)
	versions := g.Moves.Choose(pool.ID, countLiveVersions(current, pool.ID))
	limited := g.Workload.RateLimited()
	s.poolLoad = g.poolLoad(current, pool.ID)
	s.poolLimit = math.Inf(1)
	if s.poolLoad.isKnown {
		s.poolLimit = g.loadBound.Load().Limit(s.poolLoad.mean)
	}
	// In a large fleet loads are older than most requests of a plain service take.
	smooth := len(prompt) == 0 && !g.Workload.IsDirect()
	for _, e := range current.engines[pool.ID] {
		status := e.status(now)
		if s.tried[e] || status.paused || status.upstream.State != fleet.Live || current.dataCentresOut[status.upstream.DataCentre] ||
			versions.Avoids(status.upstream.Version) {
			continue
		}
		load := g.Workload.Load(e.id)
		incarnation, isLimited := limited[e.id]
		candidate := balance.Candidate{
			ID: e.id, Hash: e.hash, FailureRate: status.failureRate, Running: float64(load.Running), Held: float64(load.Running),
			PendingPrefill: float64(load.PendingPrefill), Uncached: float64(total - cached[e.id]), Slots: status.slots,
			RateLimited: isLimited && incarnation == e.incarnation,
		}
		if smooth {
			candidate.Running = e.smoothLoad(now, candidate.Running)
		}
		if source, found := sources.bestExcluding(e); found && source.tokens >= cached[e.id]+minCopyTokens {
			candidate.Fetchable = float64(source.tokens - cached[e.id])
		}
		isPathLost := s.mayDetour && status.isPathLost
		pathless[e] = isPathLost
		switch {
		case isPathLost:
			usable.add(e, candidate)
		case status.path == pathSilent || s.sendsForOther && status.path != pathUsable:
			// The router checks the path itself.
		case status.ejected || s.alone && g.isDoubtful(e, status):
			ejected.add(e, candidate)
		case versions.Prefer != "" && status.upstream.Version == versions.Prefer:
			preferred.add(e, candidate)
		default:
			usable.add(e, candidate)
		}
	}
	groups := []candidates{preferred, usable}
	if !s.mayDetour && !s.sendsForOther {
		groups = append(groups, ejected)
	}
	s.pathless, s.brittle = pathless, g.brittleness(current, pool.ID)
	var chosen *choice
	if g.isSmall(&s) {
		chosen, groups = g.chooseQueued(caller, groups, &s), nil
	}
	for _, group := range groups {
		if chosen = g.bestAdmitted(ctx, group, &s); chosen != nil {
			break
		}
	}
	if chosen == nil || pathless[chosen.engine] {
		g.Moves.Reached(&versions, "")
		return chosen
	}
	chosen.poolLoad = s.poolLoad
	chosen.hasAlternative = g.Fleet.Count() > 1 || len(preferred.engines)+len(usable.engines)+len(ejected.engines) > 1
	g.Moves.Reached(&versions, chosen.upstream.Version)
	chosen.versions = versions
	if source, found := sources.bestExcluding(chosen.engine); found && source.tokens >= cached[chosen.engine.id]+minCopyTokens {
		chosen.fetchFrom = source.address
	}
	return chosen
}

// poolLoad is the load of a pool as known to this router.
type poolLoad struct {
	// mean is the mean number of requests that its upstreams hold, whether or not they may get requests now.
	mean float64
	// age is the time since the loads of other routers last arrived. isKnown is false if none have arrived yet.
	age     time.Duration
	isKnown bool
}

func (g *Gateway) poolLoad(current *snapshot, pool fleet.PoolID) poolLoad {
	held, engines := 0, current.engines[pool]
	for _, e := range engines {
		held += g.Workload.Load(e.id).Running
	}
	load := poolLoad{mean: float64(held) / float64(max(1, len(engines)))}
	load.age, load.isKnown = g.Workload.Age()
	load.isKnown = load.isKnown || g.Fleet.Count() == 1
	return load
}

// countLiveVersions counts the pool's upstreams that accept new work, by version.
func countLiveVersions(current *snapshot, pool fleet.PoolID) map[fleet.Version]int {
	present := map[fleet.Version]int{}
	for _, e := range current.engines[pool] {
		if upstream := e.upstream(); upstream.State == fleet.Live && !current.dataCentresOut[upstream.DataCentre] {
			present[upstream.Version]++
		}
	}
	return present
}

// promptTokens returns the length of a prompt in tokens.
func promptTokens(prompt []warmth.Part) int {
	total := 0
	for _, part := range prompt {
		total += part.Tokens
	}
	return total
}

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

// admit returns the choice of a candidate if that admits the request, and otherwise what came of asking for a place.
func (g *Gateway) admit(ctx context.Context, group candidates, i int, s *selection, mayBeFull, isUnlimited bool) (chosen *choice, held int, outcome room.Outcome) {
	e, candidate := group.engines[i], group.properties[i]
	if e.status(s.now).rateLimited {
		routers := g.Fleet.Count()
		if !e.admit(s.now, g.rateShare(e, s.pool.ColdRate, routers), g.rateShare(e, recoveryRatePerSecond, routers)) {
			return nil, 0, room.Granted
		}
	}
	place, held, outcome := g.takePlace(ctx, e, s, mayBeFull, isUnlimited)
	if outcome != room.Granted {
		return nil, held, outcome
	}
	draw := g.drawToken(ctx, e, s)
	if !draw.Granted {
		if place != nil {
			place.Return(false)
		}
		return nil, 0, room.Granted
	}
	return &choice{
		place: place, engine: e, upstream: e.upstream(), uncached: int(candidate.Uncached), draw: draw,
		load: workload.Load{Running: int(candidate.Running), PendingPrefill: int(candidate.PendingPrefill)},
	}, 0, room.Granted
}

// drawToken draws a token if the upstream has a rate limit.
func (g *Gateway) drawToken(ctx context.Context, e *engine, s *selection) ratelimit.Draw {
	if !g.RateLimits.Limited(e.id, e.incarnation) {
		return ratelimit.Draw{Granted: true}
	}
	isDry := g.RateLimits.DryUntil(e.id, e.incarnation, s.rank).After(time.Now())
	if isDry || s.drawsLeft == 0 || ctx.Err() != nil {
		return ratelimit.Draw{}
	}
	s.drawsLeft--
	draw := g.RateLimits.Draw(ctx, e.id, e.incarnation, s.rank)
	g.Instruments.recordDraw(draw)
	return draw
}

// isWithinLimit reports whether an attempt has drawn a token if its upstream has a rate limit. The limit may have become
// known while the request waited for a connection.
func (g *Gateway) isWithinLimit(chosen *choice) bool {
	return chosen.draw.Source != ratelimit.SourceNone || !g.RateLimits.Limited(chosen.engine.id, chosen.engine.incarnation)
}

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
			CostGranularity: g.costGranularity(), RandomTie: rand.Uint64(),
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

// rateShare returns this router's share of a fleet-wide rate, in requests per second, of calls to
// an upstream. A rate of zero means no limit.
func (g *Gateway) rateShare(e *engine, rate float64, routers int) int {
	if rate <= 0 {
		return math.MaxInt
	}
	return pace.Share(rate, routers, g.Fleet.Rank(string(e.id)))
}

// source is an engine from which other engines may copy a cached prompt.
type source struct {
	engine  *engine
	address string
	// tokens is the number of prompt tokens that it has cached.
	tokens int
}

// sourceList is ordered by tokens, largest first.
type sourceList []source

// bestExcluding returns the source with the most tokens other than the excluded engine.
func (l sourceList) bestExcluding(excluded *engine) (source, bool) {
	for _, s := range l {
		if s.engine != excluded {
			return s, true
		}
	}
	return source{}, false
}

// findFetchSources returns the engines that have a part of a prompt cached. Leaving engines still
// serve copies; engines in a data centre that is taken out get no work of any kind.
func findFetchSources(current *snapshot, pool fleet.PoolID, cached map[fleet.UpstreamID]int, now time.Time) sourceList {
	if len(cached) == 0 {
		return nil
	}
	var list sourceList
	for _, e := range current.engines[pool] {
		s := e.status(now)
		if cached[e.id] > 0 && !s.ejected && !s.rateLimited && !current.dataCentresOut[s.upstream.DataCentre] {
			list = append(list, source{engine: e, address: s.upstream.Address, tokens: cached[e.id]})
		}
	}
	slices.SortFunc(list, func(a, b source) int { return b.tokens - a.tokens })
	return list
}
