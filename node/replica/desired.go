package replica

import (
	"context"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/core/revision"
	"agateswitch/port"

	"github.com/juju/errors"
)

// Intervals and timeouts of the desired state.
const (
	// desiredReadInterval is the time between two reads while the desired state changes, so that
	// versions that are overtaken in the meantime are not read.
	desiredReadInterval = 250 * time.Millisecond
	// desiredReadTimeout bounds a read of the desired state from the store.
	desiredReadTimeout = 5 * time.Second
	// largeStateBytes is the size from which a desired state is watched apart from all other entries:
	// some 30 ms on a link of 10 Mbit/s.
	largeStateBytes = 32 << 10
	// maxHolders is the number of routers remembered to fetch a newer desired state from.
	maxHolders = 4
)

// desiredCopy is the copy of the desired state. Replica.mu guards its fields.
type desiredCopy struct {
	contact
	key string
	// isOutdated is port.EntryCodec.IsOutdated.
	isOutdated func(key string, known, found []byte) bool
	// held is the newest entry that this router has, and applied the revision of the newest one that
	// its subscribers have applied.
	held    port.Entry
	applied revision.Revision
	// wasRead is true once the entry has been read, or found to be absent.
	wasRead bool
	// packed is held in the form that other routers fetch. It is nil until one does.
	packed []byte
	// known is the newest revision that the router has heard of, and behindSince when it first heard
	// of one that it does not hold. behindSince is zero while it holds the newest.
	known       revision.Revision
	behindSince time.Time
	// behind has an element when the router has heard of a revision that it does not hold.
	behind chan struct{}
	// holders are routers that hold a newer revision than this one, the last one to say so last.
	holders []holder
	// asOf is a revision of the store at which applied was confirmed to be the newest.
	asOf revision.Revision
	// changed is closed and replaced when applied or confirmedAt changes.
	changed chan struct{}
}

// holder is a router that holds a revision of the desired state.
type holder struct {
	router   fleet.HostID
	revision revision.Revision
	// bytes is the size of the state.
	bytes int
}

func newDesiredCopy(key string, isOutdated func(key string, known, found []byte) bool) desiredCopy {
	return desiredCopy{key: key, isOutdated: isOutdated, behind: make(chan struct{}, 1), changed: make(chan struct{})}
}

// pulled returns what other routers learn about the desired state with a pull.
func (d *desiredCopy) pulled() pulledDesired {
	return pulledDesired{
		Revision: d.held.Revision, Known: d.known, Bytes: len(d.held.Value), AgeMs: ageMs(d.confirmedAt),
	}
}

// hold stores an entry for other routers to fetch. It reports whether it is newer than the one held. An
// older version at a later place is not, which a restored store has again or its writer writes again:
// the held one is kept at that place.
func (d *desiredCopy) hold(entry port.Entry) bool {
	held := d.held.Revision
	if !entry.Revision.After(held) {
		return false
	}
	if !held.IsAbsent() && d.isOutdated(d.key, d.held.Value, entry.Value) {
		d.held.Revision = entry.Revision.Carry(held)
		d.learn(d.held.Revision)
		return false
	}
	d.held, d.packed = entry, nil
	d.learn(entry.Revision)
	return true
}

// learn records that a revision exists.
func (d *desiredCopy) learn(at revision.Revision) {
	d.known = revision.Latest(d.known, at)
	switch {
	case d.known == d.held.Revision:
		d.behindSince = time.Time{}
		return
	case d.behindSince.IsZero():
		d.behindSince = time.Now()
	}
	select {
	case d.behind <- struct{}{}:
	default:
	}
}

// confirm records that the store had no revision above the given one at a time.
func (d *desiredCopy) confirm(newest revision.Revision, at time.Time) {
	isApplied := newest.Stored() == d.applied.Stored() && !newest.After(d.applied)
	if isApplied && at.After(d.confirmedAt) {
		d.confirmedAt = at
		d.notify()
	}
}

func (d *desiredCopy) notify() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// addHolder remembers a router that holds a newer revision.
func (d *desiredCopy) addHolder(added holder) {
	kept := []holder{}
	for _, h := range d.holders {
		if h.router != added.router && h.revision.After(d.held.Revision) {
			kept = append(kept, h)
		}
	}
	kept = append(kept, added)
	d.holders = kept[max(0, len(kept)-maxHolders):]
}

// takeHolder removes and returns the router that was last to hold a newer revision.
func (d *desiredCopy) takeHolder() (holder, bool) {
	for len(d.holders) > 0 {
		last := d.holders[len(d.holders)-1]
		d.holders = d.holders[:len(d.holders)-1]
		if last.revision.After(d.held.Revision) {
			return last, true
		}
	}
	return holder{}, false
}

// DesiredAge returns the time since the desired state in force was last confirmed to be the newest.
func (r *Replica) DesiredAge() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(r.desired.confirmedAt)
}

