package replica

import (
	"context"
	"math/rand/v2"
	"time"

	"agateswitch/port"

	"github.com/juju/errors"
)

// Run keeps the replica up to date until ctx ends.
func (r *Replica) Run(ctx context.Context) {
	go r.pullWhileStale(ctx)
	failures := 0
	for ctx.Err() == nil {
		if r.followWatchers(ctx) {
			continue
		}
		startedAt := time.Now()
		err := r.follow(ctx)
		if time.Since(startedAt) > maxRetryDelay {
			failures = 0
		}
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, errWatchedByOthers) {
			r.log.Info("other routers watch the store for this one")
			continue
		}
		r.markUnreachable(err)
		failures++
		delay := r.retryDelay(failures)
		sleep(ctx, delay+rand.N(delay))
	}
}

// retryDelay returns the delay after a number of consecutive failures to reach the store.
func (r *Replica) retryDelay(failures int) time.Duration {
	select {
	case <-r.loaded:
		return min(minRetryDelay<<min(failures-1, 8), maxRetryDelay)
	default:
		return unloadedRetryDelay
	}
}

// followWatchers pulls changes from a router that watches the store. It returns false at once when
// this router has to read the store itself: because it has no state yet, is a watcher, or the
// watchers' copies are stale.
func (r *Replica) followWatchers(ctx context.Context) bool {
	watchers, self := r.peers.Watchers()
	r.mu.Lock()
	loaded := r.asOf > 0
	r.mu.Unlock()
	if self || !loaded || r.Age() > maxWatcherCopyAge || len(watchers) == 0 {
		return false
	}
	sleep(ctx, pullInterval)
	r.pullFrom(ctx, watchers[rand.N(len(watchers))], pullRequest{Withhold: true})
	return true
}

// follow watches the store until the watch fails, or until another router watches for this one.
func (r *Replica) follow(ctx context.Context) error {
	r.mu.Lock()
	after := r.asOf
	r.mu.Unlock()
	if after == 0 {
		if err := r.load(ctx); err != nil {
			return err
		}
	}
	r.mu.Lock()
	after = r.asOf
	r.mu.Unlock()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	startedAt := time.Now()
	var batch []Change
	for event := range r.store.Watch(ctx, "", after) {
		switch {
		case errors.Is(event.Err, port.ErrCompacted):
			r.log.Warn("store has compacted the history after the last revision; reading all entries", "after", after)
			return r.load(ctx)
		case event.Err != nil:
			return event.Err
		case event.Progress > 0:
			r.markReachable()
			r.apply(batch, event.Progress, time.Now())
			batch = nil
			if _, self := r.peers.Watchers(); !self && time.Since(startedAt) > minWatchTime {
				return errWatchedByOthers
			}
		default:
			batch = append(batch, Change{Entry: event.Entry, Deleted: event.Deleted})
		}
	}
	return errors.New("watch of the store ended without an error")
}

// load reads all entries, and deletes those that the store no longer has.
func (r *Replica) load(ctx context.Context) error {
	startedAt := time.Now()
	entries, revision, err := r.store.List(ctx, "")
	if err != nil {
		return err
	}
	r.markReachable()
	r.replaceAll(entries, revision, startedAt, time.Time{})
	return nil
}

// replaceAll applies the complete state at a revision. Entries that are missing in it may be written
// again until settledAt, if that is not zero.
func (r *Replica) replaceAll(entries []port.Entry, revision int64, confirmedAt, settledAt time.Time) {
	present := make(map[string]bool, len(entries))
	changes := make([]Change, 0, len(entries))
	for _, entry := range entries {
		present[entry.Key] = true
		changes = append(changes, Change{Entry: entry})
	}
	r.mu.Lock()
	for key, entry := range r.entries {
		if !present[key] && entry.Revision <= revision {
			changes = append(changes, Change{Entry: port.Entry{Key: key, Revision: revision}, Deleted: true, Settled: settledAt})
		}
	}
	r.mu.Unlock()
	r.apply(changes, revision, confirmedAt)
}

// markReachable records that the store answers.
func (r *Replica) markReachable() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.storeReachable {
		return
	}
	now := time.Now()
	if !r.confirmedAt.IsZero() {
		r.storeRegainedAt = now
	}
	r.storeReachable = true
	r.log.Info("store dependency regained", "revision", r.asOf, "age", now.Sub(r.confirmedAt))
}

// markUnreachable records that the store failed.
func (r *Replica) markUnreachable(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.storeReachable {
		r.log.Warn("store dependency lost", "revision", r.asOf, "age", time.Since(r.confirmedAt), "err", err)
	}
	r.storeReachable = false
}
