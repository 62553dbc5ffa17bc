// Package replica keeps a copy of the platform's store on each router. One watch updates it; in a
// large fleet only a few routers watch, and the others pull the changes from them. While the store
// does not answer this router, the replica pulls from any other routers. An entry never reverts to
// an older revision, whatever the source.
package replica

import (
	"context"
	"sync"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/port"

	"github.com/charmbracelet/log"
	"github.com/juju/errors"
)

// Intervals, timeouts and age limits of a replica.
const (
	// unloadedRetryDelay is the delay before the next attempt to reach the store while a router has
	// no state yet. Later the delay doubles from minRetryDelay to maxRetryDelay. A random delay of
	// up to the same length is added.
	unloadedRetryDelay = 50 * time.Millisecond
	minRetryDelay      = 150 * time.Millisecond
	maxRetryDelay      = 500 * time.Millisecond
	// staleTimeout is the age above which a replica pulls from other routers. Engines' heartbeats
	// arrive several times a second, and the store's watch delivers them with a short delay.
	staleTimeout = time.Second
	// pullInterval is the time between two pulls while the store delivers nothing, and between two
	// pulls from a watcher.
	pullInterval = 250 * time.Millisecond
	// pullTimeout bounds one pull.
	pullTimeout = 400 * time.Millisecond
	// largeValueTimeout bounds reading a large value: twice the time that 1 MiB, the store's
	// limit, takes on a link of 10 Mbit/s.
	largeValueTimeout = 1600 * time.Millisecond
	// pullFanout is how many routers are queried at once.
	pullFanout = 2
	// maxWatcherCopyAge is the age of the watchers' copies above which a router watches the store
	// itself, for at least minWatchTime. An idle watch confirms a copy every 2 s, and a router
	// pulls from its watchers every pullInterval.
	maxWatcherCopyAge = 2500 * time.Millisecond
	minWatchTime      = 3 * time.Second
	// confirmTimeout bounds the read that confirms the desired state.
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

// maxPulledValueBytes is the size above which a watcher does not forward a value: a dozen routers
// at once would wait for its link, and the store's link is faster.
const maxPulledValueBytes = 32 << 10

// methodPull requests another router's changes after a revision.
const methodPull = "replica.pull"

// ErrUnconfirmed is returned when neither the store nor a router could confirm that no newer
// state exists.
const ErrUnconfirmed = errors.ConstError("neither the store nor a router confirmed the newest state")

// errWatchedByOthers ends a router's watch once its watchers watch the store for it.
const errWatchedByOthers = errors.ConstError("other routers watch the store")

// Change is the write or deletion of one entry.
type Change struct {
	Entry   port.Entry
	Deleted bool
	// Settled is the time by which entries that expired during an outage of the store should be
	// written again. It is zero for a deletion without an outage.
	Settled time.Time
}

// Peers provides the routers to pull from.
type Peers interface {
	// Others returns the routers considered alive, without this one.
	Others() []fleet.HostID
	// Watchers returns the routers that watch the store for this one. self is true when this router
	// watches the store itself.
	Watchers() (watchers []fleet.HostID, self bool)
}

// Replica is a router's copy of the store. It is safe for concurrent use.
type Replica struct {
	store      port.Store
	transport  port.Peers
	peers      Peers
	desiredKey string
	log        *log.Logger
	loaded     chan struct{}

	// applying admits one batch of changes: subscribers receive them in the order in which they are
	// applied. It is not mu, which answers to other routers need while a subscriber works.
	applying chan struct{}

	mu         sync.Mutex
	entries    map[string]port.Entry
	tombstones map[string]tombstone
	// prunedRevision is the revision of the newest deletion whose tombstone has been removed.
	prunedRevision int64
	// asOf is the revision up to which the replica is complete, and confirmedAt when it was last
	// confirmed to be the newest one.
	asOf        int64
	confirmedAt time.Time
	// desiredConfirmedAt is when the desired state alone was last confirmed to be the newest.
	desiredConfirmedAt time.Time
	// storeReachable is true while the store answers this router. storeRegainedAt is when it last
	// answered again after an outage.
	storeReachable  bool
	storeRegainedAt time.Time
	subscribers     []func([]Change)

	// confirming serialises confirmations. Calls that wait for one share its result.
	confirming       sync.Mutex
	confirmStartedAt time.Time
	confirmErr       error
	// readFailedAt is the time of the last failed confirming read.
	readFailedAt time.Time
}

// tombstone records a deletion.
type tombstone struct {
	revision  int64
	deletedAt time.Time
}

// settlePeriod is how long after an outage of the store it may take until expired entries are
// written again.
const settlePeriod = 2300 * time.Millisecond

// New returns an empty replica. Subscribers must be added before Run.
func New(store port.Store, transport port.Peers, peers Peers, desiredKey string, logger *log.Logger) *Replica {
	r := &Replica{
		store: store, transport: transport, peers: peers, desiredKey: desiredKey, log: logger,
		loaded: make(chan struct{}), applying: make(chan struct{}, 1), entries: map[string]port.Entry{}, tombstones: map[string]tombstone{},
	}
	transport.Handle(methodPull, r.handlePull)
	return r
}

// Subscribe registers observe, which is called with each batch of changes. It must not block or
// call the replica.
func (r *Replica) Subscribe(observe func([]Change)) { r.subscribers = append(r.subscribers, observe) }

// Loaded returns a channel that is closed once the complete state has been read.
func (r *Replica) Loaded() <-chan struct{} { return r.loaded }

// Age returns the time since the replica was last confirmed to be the newest state.
func (r *Replica) Age() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(r.confirmedAt)
}

