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

// Peak is the largest of the values of a sliding window.
type Peak struct {
	span time.Duration
	// samples have falling values, apart from the times in between.
	samples []sample
}

type sample struct {
	at    time.Time
	value int
}

// NewPeak returns a peak over windows of the given span.
func NewPeak(span time.Duration) *Peak { return &Peak{span: span} }

// Add adds a value at now, and returns the largest one of the span before now.
func (p *Peak) Add(now time.Time, value int) int {
	for len(p.samples) > 0 && now.Sub(p.samples[0].at) >= p.span {
		p.samples = p.samples[1:]
	}
	for len(p.samples) > 0 && p.samples[len(p.samples)-1].value <= value {
		p.samples = p.samples[:len(p.samples)-1]
	}
	p.samples = append(p.samples, sample{at: now, value: value})
	return p.samples[0].value
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

// FleetRetryBudget is one router's part of a retry budget that all routers of a fleet share, for any number of pools. The parts add up
// to no more than the budget while routers restart, and while their number changes. It is not safe for concurrent use.
type FleetRetryBudget[P comparable] struct {
	span  time.Duration
	pools map[P]*WindowedRetryBudget
	fleet *Peak
	// extraFrom is when the part of the extra retries may be used.
	extraFrom time.Time
}

// fleetJoinTime is how long the routers of a fleet that starts for the first time may take to know each other.
const fleetJoinTime = time.Second

// NewFleetRetryBudget returns the part of a router that has started at now, for windows of the given span. A router that was running
// before has forgotten the retries of the last window: it gets no extra ones until that is over. One that starts with its whole fleet
// for the first time gets some once it knows how many routers there are.
func NewFleetRetryBudget[P comparable](now time.Time, span time.Duration, wasRunning bool) *FleetRetryBudget[P] {
	withheld := fleetJoinTime
	if wasRunning {
		withheld = span
	}
	return &FleetRetryBudget[P]{span: span, pools: map[P]*WindowedRetryBudget{}, fleet: NewPeak(span), extraFrom: now.Add(withheld)}
}

// RecordRouters records the number of routers of the fleet. It must be called several times a window, also without requests.
func (b *FleetRetryBudget[P]) RecordRouters(now time.Time, routers int) { b.fleet.Add(now, routers) }

// RecordRequest records a request for a pool.
func (b *FleetRetryBudget[P]) RecordRequest(now time.Time, pool P) { b.pool(pool).RecordRequest(now) }

// AllowRetry reports whether a retry for a pool is allowed at now, and records it if so. ratio and extra are those of the whole fleet
// (WindowedRetryBudget.AllowRetry).
func (b *FleetRetryBudget[P]) AllowRetry(now time.Time, pool P, routers int, ratio, extra float64) bool {
	// Routers that have left may have used their parts in this window.
	part := extra / float64(max(1, b.fleet.Add(now, routers)))
	if now.Before(b.extraFrom) {
		part = 0
	}
	return b.pool(pool).AllowRetry(now, ratio, part)
}

func (b *FleetRetryBudget[P]) pool(pool P) *WindowedRetryBudget {
	budget, found := b.pools[pool]
	if !found {
		budget = NewWindowedRetryBudget(b.span)
		b.pools[pool] = budget
	}
	return budget
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
