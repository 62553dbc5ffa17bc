package gateway

import (
	"context"
	"math"

	"agateswitch/core/fleet"
	"agateswitch/core/ratelimit"
	"agateswitch/core/room"
	node "agateswitch/node/room"
	"agateswitch/port"
)

// applyBrittleness applies what an answer says of the upstream's brittleness.
func (c *callerRequest) applyBrittleness(chosen *choice, answer port.EngineAnswer) {
	e, isNew := chosen.engine, false
	perSecond, usable := ratelimit.Clamp(answer.Brittle.PerSecond)
	switch {
	case answer.Brittle.Stated && usable:
		isNew = c.gateway.Workload.StateBrittle(e.id, e.incarnation, perSecond)
	case answer.Brittle.Stated:
		return
	case answer.Signed:
		isNew = c.gateway.Workload.EndBrittle(e.id, e.incarnation, chosen.sentAt)
	}
	if isNew {
		c.gateway.Instruments.recordSignal("brittle")
		c.gateway.Log.Info("upstream changed its brittleness", "request", c.call.ID, "upstream", e.id, "pool", c.pool.ID,
			"incarnation", e.incarnation, "stated", answer.Brittle.Stated, "per_second", perSecond, "load", chosen.load.Running)
	}
}

// brittleness returns how many requests per second each upstream of a pool turns away without falling over; 0 if none is brittle.
// One that has not answered yet is assumed to be as brittle as the others.
func (g *Gateway) brittleness(current *snapshot, pool fleet.PoolID) float64 {
	all := g.Workload.AllBrittle()
	if len(all) == 0 {
		return 0
	}
	least := 0.0
	for _, e := range current.engines[pool] {
		if incarnation, found := all[e.id]; !found || incarnation != e.incarnation {
			continue
		}
		if perSecond, found := g.Workload.Brittle(e.id, e.incarnation); found && (least == 0 || perSecond < least) {
			least = perSecond
		}
	}
	return least
}

// takePlace takes a place on an upstream that is brittle or may be full (balance.Search). Others need none, and neither does a full one
// if isUnlimited is true.
func (g *Gateway) takePlace(ctx context.Context, e *engine, s *selection, mayBeFull, isUnlimited bool) (place *node.Place, held int, outcome node.Outcome) {
	if s.brittle == 0 && (!mayBeFull || isUnlimited) {
		return nil, 0, node.Granted
	}
	need := room.Need{Slots: e.status(s.now).slots, PerSecond: s.brittle, Rank: s.rank, Lasts: s.lasts}
	if !isUnlimited && !math.IsInf(s.limit, 1) {
		need.Limit = s.limit
	}
	if s.brittle > 0 {
		if s.drawsLeft == 0 {
			return nil, 0, node.Full
		}
		s.drawsLeft--
	}
	if ctx.Err() != nil {
		return nil, 0, node.Unknown
	}
	place, held, outcome = g.Room.Take(ctx, node.Upstream{ID: e.id, Incarnation: e.incarnation}, need)
	g.Instruments.recordPlace(outcome)
	return place, held, outcome
}

// hasPlace reports whether an attempt has a place if its upstream is brittle, which may have become known while the request
// waited for a connection.
func (g *Gateway) hasPlace(pool fleet.PoolID, chosen *choice) bool {
	return chosen.place != nil || g.brittleness(g.view.current.Load(), pool) == 0
}