// applyDesired applies a desired state that was the newest at confirmedAt, unless the router has a
// newer one.
func (r *Replica) applyDesired(entry port.Entry, confirmedAt time.Time) {
	r.applyingDesired <- struct{}{}
	defer func() { <-r.applyingDesired }()
	r.mu.Lock()
	isNewer := r.desired.hold(entry)
	r.mu.Unlock()
	if isNewer {
		for _, observe := range r.desiredSubscribers {
			observe(entry)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.desired.applied = r.desired.held.Revision
	r.desired.notify()
	r.desired.confirm(entry.Revision, confirmedAt)
	r.desired.wasRead = true
	r.updateLoaded()
}

// confirmDesired records that no revision above the given one existed at a time, when the store had
// the revision asOf.
func (r *Replica) confirmDesired(newest revision.Revision, at time.Time, asOf revision.Revision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.desired.confirm(newest, at)
	r.desired.asOf = revision.Latest(r.desired.asOf, asOf)
	r.desired.wasRead = true
	r.updateLoaded()
}

// heldRevision returns the revision of the desired state that the router holds; zero means none.
func (r *Replica) heldRevision() revision.Revision {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.desired.held.Revision
}

// desiredIsLarge reports whether other entries would wait for a transfer of the desired state.
func (r *Replica) desiredIsLarge() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.desired.held.Value) > largeStateBytes
}

// learnDesired applies what a router told about its desired state in the answer to a pull that began
// at startedAt.
func (r *Replica) learnDesired(from fleet.HostID, pulled pulledDesired, startedAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.desired.confirm(pulled.Revision, startedAt.Add(-time.Duration(pulled.AgeMs)*time.Millisecond))
	if pulled.Revision.After(r.desired.held.Revision) {
		r.desired.addHolder(holder{router: from, revision: pulled.Revision, bytes: pulled.Bytes})
	}
	r.desired.learn(revision.Latest(pulled.Known, pulled.Revision))
}

// readDesired reads the desired state from the store and applies it. It reports whether the router did
// not have it before: the store sends no value as long as the router holds the newest. Concurrent
// calls share a read. It goes on after wait has elapsed, so that the part that has been transferred is
// not wasted.
func (r *Replica) readDesired(ctx context.Context, wait time.Duration) (isNew bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	shared := r.reads.DoChan(r.desired.key, func() (any, error) {
		reading, cancel := context.WithTimeout(context.WithoutCancel(ctx), desiredReadTimeout)
		defer cancel()
		return r.readNewest(reading)
	})
	select {
	case result := <-shared:
		return result.Val.(bool), result.Err
	case <-ctx.Done():
		return false, errors.Trace(ctx.Err())
	}
}

// readNewest reads the desired state once more if the first read found that the store was restored: that one fails,
// since its condition may have met the number of another write.
func (r *Replica) readNewest(ctx context.Context) (isNew bool, err error) {
	era := r.era()
	isNew, err = r.readIfChanged(ctx)
	if err != nil && r.era() > era {
		return r.readIfChanged(ctx)
	}
	return isNew, err
}

// readIfChanged reads the desired state unless the store has the one that the router holds.
func (r *Replica) readIfChanged(ctx context.Context) (isNew bool, err error) {
	condition := port.Condition{Key: r.desired.key, Revision: r.heldRevision()}
	startedAt := time.Now()
	result, err := r.store.Commit(ctx, port.Transaction{Conditions: []port.Condition{condition}, ReadConflicts: true})
	if err != nil {
		return false, err
	}
	for _, entry := range result.Found {
		if entry.Key == r.desired.key && entry.Revision.After(condition.Revision) {
			r.applyDesired(entry, startedAt)
			r.log.Info("desired state read from the store", "revision", entry.Revision, "bytes", len(entry.Value), "took", time.Since(startedAt))
			return true, nil
		}
	}
	r.confirmDesired(condition.Revision, startedAt, result.Revision)
	return false, nil
}

// watchDesired follows the newest desired state until the store fails to answer. While it changes,
// the newest one is read again and again: a watch would deliver all.
func (r *Replica) watchDesired(ctx context.Context) error {
	for {
		if r.DesiredAge() > maxConfirmedAge {
			if err := r.readUntilUnchanged(ctx); err != nil {
				return err
			}
		}
		if err := r.awaitDesiredChange(ctx); err != nil {
			return err
		}
		sleep(ctx, desiredReadInterval)
		if err := r.readUntilUnchanged(ctx); err != nil {
			return err
		}
	}
}

// readUntilUnchanged reads the desired state until a read brings no newer one.
func (r *Replica) readUntilUnchanged(ctx context.Context) error {
	for {
		isNew, err := r.readDesired(ctx, desiredReadTimeout)
		if err != nil {
			return err
		}
		r.markReachable(r.desired.key, &r.desired.contact)
		if !isNew {
			return nil
		}
		sleep(ctx, desiredReadInterval)
	}
}

// awaitDesiredChange waits until the desired state has changed, and applies it. It also returns when
// the store no longer knows whether it has.
func (r *Replica) awaitDesiredChange(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.mu.Lock()
	after := revision.Latest(r.desired.asOf, r.desired.held.Revision.Stored())
	r.mu.Unlock()
	var newest port.Entry
	interval, isProbe := r.watchInterval(&r.desired.contact)
	for event := range r.store.Watch(ctx, r.desired.key, after, interval) {
		switch {
		case historyIsGone(event.Err):
			r.log.Warn("store does not have the history after the last revision; reading the desired state", "after", after, "err", event.Err)
			return nil
		case event.Err != nil:
			return event.Err
		case event.Progress.IsZero():
			if event.Entry.Key == r.desired.key && !event.Deleted {
				newest = event.Entry
			}
			continue
		case !newest.Revision.IsAbsent():
			// The response may have ended before the newest revision.
			r.applyDesired(newest, time.Time{})
			return nil
		default:
			r.confirmDesired(r.heldRevision(), time.Now(), event.Progress)
		}
		r.markReachable(r.desired.key, &r.desired.contact)
		if isProbe {
			return nil
		}
	}
	return errors.New("watch of the desired state ended without an error")
}
