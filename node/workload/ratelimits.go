package workload

import (
	"time"

	"agateswitch/core/fleet"
	"agateswitch/core/ratelimit"
)

// StateRateLimit records the rate limit that an answer of an upstream states, and tells the other routers. It reports
// whether that is news.
func (w *Workload) StateRateLimit(upstream fleet.UpstreamID, incarnation int64, perSecond float64) bool {
	return w.stateMark(&w.limits, upstream, incarnation, perSecond)
}

// EndRateLimit records that an answer to a request that was sent at sentAt states no limit. It reports whether that is
// news.
func (w *Workload) EndRateLimit(upstream fleet.UpstreamID, incarnation int64, sentAt time.Time) bool {
	return w.endMark(&w.limits, upstream, incarnation, sentAt)
}

// stateMark records what an answer states, and tells the other routers news.
func (w *Workload) stateMark(marks *ratelimit.Marks, upstream fleet.UpstreamID, incarnation int64, perSecond float64) (isNew bool) {
	w.mu.Lock()
	isNew = marks.State(upstream, incarnation, perSecond, time.Now())
	w.mu.Unlock()
	if isNew {
		w.notifyChange()
	}
	return isNew
}

// endMark records that an answer does not state it any more, and tells the other routers news.
func (w *Workload) endMark(marks *ratelimit.Marks, upstream fleet.UpstreamID, incarnation int64, sentAt time.Time) (isNew bool) {
	w.mu.Lock()
	isNew = marks.End(upstream, incarnation, sentAt, time.Now())
	w.mu.Unlock()
	if isNew {
		w.notifyChange()
	}
	return isNew
}

// RateLimit returns the limit that an incarnation of an upstream has stated to any router, in requests per second, or
// false if it has none.
func (w *Workload) RateLimit(upstream fleet.UpstreamID, incarnation int64) (float64, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.limits.Limit(upstream, incarnation)
}

// RateLimitMark returns what is known of the limit of an incarnation of an upstream.
func (w *Workload) RateLimitMark(upstream fleet.UpstreamID, incarnation int64) (ratelimit.Mark, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.limits.Mark(upstream, incarnation, time.Now())
}

// RateLimits returns the limits in force.
func (w *Workload) RateLimits() []ratelimit.Mark {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.limits.InForce(time.Now())
}

// RateLimited returns the incarnations of upstreams that have a limit. The map must not be changed.
func (w *Workload) RateLimited() map[fleet.UpstreamID]int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.limits.Limited()
}

// LearnRateLimits records what another router told.
func (w *Workload) LearnRateLimits(marks []ratelimit.Mark) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.learnRateLimits(marks, false)
}

// learnRateLimits records what another router told, and passes it on if this router is its relay. Callers hold mu.
func (w *Workload) learnRateLimits(marks []ratelimit.Mark, isRelay bool) {
	now := time.Now()
	for _, mark := range marks {
		if w.limits.Merge(mark, now, isRelay) {
			w.log.Info("upstream's rate limit learned from another router", "upstream", mark.Upstream, "incarnation", mark.Incarnation,
				"per_second", mark.PerSecond, "age_ms", mark.AgeMs)
		}
	}
}
