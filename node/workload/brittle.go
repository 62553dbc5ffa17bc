package workload

import (
	"time"

	"agateswitch/core/fleet"
	"agateswitch/core/ratelimit"
)

// StateBrittle records that an answer of an upstream says that it falls over when it has to turn away more than a number of
// requests per second, and tells the other routers. It reports whether that is news.
func (w *Workload) StateBrittle(upstream fleet.UpstreamID, incarnation int64, perSecond float64) bool {
	return w.stateMark(&w.brittle, upstream, incarnation, perSecond)
}

// EndBrittle records that an answer to a request that was sent at sentAt does not say so. It reports whether that is news.
func (w *Workload) EndBrittle(upstream fleet.UpstreamID, incarnation int64, sentAt time.Time) bool {
	return w.endMark(&w.brittle, upstream, incarnation, sentAt)
}

// Brittle returns how many requests per second an incarnation of an upstream turns away without falling over, or false if it
// is not brittle.
func (w *Workload) Brittle(upstream fleet.UpstreamID, incarnation int64) (float64, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.brittle.Limit(upstream, incarnation)
}

// AllBrittle returns the incarnations of upstreams that are brittle. The map must not be changed.
func (w *Workload) AllBrittle() map[fleet.UpstreamID]int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.brittle.Limited()
}

// learnBrittle records what another router told, and passes it on if this router is its relay. Callers hold mu.
func (w *Workload) learnBrittle(marks []ratelimit.Mark, isRelay bool) {
	now := time.Now()
	for _, mark := range marks {
		if w.brittle.Merge(mark, now, isRelay) {
			w.log.Info("upstream's brittleness learned from another router", "upstream", mark.Upstream, "incarnation", mark.Incarnation,
				"per_second", mark.PerSecond, "age_ms", mark.AgeMs)
		}
	}
}
