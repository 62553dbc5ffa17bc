package gateway

import (
	"math/rand/v2"
	"time"

	"agateswitch/core/balance"
	"agateswitch/core/fleet"
	"agateswitch/core/pace"
	"agateswitch/core/ratelimit"
	"agateswitch/port"
)

// applySignals applies what an upstream says of itself in the header of an answer: that it leaves, that
// it wants a pause, or how many requests it takes. An answer from another upstream at the same address says nothing of it.
func (c *callerRequest) applySignals(chosen *choice, answer port.EngineAnswer) {
	if answer.Misdirected || chosen.engine == nil {
		return
	}
	e := chosen.engine
	chosen.stated = answer.Load
	if answer.Load.WorkTimePercent > 0 && c.gateway.placement.Load().BySpeed {
		c.gateway.Workload.StateWorkTime(e.id, answer.Load.WorkTimePercent)
	}
	if answer.Leaving && e.upstream().State != fleet.Leaving {
		e.markLeaving()
		c.gateway.Workload.MarkLeaving(e.id, e.incarnation)
		c.gateway.Instruments.recordSignal("leaving")
		c.gateway.Log.Info("upstream leaves according to its answer", "request", c.call.ID, "upstream", e.id,
			"pool", c.pool.ID, "incarnation", e.incarnation)
	}
	if answer.Pause > 0 {
		until, reason := e.askPause(time.Now(), answer.Pause)
		c.gateway.Instruments.recordSignal("pause")
		c.gateway.Log.Info("upstream asked for a pause", "request", c.call.ID, "upstream", e.id, "pool", c.pool.ID,
			"asked", answer.Pause, "reason", reason, "remaining", time.Until(until).Round(time.Millisecond))
	}
	c.applyRateLimit(chosen, answer)
	c.applyBrittleness(chosen, answer)
}

// markDisplaced makes all routers send nothing more to an upstream at whose address another one has answered, for as long as its entry
// may outlive it.
func (c *callerRequest) markDisplaced(chosen *choice) {
	if chosen.via == "" {
		e := chosen.engine
		c.gateway.Workload.MarkDisplaced(e.id, e.incarnation, chosen.upstream.Address)
	}
}

// isDisplaced reports whether another upstream has lately answered at the upstream's address.
func (g *Gateway) isDisplaced(e *engine, upstream fleet.Upstream) bool {
	return g.Workload.IsDisplaced(e.id, e.incarnation, upstream.Address)
}

// judgeWorkTime compares the work time that the upstream has stated with the time until its first event.
func (g *Gateway) judgeWorkTime(chosen *choice) {
	if !g.placement.Load().BySpeed || chosen.stated.WorkTimePercent <= 0 || chosen.engine == nil || chosen.fetchFrom != "" {
		return
	}
	tokens := balance.ExpectedTokens(float64(chosen.load.Running), float64(chosen.load.PendingPrefill), float64(chosen.uncached), 0)
	g.Workload.JudgeWorkTime(chosen.engine.id, chosen.stated.WorkTimePercent, tokens, chosen.firstByteTime)
}

// applyRateLimit applies what an answer says of the upstream's rate limit.
func (c *callerRequest) applyRateLimit(chosen *choice, answer port.EngineAnswer) {
	e, isNew := chosen.engine, false
	perSecond, usable := ratelimit.Clamp(answer.RateLimit.PerSecond)
	switch {
	case answer.RateLimit.Stated && usable:
		isNew = c.gateway.Workload.StateRateLimit(e.id, e.incarnation, perSecond)
	case answer.RateLimit.Stated:
		if e.ignoreLimit() {
			c.gateway.Log.Warn("upstream stated an unusable rate limit; ignoring it", "request", c.call.ID, "upstream", e.id, "pool", c.pool.ID,
				"per_second", answer.RateLimit.PerSecond)
		}
	case answer.Signed:
		isNew = c.gateway.Workload.EndRateLimit(e.id, e.incarnation, chosen.sentAt)
	}
	if isNew {
		c.gateway.Instruments.recordSignal("rate_limit")
		c.gateway.Log.Info("upstream changed its rate limit", "request", c.call.ID, "upstream", e.id, "pool", c.pool.ID,
			"incarnation", e.incarnation, "stated", answer.RateLimit.Stated, "per_second", perSecond, "load", chosen.load.Running,
			"sent_before", time.Since(chosen.sentAt).Round(time.Millisecond))
	}
}

// retryAfter returns when a caller may return after a refusal because no upstream of the pool may get
// its request.
func (c *callerRequest) retryAfter() time.Duration {
	now := time.Now()
	if first, found := c.firstReturn(now); found {
		return pace.RetryAfterPause(now, first, rand.Float64())
	}
	if c.queue.isRefused {
		return c.queue.retryAfter
	}
	return jitter(busyRetryAfter)
}

// firstReturn returns when the first upstream of the pool gets requests again. It reports false unless all that
// could have requests have asked for a pause, or have no token of their rate limit left.
func (c *callerRequest) firstReturn(now time.Time) (time.Time, bool) {
	var first time.Time
	for _, e := range c.current.engines[c.pool.ID] {
		upstream := e.upstream()
		if upstream.State != fleet.Live || c.current.dataCentresOut[upstream.DataCentre] {
			continue
		}
		until, isPaused := e.pausedUntil(now)
		if dryUntil := c.gateway.RateLimits.DryUntil(e.id, e.incarnation, c.rank()); dryUntil.After(now) && dryUntil.After(until) {
			until, isPaused = dryUntil, true
		}
		if !isPaused {
			return time.Time{}, false
		}
		if first.IsZero() || until.Before(first) {
			first = until
		}
	}
	return first, !first.IsZero()
}
