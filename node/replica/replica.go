// Package replica keeps a copy of the platform's store on each router. One watch feeds it; while
// the store does not answer this router, other routers do. An entry never goes back to an older
// revision, whoever tells of it.
package replica

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/port"

	"github.com/charmbracelet/log"
	"github.com/juju/errors"
)

// Times of a replica.
const (
	// retryPause is the time between two tries of the store, with as much again at random.
	retryPause = 150 * time.Millisecond
	// staleAfter is the age of a replica at which it asks other routers. Engines' heartbeats
	// come several times a second, and the store's watch brings them after its pause.
	staleAfter = time.Second
	// pullInterval is the time between two questions to other routers while the store is silent.
	pullInterval = 250 * time.Millisecond
	// pullTimeout bounds one question.
	pullTimeout = 400 * time.Millisecond
	// pullFanout is how many routers are asked at once.
	pullFanout = 2
	// watcherAge is the age of the watchers' copies at which a router watches the store itself,
	// for watchTime at least.
	watcherAge = 1500 * time.Millisecond
	watchTime  = 3 * time.Second
	// confirmTimeout bounds the read that makes sure nothing newer exists.
	confirmTimeout = 300 * time.Millisecond
	// confirmAge is the age at which a copy counts as the newest state. A change has to be in
	// force 2 s after it was acknowledged; half of that is left for other delays.
	confirmAge = time.Second
	// graveTime is how long a deletion is remembered for routers that ask: longer than the
	// store's history and any outage that the routers bridge by themselves.
	graveTime = 60 * time.Second
)

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
	mu      sync.Mutex
	entries map[string]port.Entry
	graves  map[string]grave
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
}

// grave remembers a deletion.
type grave struct {
	revision int64
	at       time.Time
}

// settleTime is how long after the store's return lapsed entries may take to come back.
const settleTime = 2300 * time.Millisecond

// New makes a replica. Subscribers are added before Run.
func New(store port.Store, transport port.Peers, peers Peers, desiredKey string, logger *log.Logger) *Replica {
	r := &Replica{
		store: store, transport: transport, peers: peers, desiredKey: desiredKey, log: logger,
		loaded: make(chan struct{}), entries: map[string]port.Entry{}, graves: map[string]grave{},
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

// Run keeps the replica until ctx ends.
func (r *Replica) Run(ctx context.Context) {
	go r.pullWhileStale(ctx)
	for ctx.Err() == nil {
		if r.followWatchers(ctx) {
			continue
		}
		err := r.follow(ctx)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, errWatchedByOthers) {
			r.log.Info("other routers watch the store for this one")
			continue
		}
		r.lost(err)
		sleep(ctx, retryPause+rand.N(retryPause))
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
	r.pullFrom(ctx, watchers[rand.N(len(watchers))], false)
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
	r.replaceAll(entries, revision, began)
	return nil
}

// replaceAll takes a whole state that holds at revision.
func (r *Replica) replaceAll(entries []port.Entry, revision int64, confirmed time.Time) {
	present := make(map[string]bool, len(entries))
	changes := make([]Change, 0, len(entries))
	for _, entry := range entries {
		present[entry.Key] = true
		changes = append(changes, Change{Entry: entry})
	}
	r.mu.Lock()
	for key, entry := range r.entries {
		if !present[key] && entry.Revision <= revision {
			changes = append(changes, Change{Entry: port.Entry{Key: key, Revision: revision}, Deleted: true})
		}
	}
	r.mu.Unlock()
	r.apply(changes, revision, confirmed)
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
	if gone, dead := r.graves[key]; dead && gone.revision >= revision {
		return false
	}
	if !change.Deleted {
		r.entries[key] = change.Entry
		delete(r.graves, key)
		return true
	}
	delete(r.entries, key)
	r.graves[key] = grave{revision: revision, at: now}
	for other, old := range r.graves {
		if now.Sub(old.at) > graveTime {
			r.forgotten = max(r.forgotten, old.revision)
			delete(r.graves, other)
		}
	}
	return found
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

// desiredAge returns how old the desired state may be.
func (r *Replica) desiredAge() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return min(time.Since(r.confirmed), time.Since(r.desiredConfirmed))
}

// Confirm makes sure that the desired state is the newest. Calls that wait for a confirmation
// which began after they came share its result.
func (r *Replica) Confirm(ctx context.Context) error {
	if r.desiredAge() <= confirmAge {
		return nil
	}
	came := time.Now()
	r.confirming.Lock()
	defer r.confirming.Unlock()
	if r.confirmBegan.After(came) {
		return r.confirmError
	}
	r.confirmBegan = time.Now()
	r.confirmError = r.confirm(ctx)
	return r.confirmError
}

// confirm reads the desired state, or asks routers that may have read it.
func (r *Replica) confirm(ctx context.Context) error {
	err := r.readDesired(ctx)
	if err == nil {
		return nil
	}
	r.log.Warn("store did not confirm the newest state, asking routers", "err", err)
	r.pull(ctx, true)
	if r.desiredAge() <= confirmAge {
		return nil
	}
	return errors.Trace(ErrUnconfirmed)
}

// readDesired reads the desired state alone from the store.
func (r *Replica) readDesired(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	began := time.Now()
	entry, err := r.store.Get(ctx, r.desiredKey)
	if err != nil {
		return err
	}
	if entry.Revision > 0 {
		r.learn(entry)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.desiredConfirmed = began
	return nil
}

// learn takes one entry that was read by itself.
func (r *Replica) learn(entry port.Entry) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change := Change{Entry: entry}
	if r.take(change, time.Now()) {
		for _, observe := range r.subscribers {
			observe([]Change{change})
		}
	}
}

func sleep(ctx context.Context, length time.Duration) {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
