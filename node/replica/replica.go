// Package replica keeps a copy of the platform's store on each router. Watches of the store update
// it; in a large fleet only a few routers watch, and the others pull the changes from them. While the
// store does not answer this router, the replica pulls from any other routers. An entry never reverts
// to an older revision, whatever the source. When the store comes back from an older copy, entries that
// it has lost stay in force until they are written again, or should have been.
//
// The desired state may be large. It is transferred apart from all other entries, so that none of
// them waits for it: a pull names only its revision, and a router that is behind fetches the newest
// one.
package replica

import (
	"bytes"
	"context"
	"sync"
	"time"

	"agateswitch/core/dissemination"
	"agateswitch/core/fleet"
	"agateswitch/core/revision"
	"agateswitch/port"

	"github.com/charmbracelet/log"
	"github.com/juju/errors"
	"golang.org/x/sync/singleflight"
)

// Intervals, timeouts and age limits of a replica.
const (
	// unloadedRetryDelay is the delay before the next attempt to read the store while a router has no
	// state yet. For watches the delay doubles from minRetryDelay to maxRetryDelay. A random delay of
	// up to the same length is added.
	unloadedRetryDelay = 50 * time.Millisecond
	minRetryDelay      = 150 * time.Millisecond
	maxRetryDelay      = 500 * time.Millisecond
	// minFallbackDelay and maxFallbackDelay are these delays on a router for which others should watch.
	// Once the store is back, those do so first, and it pulls from them: a whole fleet that calls a
	// store which has just failed would only add to its load.
	minFallbackDelay = time.Second
	maxFallbackDelay = 4 * time.Second
	// staleTimeout is the age above which a replica pulls from any routers. In a large fleet it does at
	// dissemination.Freshness.MaxCopyAge, if that is lower.
	staleTimeout = 3 * time.Second
	// settlingConfirmInterval is the time between two confirmations of an idle watch while deletions of entries
	// that may be written again are postponed: they are delivered after a confirmation.
	settlingConfirmInterval = 600 * time.Millisecond
	// pullInterval is the time between two pulls while the store delivers nothing, and between two
	// pulls from a watcher.
	pullInterval = 250 * time.Millisecond
	// pullTimeout bounds one pull.
	pullTimeout = 400 * time.Millisecond
	// pullFanout is how many routers are queried at once.
	pullFanout = 2
	// minWatchTime is how long a router for which others should watch watches the store at least.
	minWatchTime = time.Second
	// silentWatchersTimeout is how long pulls from watchers may fail before a router watches the store
	// itself.
	silentWatchersTimeout = time.Second
	// confirmTimeout bounds the wait for the store's confirmation of the desired state.
	confirmTimeout = 300 * time.Millisecond
	// readRetryDelay is the time after a failed confirming read before the next one.
	readRetryDelay = 250 * time.Millisecond
	// maxConfirmedAge is the age up to which a copy counts as the newest state. A change must be in
	// force 2 s after it was acknowledged; half of that is left for other delays.
	maxConfirmedAge = time.Second
	// tombstoneTTL is how long a deletion is kept for pulls of other routers: longer than the
	// store's history, and than any outage that the routers bridge without the store.
	tombstoneTTL = 60 * time.Second
)

// ErrUnconfirmed is returned when neither the store nor a router could confirm that no newer
// state exists.
const ErrUnconfirmed = errors.ConstError("neither the store nor a router confirmed the newest state")

// Keys states which entries of the store a replica keeps.
type Keys struct {
	// Desired is the key of the desired state.
	Desired string
	// Prefixes are the prefixes of all other entries. No key begins with two of them.
	Prefixes []string
	// Routers is the one of Prefixes under which routers register. With none, every router reads the whole state
	// from the store at its start.
	Routers string
	// Reports is the one of Prefixes whose entries only routers write, to report to operators.
	Reports string
	// RewriteTime returns how long after an outage of the store it may take until the entry of a key with a last value, which
	// expired meanwhile, is written again: its deletion waits for that. It is at most settlePeriod. Without it, all have that.
	RewriteTime func(key string, value []byte) time.Duration
	// IsReadable reports whether a value can be decoded. Entries that can't be give way first when the copy becomes too large.
	// Without it, all count as readable.
	IsReadable func(key string, value []byte) bool
	// IsOutdated is port.EntryCodec.IsOutdated.
	IsOutdated func(key string, known, found []byte) bool
}

// Change is the write or deletion of one entry.
type Change struct {
	Entry   port.Entry
	Deleted bool
	// Settled is the time by which an entry that may have been lost by the store should be written
	// again: it expired during an outage, or the store was restored from an older copy. Subscribers
	// receive the deletion then, unless it is. It is zero for any other deletion.
	Settled time.Time
	// Replayed is true for a write after the store was restored whose value subscribers have already.
	Replayed bool
}

