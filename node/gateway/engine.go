package gateway

import (
	"sync"
	"time"

	"agateswitch/core/balance"
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
	// pathLostTime is how long an answer to another router shows that an upstream without a path from here is alive.
	pathLostTime = 5 * time.Second
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
	// path is what the last connection to the upstream says of the path.
	path pathState
	// aliveElsewhereAt is when the upstream last answered a request that another router had sent for this one.
	aliveElsewhereAt time.Time
	// leaving is true once the upstream, or another router, has said that it leaves.
	leaving bool
	pause   pace.Pause
	// ignoredLimit is true once the upstream has stated a rate limit that is no usable number.
	ignoredLimit bool
	// smoothedLoad is the mean of the load that all routers put on the upstream.
	smoothedLoad balance.SmoothedLoad
}

// pathState is what a router knows of its path to an upstream.
type pathState int

const (
	pathUsable pathState = iota
	// pathRefused means that the last connection was refused or reset.
	pathRefused
	// pathSilent means that it took too long.
	pathSilent
)

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
	return e.upstreamLocked()
}

// upstreamLocked returns the upstream. The caller holds mu.
func (e *engine) upstreamLocked() fleet.Upstream {
	upstream := e.entry.Upstream
	if e.leaving {
		upstream.State = fleet.Leaving
	}
	return upstream
}

// markLeaving records that the upstream leaves.
func (e *engine) markLeaving() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = true
}

// askPause records that the upstream wants no requests for some time.
func (e *engine) askPause(now time.Time, length time.Duration) (until time.Time, reason pace.PauseReason) {
	e.mu.Lock()
	defer e.mu.Unlock()
	reason = e.pause.Ask(now, length)
	return e.pause.Until(), reason
}

// ignoreLimit records that the upstream has stated an unusable rate limit. It reports whether that is the first one.
func (e *engine) ignoreLimit() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	isFirst := !e.ignoredLimit
	e.ignoredLimit = true
	return isFirst
}

// pausedUntil returns until when the upstream wants no requests. It reports false if it wants some.
func (e *engine) pausedUntil(now time.Time) (time.Time, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.pause.Until(), e.pause.Active(now)
}

// recordResult records the result of a call.
func (e *engine) recordResult(now time.Time, result outlier.Result) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tracker.Observe(now, result)
	switch result {
	case outlier.Unreachable:
		e.unreachableAt = now
	case outlier.Success:
		e.path = pathUsable
	}
}

// recordNoConnection records that no connection to the upstream was established.
func (e *engine) recordNoConnection(now time.Time, path pathState) {
	e.recordResult(now, outlier.Unreachable)
	e.setPath(path)
}

// setPath records what a connection says of the path.
func (e *engine) setPath(path pathState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.path = path
}

// recordConnection records that a connection to the upstream was established. One that has answered others meanwhile has not
// restarted.
func (e *engine) recordConnection() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.tracker.ObserveConnection()
	e.path = pathUsable
	if e.aliveElsewhereAt.After(e.unreachableAt) {
		e.unreachableAt = time.Time{}
	}
}

// recordAliveElsewhere records that the upstream has answered another router, so that it has not restarted.
func (e *engine) recordAliveElsewhere(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.aliveElsewhereAt = now
	if e.path != pathUsable {
		e.unreachableAt = time.Time{}
	}
}

// smoothLoad returns the mean of the upstream's load over the last seconds, given the one known at now.
func (e *engine) smoothLoad(now time.Time, load float64) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.smoothedLoad.Add(now, load)
}

// engineStatus is the part of an upstream's state on which the choice of an upstream depends.
type engineStatus struct {
	upstream    fleet.Upstream
	slots       int
	failureRate float64
	// ejected upstreams get a request only if no other upstream admits it.
	ejected bool
	// rateLimited upstreams get requests at a limited rate, because they are cold or assumed to be,
	// or were unreachable.
	rateLimited bool
	path        pathState
	// isRecovering is true if the upstream was unreachable and has not reported since then.
	isRecovering bool
	// isPathLost is true if the path is not usable although the upstream answers other routers.
	isPathLost bool
	// paused upstreams have asked for a pause that is not over.
	paused bool
}

func (e *engine) status(now time.Time) engineStatus {
	e.mu.Lock()
	defer e.mu.Unlock()
	return engineStatus{
		path: e.path, isRecovering: !e.unreachableAt.IsZero(), isPathLost: e.path != pathUsable && now.Sub(e.aliveElsewhereAt) < pathLostTime,
		upstream: e.upstreamLocked(), slots: e.entry.Slots, failureRate: e.tracker.FailureRate(now), ejected: e.path == pathSilent || e.tracker.Ejected(now),
		rateLimited: e.isRateLimited(now), paused: e.pause.Active(now),
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
