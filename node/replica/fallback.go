package replica

import (
	"context"
	"math/rand/v2"
	"time"

	"agateswitch/core/fleet"
)

// pullFromWatchers pulls from one of the watchers, and records since when they have not answered. It gives up
// once the copy is too old.
func (r *Replica) pullFromWatchers(ctx context.Context, watchers []fleet.HostID) {
	ctx, cancel := context.WithTimeout(ctx, r.reliesFor())
	defer cancel()
	startedAt := time.Now()
	lostStore, err := r.pullFrom(ctx, watchers[rand.N(len(watchers))], pullRequest{})
	r.setWatchersSilent(lostStore || err != nil, startedAt)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil {
		r.watchersGoneSince = time.Time{}
	} else if r.watchersGoneSince.IsZero() {
		r.watchersGoneSince = startedAt
	}
}

// watchersAreGone reports whether no watcher has answered for some time, not even that it has lost the store. The router does not
// wait for them to regain it then. The caller holds mu.
func (r *Replica) watchersAreGone() bool {
	return !r.watchersGoneSince.IsZero() && time.Since(r.watchersGoneSince) > silentWatchersTimeout
}

// setWatchersSilent records that watchers did or did not answer a pull that began at a time. One that has
// lost the store counts as silent. Those that pull from it watch the store then, and not the many that pull from
// these: while the store is away, few call it.
func (r *Replica) setWatchersSilent(silent bool, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case !silent:
		r.watchersSilentSince = time.Time{}
	case r.watchersSilentSince.IsZero():
		r.watchersSilentSince = at
	}
}

// watchers returns the routers that watch the store for this one. self is true when it has to watch
// the store itself: because it is a watcher, or the watchers do not answer or have stale copies.
func (r *Replica) watchers() (watchers []fleet.HostID, self bool) {
	watchers, self = r.peers.Watchers()
	r.mu.Lock()
	silent := !r.watchersSilentSince.IsZero() && time.Since(r.watchersSilentSince) > silentWatchersTimeout &&
		(time.Now().After(r.fallbackRetryAt) || r.watchersAreGone())
	r.mu.Unlock()
	return watchers, self || silent || r.reliesFor() == 0 || len(watchers) == 0
}

// postponeFallback sets when a router for which others should watch may watch the store again, after it has
// failed. It reports false on a router that should watch, and while those that should do not answer.
func (r *Replica) postponeFallback() bool {
	if _, planned := r.peers.Watchers(); planned {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.watchersAreGone() {
		return false
	}
	if time.Now().Before(r.fallbackRetryAt) {
		return true
	}
	delay := min(minFallbackDelay<<min(r.fallbackFailures, 8), maxFallbackDelay)
	r.fallbackFailures++
	r.fallbackRetryAt = time.Now().Add(delay + rand.N(delay))
	return true
}

// awaitFallbackRetry waits until the time that postponeFallback has set, or until the router should watch.
func (r *Replica) awaitFallbackRetry(ctx context.Context) {
	for ctx.Err() == nil {
		r.mu.Lock()
		remaining, isGone := time.Until(r.fallbackRetryAt), r.watchersAreGone()
		r.mu.Unlock()
		if _, planned := r.peers.Watchers(); planned || isGone || remaining <= 0 {
			return
		}
		sleep(ctx, min(remaining, pullInterval))
	}
}
