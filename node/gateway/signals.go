package gateway

import (
	"math/rand/v2"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/core/pace"
	"agateswitch/port"
)

// applySignals applies what an upstream says of itself in the header of an answer: that it leaves, that
// it wants a pause, or how many requests it takes. An answer from another upstream at the same address says nothing of it.
func (c *callerRequest) applySignals(chosen *choice, answer port.EngineAnswer) {
	if answer.Misdirected {
		return
	}
	e := chosen.engine
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
	if previous := e.setStatedLimit(answer.RateLimit); previous != answer.RateLimit.Stated {
		c.gateway.Instruments.recordSignal("rate_limit")
		c.gateway.Log.Info("upstream changed whether it states a rate limit", "request", c.call.ID, "upstream", e.id, "pool", c.pool.ID,
			"incarnation", e.incarnation, "stated", answer.RateLimit.Stated, "per_second", answer.RateLimit.PerSecond,
			"load", chosen.load.Running, "sent_before", time.Since(chosen.sentAt).Round(time.Millisecond))
	}
}

// retryAfter returns when a caller may return after a refusal because no upstream of the pool may get
// its request.
func (c *callerRequest) retryAfter() time.Duration {
	now := time.Now()
	if first, found := firstReturn(c.current, c.pool.ID, now); found {
		return pace.RetryAfterPause(now, first, rand.Float64())
	}
	return jitter(busyRetryAfter)
}

// firstReturn returns when the first upstream of a pool gets requests again. It reports false unless all
// that could have requests have asked for a pause.
func firstReturn(current *snapshot, pool fleet.PoolID, now time.Time) (time.Time, bool) {
	var first time.Time
	for _, e := range current.engines[pool] {
		upstream := e.upstream()
		if upstream.State != fleet.Live || current.dataCentresOut[upstream.DataCentre] {
			continue
		}
		until, isPaused := e.pausedUntil(now)
		if !isPaused {
			return time.Time{}, false
		}
		if first.IsZero() || until.Before(first) {
			first = until
		}
	}
	return first, !first.IsZero()
}
