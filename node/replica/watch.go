package replica

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"agateswitch/core/revision"
	"agateswitch/port"

	"github.com/juju/errors"
)

// Run keeps the replica up to date until ctx ends.
func (r *Replica) Run(ctx context.Context) {
	var loops sync.WaitGroup
	loops.Go(func() { r.pullWhileStale(ctx) })
	loops.Go(func() { r.fetchWhileBehind(ctx) })
	r.loadUntilDone(ctx)
	for ctx.Err() == nil {
		if watchers, self := r.watchers(); !self {
			sleep(ctx, min(pullInterval, r.reliesFor()))
			r.pullFromWatchers(ctx, watchers)
			continue
		}
		// The watchers are asked again after minWatchTime.
		r.setWatchersSilent(false, time.Time{})
		r.watchStore(ctx)
	}
	loops.Wait()
}

// reliesFor returns for how long the copy is new enough to rely on watchers.
func (r *Replica) reliesFor() time.Duration { return max(0, r.freshness.MaxCopyAge-r.Age()) }

// confirmInterval returns how often a watch has to confirm the copy. 0 stands for the store's own interval, which is
// enough in a small fleet, where no other router relies on the copy, unless deletions may wait for a confirmation.
func (r *Replica) confirmInterval() time.Duration {
	switch {
	case r.isSettling():
		return settlingConfirmInterval
	case r.peers.AllWatch():
		return 0
	default:
		return r.freshness.ConfirmInterval
	}
}

// probeInterval is the interval of confirmations of a watch until the store has answered it, once an earlier one has failed: a call that
// the store does not answer then delays the next one by little.
const probeInterval = settlingConfirmInterval

// watchInterval returns how often the next watch has to confirm the copy, and whether it ends with its first answer, because the interval
// is short to find out whether the store answers again.
func (r *Replica) watchInterval(c *contact) (interval time.Duration, isProbe bool) {
	interval = r.confirmInterval()
	r.mu.Lock()
	defer r.mu.Unlock()
	if c.wasLost && (interval == 0 || interval > probeInterval) {
		return probeInterval, true
	}
	return interval, false
}

// load reads all entries at once, the desired state included.
func (r *Replica) load(ctx context.Context) error {
	startedAt := time.Now()
	desired, listed := port.Entry{Key: r.desired.key}, r.newListing()
	listedAt, err := r.store.List(ctx, "", func(entry port.Entry) {
		if entry.Key == r.desired.key {
			desired = entry
		} else if t := r.treeOf(entry.Key); t != nil {
			listed.add(t, entry)
		}
	})
	if err != nil {
		return err
	}
	r.markReachable("", r.contacts()...)
	// Callers are served from the first desired state on, which is why it comes last.
	for _, t := range r.trees {
		r.replace(t, listed.byTree[t], listedAt, startedAt, time.Time{})
	}
	r.applyDesired(desired, startedAt)
	r.confirmDesired(desired.Revision, startedAt, listedAt)
	return nil
}

// treeOf returns the tree of a key, or nil.
func (r *Replica) treeOf(key string) *tree {
	for _, t := range r.trees {
		if strings.HasPrefix(key, t.prefix) {
			return t
		}
	}
	return nil
}

// watchStore watches the store until ctx ends, or until another router watches for this one. One watch
// covers all entries while the desired state is small. Otherwise each tree and the desired state have
// a watch of their own, so that no other entry waits for it.
func (r *Replica) watchStore(ctx context.Context) {
	startedAt := time.Now()
	r.log.Info("watching the store")
	for ctx.Err() == nil {
		apart, interval := r.desiredIsLarge(), r.confirmInterval()
		r.log.Info("watches of the store started", "desired_apart", apart, "confirm_interval", interval)
		stop := r.startWatches(ctx, apart)
		for ctx.Err() == nil && r.desiredIsLarge() == apart && r.confirmInterval() == interval {
			sleep(ctx, pullInterval)
			if _, self := r.watchers(); !self && time.Since(startedAt) > minWatchTime {
				stop()
				r.forgetLoss()
				r.log.Info("other routers watch the store for this one")
				return
			}
		}
		stop()
	}
}

