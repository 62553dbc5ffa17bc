package gateway

import (
	"context"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/core/room"
	node "agateswitch/node/room"
)

// queueing is what a request's turn in a small pool's queue depends on, and what came of it.
type queueing struct {
	team  fleet.Team
	aimAt time.Time
	// isRefused is true once the request has found no place, and retryAfter when its caller should come back then.
	isRefused  bool
	retryAfter time.Duration
}

// queueing returns the request's queueing, which its attempts share.
func (c *callerRequest) queueing() *queueing {
	c.queue.team, c.queue.aimAt = c.teamName(), c.began.Add(c.route.Target)
	if c.route.Target <= 0 {
		c.queue.aimAt = c.deadline
	}
	return &c.queue
}

// SmallPool is what the upstreams of a small pool have at most together: so many slots for each router, and so many at all.
type SmallPool struct {
	SlotsPerRouter float64
	MaxSlots       int
}

// holds reports whether a pool with so many slots is small.
func (p SmallPool) holds(slots, routers int) bool {
	return slots <= p.MaxSlots && float64(slots) <= p.SlotsPerRouter*float64(routers)
}

// SetSmallPool applies changed bounds of small pools.
func (g *Gateway) SetSmallPool(bounds SmallPool) { g.smallPool.Store(&bounds) }

// isSmall reports whether the pool's upstreams have so few slots that no router sees enough requests to know which are free. Their
// requests wait in one queue for all routers. Upstreams whose requests need a permission of another kind have none.
func (g *Gateway) isSmall(s *selection) bool {
	if s.queue == nil || s.alone || s.brittle > 0 || s.pool.Model != nil || len(s.prompt) > 0 || g.Workload.IsDirect() {
		return false
	}
	slots := 0
	for _, e := range s.current.engines[s.pool.ID] {
		status := e.status(s.now)
		if status.slots <= 0 || g.RateLimits.Limited(e.id, e.incarnation) {
			return false
		}
		if status.upstream.State == fleet.Live {
			slots += status.slots
		}
	}
	return g.smallPool.Load().holds(slots, g.Fleet.Count())
}

// chooseQueued asks for a place on one of the first group's upstreams, and waits for one. It returns nil if there is none in time.
func (g *Gateway) chooseQueued(ctx context.Context, groups []candidates, s *selection) *choice {
	if s.queue.isRefused {
		return nil
	}
	for _, group := range groups {
		ranking := g.rankCandidates(group, s)
		order := ranking.Order[:len(ranking.Order)-ranking.FaultyCount]
		if len(order) == 0 {
			order = ranking.Order
		}
		open, pathless := g.openCandidates(group, order, s)
		if len(open) == 0 && pathless < 0 {
			continue
		}
		if len(open) == 0 {
			return &choice{engine: group.engines[pathless], upstream: group.engines[pathless].upstream(), ranking: ranking}
		}
		chosen := g.enterQueue(ctx, group, open, s)
		if chosen != nil {
			chosen.ranking = ranking
		}
		return chosen
	}
	return nil
}

// openCandidates returns the candidates that may get the request now, and one without a path from here, or -1. A cold one that admits
// the request gets it if it is drawn first.
func (g *Gateway) openCandidates(group candidates, order []int, s *selection) (open []int, pathless int) {
	pathless = -1
	for _, i := range order {
		e := group.engines[i]
		switch {
		case s.pathless[e]:
			pathless = i
		case !e.status(s.now).rateLimited:
			open = append(open, i)
		case len(open) == 0:
			routers := g.Fleet.Count()
			if e.admit(s.now, g.rateShare(e, s.pool.ColdRate, routers), g.rateShare(e, recoveryRatePerSecond, routers)) {
				return []int{i}, -1
			}
		}
	}
	return open, pathless
}

// enterQueue asks for a place on one of the open candidates.
func (g *Gateway) enterQueue(ctx context.Context, group candidates, open []int, s *selection) *choice {
	request := room.Request{Rank: s.rank, Team: s.queue.team, Aim: time.Until(s.queue.aimAt), Left: s.lasts}
	engines := map[room.Upstream]int{}
	for _, i := range open {
		upstream := room.Upstream{ID: group.engines[i].id, Incarnation: group.engines[i].incarnation}
		engines[upstream] = i
		request.Candidates = append(request.Candidates, room.Slots{Upstream: upstream, Slots: group.properties[i].Slots})
	}
	entry := g.Queues.Enter(ctx, s.pool.ID, request)
	g.Instruments.recordQueue(entry)
	if entry.Seat == nil {
		s.queue.isRefused, s.queue.retryAfter = true, entry.RetryAfter
		g.Log.Info("no place on a small pool in time", "pool", s.pool.ID, "rank", s.rank, "team", s.queue.team, "aim_left", request.Aim,
			"time_left", request.Left, "candidates", len(open), "keeper", entry.Keeper, "expected", entry.Expected, "waited", entry.Waited,
			"retry_after", entry.RetryAfter)
		return nil
	}
	i := engines[entry.Seat.Upstream]
	return &choice{
		engine: group.engines[i], upstream: group.engines[i].upstream(), seat: entry.Seat, waited: entry.Waited, expected: entry.Expected,
	}
}

// leaveSeat gives the attempt's place on a small pool back.
func (c *choice) leaveSeat(result attemptResult) {
	if c.seat != nil {
		c.seat.Return(result.sent || result.delivered, result.sent && result.ran == fleet.NotRun)
	}
}

// seatKeeper returns the router that has given the request its place on a small pool; empty if it has none, or took one alone.
func (c *choice) seatKeeper() fleet.HostID {
	if c.seat == nil {
		return ""
	}
	return c.seat.Keeper()
}

// queueOutcome names what came of asking for a place on a small pool.
func queueOutcome(entry node.Entry) string {
	switch {
	case entry.Seat == nil:
		return "refused"
	case entry.Keeper == "":
		return "alone"
	}
	return "granted"
}
