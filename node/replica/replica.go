// Package replica keeps a copy of the platform's store on each router. One watch feeds it; while
// the store does not answer this router, other routers do. An entry never goes back to an older
// revision, whoever tells of it.
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

// Times of a replica.
const (
	// firstRetryPause is the time between two tries of the store, with as much again at random,
	// before a router has any state. With one it doubles from retryPause to maxRetryPause.
	firstRetryPause = 50 * time.Millisecond
	retryPause      = 150 * time.Millisecond
	maxRetryPause   = 500 * time.Millisecond
	// staleAfter is the age of a replica at which it asks other routers. Engines' heartbeats
	// come several times a second, and the store's watch brings them after its pause.
	staleAfter = time.Second
	// pullInterval is the time between two questions to other routers while the store is silent.
	pullInterval = 250 * time.Millisecond
	// pullTimeout bounds one question.
	pullTimeout = 400 * time.Millisecond
	// largeTimeout bounds the reading of a large value: 1 MiB, the store's limit, on a link of
	// 10 Mbit/s, twice.
	largeTimeout = 1600 * time.Millisecond
	// pullFanout is how many routers are asked at once.
	pullFanout = 2
	// watcherAge is the age of the watchers' copies at which a router watches the store itself,
	// for watchTime at least. A watch that nothing happens on confirms a copy every 2 s, and a
	// router asks its watchers every pullInterval.
	watcherAge = 2500 * time.Millisecond
	watchTime  = 3 * time.Second
	// confirmTimeout bounds the read that makes sure nothing newer exists.
	confirmTimeout = 300 * time.Millisecond
	// readPause is how long the store is not asked again to confirm after it failed to.
	readPause = 250 * time.Millisecond
	// confirmAge is the age at which a copy counts as the newest state. A change has to be in
	// force 2 s after it was acknowledged; half of that is left for other delays.
	confirmAge = time.Second
	// tombstoneTime is how long a deletion is remembered for routers that ask: longer than the
	// store's history and any outage that the routers bridge by themselves.
	tombstoneTime = 60 * time.Second
)

// largeBytes is the size above which a watcher does not pass a value on: a dozen routers at once
// would wait for its link, and the store's is faster.
const largeBytes = 32 << 10

// methodPull asks another router for what it knows beyond a revision.
const methodPull = "replica.pull"

// ErrUnconfirmed means that neither the store nor a router could tell whether newer state exists.
const ErrUnconfirmed = errors.ConstError("newest state is not known")

const errWatchedByOthers = errors.ConstError("other routers watch the store")

// Change is one entry that was written or deleted.
type Change struct {
	Entry   port.Entry
	Deleted bool
	// Settled is when entries that lapsed during an outage of the store are due back. It is
	// zero for a deletion in ordinary times.
	Settled time.Time
}

// Peers are the routers that may be asked.
type Peers interface {
	// Others returns the routers believed to be alive, without this one.
	Others() []fleet.HostID
	// Watchers returns the routers that watch the store for this one, unless it watches itself.
	Watchers() (watchers []fleet.HostID, self bool)
}

// Replica is the copy. It is safe for concurrent use.
type Replica struct {
	store      port.Store
	transport  port.Peers
	peers      Peers
	desiredKey string
	log        *log.Logger
	loaded     chan struct{}

	// mu orders changes: subscribers see them in the order in which they are applied.
	mu         sync.Mutex
	entries    map[string]port.Entry
	tombstones map[string]tombstone
	// forgotten is the newest deletion that is no longer remembered.
	forgotten int64
	asOf      int64
	confirmed time.Time
	// desiredConfirmed is when the desired state alone was last known to be the newest.
	desiredConfirmed time.Time
	reached          bool
	returned         time.Time
	subscribers      []func([]Change)

	// confirming lets one confirmation run at a time; those that wait share its result.
	confirming   sync.Mutex
	confirmBegan time.Time
	confirmError error
	// readFailed is when the store last failed to confirm.
	readFailed time.Time
}

// tombstone remembers a deletion.
type tombstone struct {
	revision int64
	at       time.Time
}

// settleTime is how long after the store's return lapsed entries may take to come back.
const settleTime = 2300 * time.Millisecond

// New makes a replica. Subscribers are added before Run.
func New(store port.Store, transport port.Peers, peers Peers, desiredKey string, logger *log.Logger) *Replica {
	r := &Replica{
		store: store, transport: transport, peers: peers, desiredKey: desiredKey, log: logger,
		loaded: make(chan struct{}), entries: map[string]port.Entry{}, tombstones: map[string]tombstone{},
	}
	transport.Handle(methodPull, r.answerPull)
	return r
}

// Subscribe calls observe with each batch of changes. It must not block or call the replica.
func (r *Replica) Subscribe(observe func([]Change)) { r.subscribers = append(r.subscribers, observe) }

// Loaded is closed once the whole state has been read.
func (r *Replica) Loaded() <-chan struct{} { return r.loaded }

// Age returns how old the replica may be.
func (r *Replica) Age() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(r.confirmed)
}

// apply takes changes that are complete up to a revision, as confirmed at a time.
func (r *Replica) apply(changes []Change, revision int64, confirmed time.Time) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	var taken []Change
	for _, change := range changes {
		if r.take(change, now) {
			if change.Deleted && now.Before(r.returned.Add(settleTime)) {
				change.Settled = r.returned.Add(settleTime)
			}
			taken = append(taken, change)
		}
	}
	r.asOf = max(r.asOf, revision)
	if confirmed.After(r.confirmed) {
		r.confirmed = confirmed
	}
	if len(taken) > 0 {
		for _, observe := range r.subscribers {
			observe(taken)
		}
	}
	select {
	case <-r.loaded:
	default:
		close(r.loaded)
	}
}

// take updates one entry, unless it is known at this revision or a later one.
func (r *Replica) take(change Change, now time.Time) bool {
	key, revision := change.Entry.Key, change.Entry.Revision
	known, found := r.entries[key]
	if found && known.Revision >= revision && !(change.Deleted && known.Revision == revision) {
		return false
	}
	if gone, dead := r.tombstones[key]; dead && gone.revision >= revision {
		return false
	}
	if !change.Deleted {
		r.entries[key] = change.Entry
		delete(r.tombstones, key)
		return true
	}
	delete(r.entries, key)
	r.tombstones[key] = tombstone{revision: revision, at: now}
	for other, old := range r.tombstones {
		if now.Sub(old.at) > tombstoneTime {
			r.forgotten = max(r.forgotten, old.revision)
			delete(r.tombstones, other)
		}
	}
	return found
}

func sleep(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