// apply applies changes that are complete up to a revision, which was confirmed to be the newest at
// confirmedAt. The copy counts as that new once the subscribers have applied the changes.
func (r *Replica) apply(changes []Change, revision int64, confirmedAt time.Time) {
	r.applying <- struct{}{}
	defer func() { <-r.applying }()
	r.notify(r.record(changes))
	r.mu.Lock()
	defer r.mu.Unlock()
	r.asOf = max(r.asOf, revision)
	if confirmedAt.After(r.confirmedAt) {
		r.confirmedAt = confirmedAt
	}
	select {
	case <-r.loaded:
	default:
		close(r.loaded)
	}
}

// record records changes in the copy and returns those that subscribers have to apply.
func (r *Replica) record(changes []Change) []Change {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	var applied []Change
	for _, change := range changes {
		if r.applyChange(change, now) {
			if change.Deleted && now.Before(r.storeRegainedAt.Add(settlePeriod)) {
				change.Settled = r.storeRegainedAt.Add(settlePeriod)
			}
			applied = append(applied, change)
		}
	}
	return applied
}

// notify passes changes to the subscribers. The caller is admitted by applying.
func (r *Replica) notify(changes []Change) {
	if len(changes) == 0 {
		return
	}
	for _, observe := range r.subscribers {
		observe(changes)
	}
}

// applyChange applies one change, unless the replica has the entry at this revision or a later one.
// It reports whether the change is passed to subscribers. Callers hold mu.
func (r *Replica) applyChange(change Change, now time.Time) bool {
	key, revision := change.Entry.Key, change.Entry.Revision
	current, found := r.entries[key]
	if found && current.Revision >= revision && !(change.Deleted && current.Revision == revision) {
		return false
	}
	if deleted, isDeleted := r.tombstones[key]; isDeleted && deleted.revision >= revision {
		return false
	}
	if !change.Deleted {
		r.entries[key] = change.Entry
		delete(r.tombstones, key)
		return true
	}
	delete(r.entries, key)
	r.tombstones[key] = tombstone{revision: revision, deletedAt: now}
	for other, old := range r.tombstones {
		if now.Sub(old.deletedAt) > tombstoneTTL {
			r.prunedRevision = max(r.prunedRevision, old.revision)
			delete(r.tombstones, other)
		}
	}
	return found
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
