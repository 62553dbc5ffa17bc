package gateway

import (
	"sync"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/core/outlier"
	"agateswitch/core/pace"
	"agateswitch/core/rendezvous"
	"agateswitch/port"
)

const (
	// coldRateWindow is the window over which the request rate of a cold upstream is limited.
	coldRateWindow = time.Second
	// maxEntryLag is the maximum age of an upstream's entry on its arrival here.
	maxEntryLag = 1200 * time.Millisecond
	// recoveryRatePerSecond is how many requests per second all routers together send to an
	// upstream that was unreachable and has not reported since then whether it is cold.
	recoveryRatePerSecond = 8
)

// engine is one incarnation of an upstream, which may also be a plain service, and its state as
// known to this router. The fields above mu are immutable.
type engine struct {
	id          fleet.UpstreamID
	hash        uint64
	incarnation int64

	mu           sync.Mutex
	entry        port.EngineEntry
	tracker      outlier.Tracker
	coldRequests *pace.Window
	// coldUntil is when the upstream stops being cold according to its entry.
	coldUntil time.Time
	// assumedColdUntil is when it stops being treated as cold for another reason.
	assumedColdUntil time.Time
	// unreachableAt is when a connection to it last failed; zero once it has reported since then.
	unreachableAt time.Time
	// removeAt is when the upstream is removed because its entry has expired; zero while it has an
	// entry.
	removeAt time.Time
}

func newEngine(entry port.EngineEntry) *engine {
	return &engine{
		id: entry.Upstream.ID, hash: rendezvous.Hash(string(entry.Upstream.ID)), incarnation: entry.Incarnation,
		coldRequests: pace.NewWindow(coldRateWindow),
	}
}

// applyEntry applies a new version of the upstream's entry. An entry that arrives more than
// maxEntryLag after the last failed connection was written after that failure, and so states whether
// the upstream is cold now.
func (e *engine) applyEntry(entry port.EngineEntry, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.entry = entry
	e.removeAt = time.Time{}
	e.coldUntil = now.Add(entry.Cold)
	if now.Sub(e.unreachableAt) > maxEntryLag && !e.tracker.ConnectionsFailing() {
		e.unreachableAt = time.Time{}
	}
}

// assumeCold treats the upstream as cold until the given time.
func (e *engine) assumeCold(until time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.assumedColdUntil = until
}

func (e *engine) upstream() fleet.Upstream {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.entry.Upstream
}

// recordResult records the result of a call.
func (e *engine) recordResult(now time.Time, result outlier.Result) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tracker.Observe(now, result)
	if result == outlier.Unreachable {
		e.unreachableAt = now
	}
}

// engineStatus is the part of an upstream's state on which the choice of an upstream depends.
type engineStatus struct {
	upstream    fleet.Upstream
	failureRate float64
	// ejected upstreams get a request only if no other upstream admits it.
	ejected bool
	// rateLimited upstreams get requests at a limited rate, because they are cold or assumed to be,
	// or were unreachable.
	rateLimited bool
}

func (e *engine) status(now time.Time) engineStatus {
	e.mu.Lock()
	defer e.mu.Unlock()
	return engineStatus{
		upstream: e.entry.Upstream, failureRate: e.tracker.FailureRate(now), ejected: e.tracker.Ejected(now),
		rateLimited: e.isRateLimited(now),
	}
}

// isRateLimited returns engineStatus.rateLimited. The caller holds mu.
func (e *engine) isRateLimited(now time.Time) bool {
	return now.Before(e.coldUntil) || now.Before(e.assumedColdUntil) || !e.unreachableAt.IsZero()
}

// admit reports whether a request may be sent to the upstream. It counts the requests to a
// rate-limited upstream, and refuses those above this router's share of the rate.
func (e *engine) admit(now time.Time, coldShare, recoveryShare int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case now.Before(e.coldUntil) || now.Before(e.assumedColdUntil):
		return e.coldRequests.Allow(now, coldShare)
	case !e.unreachableAt.IsZero():
		return e.coldRequests.Allow(now, recoveryShare)
	}
	return true
}
