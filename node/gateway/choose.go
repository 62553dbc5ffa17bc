package gateway

import (
	"context"
	"math"
	"time"

	"agateswitch/core/balance"
	"agateswitch/core/fleet"
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
	// workTime is how long work was expected to take at the upstream, relative to the usual time; 0 if it does not state it.
	workTime float64
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
	isBySpeed := g.placement.Load().BySpeed
	for _, e := range current.engines[pool.ID] {
		status := e.status(now)
		if s.tried[e] || status.paused || status.upstream.State != fleet.Live || current.dataCentresOut[status.upstream.DataCentre] ||
			versions.Avoids(status.upstream.Version) || g.isDisplaced(e, status.upstream) {
			continue
		}
		load := g.Workload.Load(e.id)
		incarnation, isLimited := limited[e.id]
		candidate := balance.Candidate{
			ID: e.id, Hash: e.hash, FailureRate: status.failureRate, Running: float64(load.Running), Held: float64(load.Running),
			PendingPrefill: float64(load.PendingPrefill), Uncached: float64(total - cached[e.id]), Slots: status.slots,
			RateLimited: isLimited && incarnation == e.incarnation,
		}
		if isBySpeed && len(prompt) > 0 {
			candidate.WorkTime = g.Workload.WorkTime(e.id, now)
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
