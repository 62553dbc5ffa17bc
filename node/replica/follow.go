package replica

import (
	"context"
	"math/rand/v2"
	"time"

	"agateswitch/port"

	"github.com/juju/errors"
)

// Run keeps the replica until ctx ends.
func (r *Replica) Run(ctx context.Context) {
	go r.pullWhileStale(ctx)
	failures := 0
	for ctx.Err() == nil {
		if r.followWatchers(ctx) {
			continue
		}
		began := time.Now()
		err := r.follow(ctx)
		if time.Since(began) > maxRetryPause {
			failures = 0
		}
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, errWatchedByOthers) {
			r.log.Info("other routers watch the store for this one")
			continue
		}
		r.lost(err)
		failures++
		length := r.retryPause(failures)
		sleep(ctx, length+rand.N(length))
	}
}

// retryPause is the time before the next try of the store after a number of failures in a row.
func (r *Replica) retryPause(failures int) time.Duration {
	select {
	case <-r.loaded:
		return min(retryPause<<min(failures-1, 8), maxRetryPause)
	default:
		return firstRetryPause
	}
}

// followWatchers gets changes from a router that watches the store. It returns false at once when
// this router is to read the store itself: to load everything, as a watcher, or because the
// watchers' copies are old.
func (r *Replica) followWatchers(ctx context.Context) bool {
	watchers, self := r.peers.Watchers()
	r.mu.Lock()
	loaded := r.asOf > 0
	r.mu.Unlock()
	if self || !loaded || r.Age() > watcherAge || len(watchers) == 0 {
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
	began := time.Now()
	var batch []Change
	for event := range r.store.Watch(ctx, "", after) {
		switch {
		case errors.Is(event.Err, port.ErrCompacted):
			r.log.Warn("store history lost, reading everything", "after", after)
			return r.load(ctx)
		case event.Err != nil:
			return event.Err
		case event.Progress > 0:
			r.regained()
			r.apply(batch, event.Progress, time.Now())
			batch = nil
			if _, self := r.peers.Watchers(); !self && time.Since(began) > watchTime {
				return errWatchedByOthers
			}
		default:
			batch = append(batch, Change{Entry: event.Entry, Deleted: event.Deleted})
		}
	}
	return errors.New("the watch ended")
}

// load reads everything and deletes what is gone.
func (r *Replica) load(ctx context.Context) error {
	began := time.Now()
	entries, revision, err := r.store.List(ctx, "")
	if err != nil {
		return err
	}
	r.regained()
	r.replaceAll(entries, revision, began, time.Time{})
	return nil
}

// replaceAll takes a whole state that holds at revision. Entries that are missing in it may come
// back until settled, if that is not zero.
func (r *Replica) replaceAll(entries []port.Entry, revision int64, confirmed, settled time.Time) {
	present := make(map[string]bool, len(entries))
	changes := make([]Change, 0, len(entries))
	for _, entry := range entries {
		present[entry.Key] = true
		changes = append(changes, Change{Entry: entry})
	}
	r.mu.Lock()
	for key, entry := range r.entries {
		if !present[key] && entry.Revision <= revision {
			changes = append(changes, Change{Entry: port.Entry{Key: key, Revision: revision}, Deleted: true, Settled: settled})
		}
	}
	r.mu.Unlock()
	r.apply(changes, revision, confirmed)
}

// regained notes that the store answers.
func (r *Replica) regained() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reached {
		return
	}
	now := time.Now()
	if !r.confirmed.IsZero() {
		r.returned = now
	}
	r.reached = true
	r.log.Info("store dependency regained", "revision", r.asOf, "age", now.Sub(r.confirmed))
}

func (r *Replica) lost(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.reached {
		r.log.Warn("store dependency lost", "revision", r.asOf, "age", time.Since(r.confirmed), "err", err)
	}
	r.reached = false
}