// Peers provides the routers to pull from.
type Peers interface {
	// Others returns the routers considered alive, without this one.
	Others() []fleet.HostID
	// Watchers returns the routers that watch the store for this one. self is true when this router
	// watches the store itself.
	Watchers() (watchers []fleet.HostID, self bool)
	// Responsive returns the routers that have answered lately, as far as this one exchanges heartbeats with them.
	Responsive() []fleet.HostID
	// AllWatch reports whether every router of the fleet watches the store.
	AllWatch() bool
}

// Replica is a router's copy of the store. It is safe for concurrent use.
type Replica struct {
	store     port.Store
	eras      port.Eras
	transport port.Peers
	peers     Peers
	freshness dissemination.Freshness
	log       *log.Logger
	// routersPrefix is Keys.Routers.
	routersPrefix string
	// isReadable is Keys.IsReadable.
	isReadable func(key string, value []byte) bool
	// rewriteTime is Keys.RewriteTime.
	rewriteTime func(key string, value []byte) time.Duration
	loaded      chan struct{}

	subscribers        []func([]Change)
	desiredSubscribers []func(port.Entry)
	// applying admits one batch of changes of a tree, and applyingDesired one desired state:
	// subscribers receive them in the order in which they are applied. They are not mu, which answers
	// to other routers need while a subscriber works.
	applying        chan struct{}
	applyingDesired chan struct{}

	mu      sync.Mutex
	trees   []*tree
	desired desiredCopy
	// restores counts what restores of the store have done to this copy.
	restores RestoreCounts
	// postponed holds the deletions that subscribers receive at their Settled time, by key.
	postponed map[string]Change
	// shedAbove is the size in bytes above which the copy is made smaller.
	shedAbove int
	// watchersSilentSince is when the first of the last pulls from watchers began, all of which have
	// failed; zero if the last one has succeeded.
	watchersSilentSince time.Time
	// watchersGoneSince is when the first of the last pulls from watchers began, none of which was answered at all; zero if the last
	// one was.
	watchersGoneSince time.Time
	// fallbackRetryAt is the time before which the router does not watch the store if others should watch for
	// it, and fallbackFailures how often the store has failed it in a row.
	fallbackRetryAt  time.Time
	fallbackFailures int

	// packing admits one compression of the desired state.
	packing sync.Mutex
	// reads shares a read of the desired state between the calls that need one.
	reads singleflight.Group
	// confirming admits one confirmation. Calls that wait for one share its result.
	confirming       chan struct{}
	confirmStartedAt time.Time
	confirmErr       error
	// readFailedAt is the time of the last failed confirming read.
	readFailedAt time.Time
}

// New returns an empty replica, which is kept so new that a change is in force by the deadline. Subscribers must be
// added before Run.
func New(store port.Store, transport port.Peers, peers Peers, keys Keys, deadline time.Duration, logger *log.Logger) *Replica {
	r := &Replica{
		store: store, transport: transport, peers: peers, log: logger, loaded: make(chan struct{}),
		freshness: dissemination.PlanFreshness(deadline), routersPrefix: keys.Routers, isReadable: keys.IsReadable, rewriteTime: keys.RewriteTime, shedAbove: maxHeldBytes,
		applying: make(chan struct{}, 1), applyingDesired: make(chan struct{}, 1), confirming: make(chan struct{}, 1),
		desired: newDesiredCopy(keys.Desired, keys.IsOutdated), postponed: map[string]Change{},
	}
	if r.rewriteTime == nil {
		r.rewriteTime = func(string, []byte) time.Duration { return settlePeriod }
	}
	if r.isReadable == nil {
		r.isReadable = func(string, []byte) bool { return true }
	}
	r.eras, _ = store.(port.Eras)
	for _, prefix := range keys.Prefixes {
		r.trees = append(r.trees, newTree(prefix, prefix == keys.Reports, keys.IsOutdated))
	}
	transport.Handle(methodPull, r.handlePull)
	transport.Handle(methodFetch, r.handleFetch)
	return r
}

// Subscribe registers observe, which is called with each batch of changes of entries other than the
// desired state. It must not block or call the replica.
func (r *Replica) Subscribe(observe func([]Change)) { r.subscribers = append(r.subscribers, observe) }

// SubscribeDesired registers observe, which is called with each desired state that is applied. It
// may be called at the same time as other subscribers. It must not block or call the replica.
func (r *Replica) SubscribeDesired(observe func(port.Entry)) {
	r.desiredSubscribers = append(r.desiredSubscribers, observe)
}

// Loaded returns a channel that is closed once the complete state has been read.
func (r *Replica) Loaded() <-chan struct{} { return r.loaded }

