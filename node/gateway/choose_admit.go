package gateway

import (
	"context"
	"math"
	"time"

	"agateswitch/core/pace"
	"agateswitch/node/ratelimit"
	"agateswitch/node/room"
	"agateswitch/node/workload"
)

// Limits on the draws from rate limits for one attempt. Upstreams without a limit need none.
const (
	maxDraws    = 4
	maxDrawTime = 200 * time.Millisecond
)

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
		place: place, engine: e, upstream: e.upstream(), uncached: int(candidate.Uncached), draw: draw, workTime: candidate.WorkTime,
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

// rateShare returns this router's share of a fleet-wide rate, in requests per second, of calls to
// an upstream. A rate of zero means no limit.
func (g *Gateway) rateShare(e *engine, rate float64, routers int) int {
	if rate <= 0 {
		return math.MaxInt
	}
	return pace.Share(rate, routers, g.Fleet.Rank(string(e.id)))
}