// startWatches starts one watch of all entries, or watches of the trees and the desired state apart.
// The returned function ends them.
func (r *Replica) startWatches(ctx context.Context, apart bool) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var watches sync.WaitGroup
	if apart {
		for _, t := range r.trees {
			watches.Go(func() {
				r.keepWatching(ctx, t.prefix, []*contact{&t.contact}, func() error { return r.watchTree(ctx, t) })
			})
		}
		watches.Go(func() {
			r.keepWatching(ctx, r.desired.key, []*contact{&r.desired.contact}, func() error { return r.watchDesired(ctx) })
		})
	} else {
		watches.Go(func() {
			r.keepWatching(ctx, "", r.contacts(), func() error { return r.watchTogether(ctx) })
		})
	}
	return func() {
		cancel()
		watches.Wait()
	}
}

// contacts returns the contacts of all trees and of the desired state.
func (r *Replica) contacts() []*contact {
	contacts := []*contact{&r.desired.contact}
	for _, t := range r.trees {
		contacts = append(contacts, &t.contact)
	}
	return contacts
}

// keepWatching calls watch again after each failure until ctx ends.
func (r *Replica) keepWatching(ctx context.Context, prefix string, contacts []*contact, watch func() error) {
	failures := 0
	for ctx.Err() == nil {
		r.awaitFallbackRetry(ctx)
		if ctx.Err() != nil {
			return
		}
		startedAt := time.Now()
		err := watch()
		if err == nil || ctx.Err() != nil {
			continue
		}
		if time.Since(startedAt) > maxRetryDelay {
			failures = 0
		}
		r.markUnreachable(prefix, contacts, err)
		if r.postponeFallback() {
			continue
		}
		failures++
		delay := min(minRetryDelay<<min(failures-1, 8), maxRetryDelay)
		sleep(ctx, delay+rand.N(delay))
	}
}

// watchTogether watches all entries until the watch fails, or until it has delivered a large desired state, which is
// watched apart from then on if it is in force.
func (r *Replica) watchTogether(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	after := r.commonRevision()
	batches := map[*tree][]Change{}
	var desired port.Entry
	interval, isProbe := r.watchInterval(&r.desired.contact)
	for event := range r.store.Watch(ctx, "", after, interval) {
		switch {
		case historyIsGone(event.Err):
			r.log.Warn("store does not have the history after the last revision; reading all entries", "after", after, "err", event.Err)
			return r.load(ctx)
		case event.Err != nil:
			return event.Err
		case !event.Progress.IsZero():
			r.markReachable("", r.contacts()...)
			confirmedAt := time.Now()
			isLarge := len(desired.Value) > largeStateBytes
			if isLarge {
				// The response may have ended before the newest change.
				confirmedAt = time.Time{}
			}
			for _, t := range r.trees {
				r.apply(t, batches[t], event.Progress, confirmedAt)
			}
			if !desired.Revision.IsAbsent() {
				r.applyDesired(desired, confirmedAt)
			}
			if isLarge {
				r.awaitSeparateWatches(ctx)
				return nil
			}
			r.confirmDesired(r.heldRevision(), confirmedAt, event.Progress)
			if isProbe {
				return nil
			}
			clear(batches)
			desired = port.Entry{}
		case event.Entry.Key == r.desired.key:
			if !event.Deleted {
				desired = event.Entry
			}
		default:
			if t := r.treeOf(event.Entry.Key); t != nil {
				batches[t] = append(batches[t], Change{Entry: event.Entry, Deleted: event.Deleted})
			}
		}
	}
	return errors.New("watch of the store ended without an error")
}

// awaitSeparateWatches waits until ctx ends, which it does once watchStore has found the desired state large, or
// until the state in force is not large: a smaller one may have been read or fetched before the watch delivered this one.
func (r *Replica) awaitSeparateWatches(ctx context.Context) {
	for ctx.Err() == nil && r.desiredIsLarge() {
		sleep(ctx, pullInterval)
	}
}