func (r *Replica) isLoaded() bool {
	select {
	case <-r.loaded:
		return true
	default:
		return false
	}
}

// updateLoaded closes loaded once everything has been read. The caller holds mu.
func (r *Replica) updateLoaded() {
	for _, t := range r.trees {
		if t.asOf.IsZero() {
			return
		}
	}
	if r.desired.wasRead && !r.isLoaded() {
		close(r.loaded)
	}
}

// Age returns the time since all entries other than the desired state were last confirmed to be the
// newest.
func (r *Replica) Age() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	var age time.Duration
	for _, t := range r.trees {
		age = max(age, time.Since(t.confirmedAt))
	}
	return age
}

// apply applies changes of a tree that are complete up to a revision, which was confirmed to be the
// newest at confirmedAt. The copy counts as that new once the subscribers have applied the changes.
// Changes from before the last restore of the store that arrive after it are dropped: the copy that
// was restored may lack them, and no later change would correct them.
func (r *Replica) apply(t *tree, changes []Change, at revision.Revision, confirmedAt time.Time) {
	r.applying <- struct{}{}
	defer func() { <-r.applying }()
	if r.isBeforeRestore(t, at) {
		r.log.Info("dropped changes from before the store was restored", "prefix", t.prefix, "revision", at, "changes", len(changes))
		return
	}
	r.deliver(r.postpone(r.record(t, changes, at)))
	r.mu.Lock()
	defer r.mu.Unlock()
	if t.isRestoring {
		t.isRestoring = false
		t.restoredTo = at
		kept, lost := t.carried(), r.postponedUnder(t.prefix)
		r.restores.Kept, r.restores.Lost = r.restores.Kept+kept, r.restores.Lost+lost
		r.log.Warn("store was restored from an older copy", "prefix", t.prefix, "revision", at,
			"before", t.asOf, "kept", kept, "lost", lost)
	}
	t.asOf = revision.Latest(t.asOf, at)
	if confirmedAt.After(t.confirmedAt) {
		t.confirmedAt = confirmedAt
	}
	r.updateLoaded()
}

// record records changes in the copy, which are complete up to a revision, and returns those that
// subscribers have to apply.
func (r *Replica) record(t *tree, changes []Change, at revision.Revision) []Change {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	t.isRestoring = at.IsOfLaterEra(t.asOf) && !t.asOf.IsZero()
	var applied []Change
	for _, change := range changes {
		change.Entry = withoutLargeValue(change.Entry)
		change.Replayed = r.isReplayed(t, change)
		last := t.entries[change.Entry.Key].Value
		if !t.record(change, now) {
			continue
		}
		if change.Deleted {
			change.Settled = r.settledAt(t, change, last, now)
		}
		applied = append(applied, change)
	}
	r.shed()
	return applied
}

// settledAt returns the time by which a deleted entry with a last value should be written again; zero if it is not awaited. The
// caller holds mu.
func (r *Replica) settledAt(t *tree, deletion Change, last []byte, now time.Time) time.Time {
	if t.isReport {
		// Nobody but the routers writes it again, once they know that it is missing.
		return time.Time{}
	}
	settled := latest(deletion.Settled, t.settledAt())
	if rewriteTime := r.rewriteTime(deletion.Entry.Key, last); rewriteTime < settlePeriod && !settled.IsZero() {
		settled = settled.Add(rewriteTime - settlePeriod)
		if deletion.Settled.After(settled) {
			// A restore may have lost entries of any kind.
			settled = latest(settled, earliest(deletion.Settled, t.restoreSettledAt))
		}
	}
	if settled.Before(now) {
		return time.Time{}
	}
	return settled
}

// isReplayed reports whether a write has the value that subscribers have from before the store was
// restored. The caller holds mu.
func (r *Replica) isReplayed(t *tree, change Change) bool {
	key := change.Entry.Key
	if _, isWaiting := r.postponed[key]; isWaiting && !change.Deleted {
		return bytes.Equal(t.tombstones[key].last, change.Entry.Value)
	}
	current, found := t.entries[key]
	return found && !change.Deleted && change.Entry.Revision.MayHaveReplaced(current.Revision) && bytes.Equal(current.Value, change.Entry.Value)
}

// isBeforeRestore reports whether a revision is of an era before that of the copy.
func (r *Replica) isBeforeRestore(t *tree, at revision.Revision) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return t.asOf.IsOfLaterEra(at)
}

// deliver passes changes to the subscribers.
func (r *Replica) deliver(changes []Change) {
	if len(changes) == 0 {
		return
	}
	for _, observe := range r.subscribers {
		observe(changes)
	}
}

// sleep waits for a duration or until ctx ends.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
