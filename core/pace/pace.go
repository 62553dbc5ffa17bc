// Package pace limits how often something may be done: a rate over a sliding window, and
// retries as a fraction of requests. Each router keeps its own share of a limit that binds the
// fleet, so that no router waits for another, and a frozen or unreachable one changes nothing.
package pace

import (
	"math"
	"time"
)

// Window allows a number of events in any span of its length.
type Window struct {
	span   time.Duration
	events []time.Time
}

// NewWindow makes a window.
func NewWindow(span time.Duration) *Window { return &Window{span: span} }

// Take counts an event at now, unless limit events lie within the span before it.
func (w *Window) Take(now time.Time, limit int) bool {
	w.forget(now)
	if len(w.events) >= limit {
		return false
	}
	w.events = append(w.events, now)
	return true
}

// Count returns the events within the span before now.
func (w *Window) Count(now time.Time) int {
	w.forget(now)
	return len(w.events)
}

func (w *Window) forget(now time.Time) {
	old := 0
	for old < len(w.events) && now.Sub(w.events[old]) >= w.span {
		old++
	}
	w.events = w.events[old:]
}

// Share returns how many of limit events fall to one of the given number of routers. Where
// there are fewer events than routers, position tells whether this router is among those that
// get one: it is the router's rank, from 0, in an order on which all routers agree.
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

// WindowedRetries allows retries as a fraction of the requests of a sliding window, and a few more.
// Where a bound is given for windows of a length, it keeps to it exactly; the retry budget of
// package admission follows successes instead.
type WindowedRetries struct {
	requests *Window
	retries  *Window
}

// NewWindowedRetries makes a budget.
func NewWindowedRetries(span time.Duration) *WindowedRetries {
	return &WindowedRetries{requests: NewWindow(span), retries: NewWindow(span)}
}

// Request counts a request.
func (b *WindowedRetries) Request(now time.Time) { b.requests.Take(now, math.MaxInt) }

// Retry counts a retry, unless those of the window exceed ratio of the requests, and extra.
func (b *WindowedRetries) Retry(now time.Time, ratio, extra float64) bool {
	return b.retries.Take(now, int(ratio*float64(b.requests.Count(now))+extra))
}
