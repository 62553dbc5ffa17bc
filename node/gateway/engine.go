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
	// coldSpan is the window in which a cold upstream's rate is counted.
	coldSpan = time.Second
	// entryLag is how old the content of an upstream's entry may be when it comes.
	entryLag = 1200 * time.Millisecond
	// cautiousRate is how many requests a second all routers together send to an upstream
	// that could not be reached and has not told since whether it is cold.
	cautiousRate = 8
)

// engine is one start of an upstream, and what this router knows of it. The fields above mu
// never change.
type engine struct {
	id   fleet.UpstreamID
	hash uint64
	born int64

	mu      sync.Mutex
	entry   port.EngineEntry
	tracker outlier.Tracker
	cold    *pace.Window
	// coldUntil is when the upstream stops being cold, by its entry.
	coldUntil time.Time
	// heldColdUntil is when it stops being treated as cold for another reason.
	heldColdUntil time.Time
	// unreachableAt is when it last could not be reached; zero once it has told since.
	unreachableAt time.Time
	// goneAt is when a lapsed entry means that the upstream is gone; zero while it has one.
	goneAt time.Time
}

func newEngine(entry port.EngineEntry) *engine {
	return &engine{
		id: entry.Upstream.ID, hash: rendezvous.Hash(string(entry.Upstream.ID)), born: entry.Incarnation,
		cold: pace.NewWindow(coldSpan),
	}
}

// update takes an entry of the upstream.
func (e *engine) update(entry port.EngineEntry, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.entry = entry
	e.goneAt = time.Time{}
	e.coldUntil = now.Add(entry.Cold)
	if now.Sub(e.unreachableAt) > entryLag && !e.tracker.ConnectionsFailing() {
		e.unreachableAt = time.Time{}
	}
}

// holdCold treats the upstream as cold for a time.
func (e *engine) holdCold(until time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.heldColdUntil = until
}

func (e *engine) upstream() fleet.Upstream {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.entry.Upstream
}

// observe takes the result of a call.
func (e *engine) observe(now time.Time, result outlier.Result) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tracker.Observe(now, result)
	if result == outlier.Unreachable {
		e.unreachableAt = now
	}
}

// standing is what a choice needs to know of an upstream.
type standing struct {
	upstream    fleet.Upstream
	failureRate float64
	// ejected upstreams get a request only if there are no others.
	ejected bool
	// limited upstreams get requests at the rate of a cold one.
	limited bool
}

func (e *engine) standing(now time.Time) standing {
	e.mu.Lock()
	defer e.mu.Unlock()
	return standing{
		upstream: e.entry.Upstream, failureRate: e.tracker.FailureRate(now), ejected: e.tracker.Ejected(now),
		limited: e.isLimited(now),
	}
}

func (e *engine) isLimited(now time.Time) bool {
	return now.Before(e.coldUntil) || now.Before(e.heldColdUntil) || !e.unreachableAt.IsZero()
}

// admit counts a request that is about to be sent. It returns false when the upstream is cold
// and this router's share of what it bears is used up.
func (e *engine) admit(now time.Time, coldShare, cautiousShare int) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case now.Before(e.coldUntil) || now.Before(e.heldColdUntil):
		return e.cold.Allow(now, coldShare)
	case !e.unreachableAt.IsZero():
		return e.cold.Allow(now, cautiousShare)
	}
	return true
}
