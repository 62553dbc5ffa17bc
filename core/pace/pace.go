// Package pace provides rate limits: a number of events in a sliding window, and retries as a fraction
// of requests. Each router enforces its own share of a limit that holds for the fleet, so that no
// router waits for another, and a paused or unreachable router has no effect on the others.
package pace

import (
	"math"
	"time"
)

// Window limits the number of events in any period of its span.
type Window struct {
	span   time.Duration
	events []time.Time
}

// NewWindow returns a window without events.
func NewWindow(span time.Duration) *Window { return &Window{span: span} }

// Allow reports whether an event is allowed at now, and records it if so. It is not if the span
// before now already has limit events.
func (w *Window) Allow(now time.Time, limit int) bool {
	w.removeExpired(now)
	if len(w.events) >= limit {
		return false
	}
	w.events = append(w.events, now)
	return true
}

// Count returns the number of events within the span before now.
func (w *Window) Count(now time.Time) int {
	w.removeExpired(now)
	return len(w.events)
}

func (w *Window) removeExpired(now time.Time) {
	expired := 0
	for expired < len(w.events) && now.Sub(w.events[expired]) >= w.span {
		expired++
	}
	w.events = w.events[expired:]
}

// Share returns a router's share of a fleet-wide limit on events. If there are fewer events than
// routers, only the first routers get one each: position is the router's rank, from 0, in an order
// that is the same on all routers.
func Share(limit float64, routers, position int) int {
	if routers <= 1 {
		return int(limit)
	}
	share := int(math.Floor(limit / float64(routers)))
	if share == 0 && float64(position) < math.Floor(limit) {
		return 1
	}
	return share
}

// WindowedRetryBudget limits retries to a fraction of the requests of a sliding window, plus a few
// extra ones. It enforces the bound exactly, in any window of its span. The retry budget of package
// admission depends on successes instead.
type WindowedRetryBudget struct {
	requests *Window
	retries  *Window
}

// NewWindowedRetryBudget returns a budget for windows of the given span.
func NewWindowedRetryBudget(span time.Duration) *WindowedRetryBudget {
	return &WindowedRetryBudget{requests: NewWindow(span), retries: NewWindow(span)}
}

// RecordRequest records a request.
func (b *WindowedRetryBudget) RecordRequest(now time.Time) { b.requests.Allow(now, math.MaxInt) }

// AllowRetry reports whether a retry is allowed at now, and records it if so. A window allows ratio
// retries for each of its requests, plus extra ones.
func (b *WindowedRetryBudget) AllowRetry(now time.Time, ratio, extra float64) bool {
	return b.retries.Allow(now, int(ratio*float64(b.requests.Count(now))+extra))
}