// commonRevision returns a revision up to which all copies are complete.
func (r *Replica) commonRevision() revision.Revision {
	r.mu.Lock()
	defer r.mu.Unlock()
	common := revision.Latest(r.desired.asOf, r.desired.held.Revision.Stored())
	for _, t := range r.trees {
		if common.After(t.asOf) {
			common = t.asOf
		}
	}
	return common
}

// historyIsGone reports whether a watch has failed because the store does not have the changes after its
// revision. All entries have to be read then.
func historyIsGone(err error) bool {
	return errors.Is(err, port.ErrCompacted) || errors.Is(err, port.ErrRestored)
}

// watchTree watches a tree until the watch fails.
func (r *Replica) watchTree(ctx context.Context, t *tree) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.mu.Lock()
	after := t.asOf
	r.mu.Unlock()
	var batch []Change
	interval, isProbe := r.watchInterval(&t.contact)
	for event := range r.store.Watch(ctx, t.prefix, after, interval) {
		switch {
		case historyIsGone(event.Err):
			r.log.Warn("store does not have the history after the last revision; reading all entries", "prefix", t.prefix, "after", after, "err", event.Err)
			return r.list(ctx, t)
		case event.Err != nil:
			return event.Err
		case !event.Progress.IsZero():
			r.markReachable(t.prefix, &t.contact)
			r.apply(t, batch, event.Progress, time.Now())
			if isProbe {
				return nil
			}
			batch = nil
		default:
			batch = append(batch, Change{Entry: event.Entry, Deleted: event.Deleted})
		}
	}
	return errors.New("watch of the store ended without an error")
}

// list reads all entries of a tree, and deletes those that the store no longer has.
func (r *Replica) list(ctx context.Context, t *tree) error {
	startedAt := time.Now()
	listed := r.newListing()
	listedAt, err := r.store.List(ctx, t.prefix, func(entry port.Entry) { listed.add(t, entry) })
	if err != nil {
		return err
	}
	r.markReachable(t.prefix, &t.contact)
	r.replace(t, listed.byTree[t], listedAt, startedAt, time.Time{})
	return nil
}

// replace applies the complete tree at a revision. Entries that are missing in it may be written again
// until settledAt, if that is not zero; if the store was restored since the last copy, for
// restoreSettlePeriod at least.
func (r *Replica) replace(t *tree, listed []Change, listedAt revision.Revision, confirmedAt, settledAt time.Time) {
	r.mu.Lock()
	wasRestored := !t.asOf.IsZero() && listedAt.IsOfLaterEra(t.asOf)
	if wasRestored && settledAt.IsZero() {
		settledAt = time.Now().Add(restoreSettlePeriod)
	}
	changes := append(t.missing(listed, listedAt, settledAt), listed...)
	t.prunedRevision = revision.Latest(t.prunedRevision, listedAt)
	if wasRestored {
		t.restoreSettledAt = settledAt
		r.postponeFurther(t.prefix, settledAt)
	}
	r.mu.Unlock()
	r.apply(t, changes, listedAt, confirmedAt)
}

// markReachable records that the store answers the watch of a prefix.
func (r *Replica) markReachable(prefix string, contacts ...*contact) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fallbackFailures, r.fallbackRetryAt = 0, time.Time{}
	regained := false
	for _, c := range contacts {
		regained = c.answer(time.Now()) || regained
	}
	if !regained {
		return
	}
	r.log.Info("store dependency regained", "prefix", prefix)
	for _, t := range r.trees {
		r.postponeFurther(t.prefix, t.settledAt())
	}
}

// forgetLoss makes the next answer of the store count as no return of it: until then other routers confirm the copy,
// and tell when an outage has ended.
func (r *Replica) forgetLoss() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.contacts() {
		c.wasLost = false
	}
}

// markUnreachable records that the watch of a prefix failed.
func (r *Replica) markUnreachable(prefix string, contacts []*contact, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	lost := false
	for _, c := range contacts {
		lost = lost || !c.wasLost
		c.reachable, c.wasLost = false, true
	}
	if lost {
		r.log.Warn("store dependency lost", "prefix", prefix, "err", err)
	}
}
