package duty

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	coreduty "agateswitch/core/duty"
	"agateswitch/core/fleet"
	"agateswitch/core/rendezvous"
	"agateswitch/core/revision"
	"agateswitch/port"

	"github.com/charmbracelet/log"
	"github.com/juju/errors"
)

var testLease = coreduty.Lease{Length: 3 * time.Second, Thaw: 300 * time.Millisecond}

const testSubject = "all"

// snapshot is the state of the store before a time.
type snapshot struct {
	until    time.Time
	items    map[string]port.Entry
	revision int64
}

// received is a call that has arrived at the platform.
type received struct {
	at    time.Time
	host  fleet.HostID
	token uint64
}

// world is a store, a platform and routers in virtual time.
type world struct {
	mu       sync.Mutex
	random   *rand.Rand
	items    map[string]port.Entry
	revision int64
	era      int64
	history  []snapshot
	down     bool
	slow     time.Duration
	lossy    float64
	reads    int
	writes   int
	received []received
	// late is a transaction that the store executes as soon as its condition holds.
	late    *port.Transaction
	names   []string
	order   []string
	routers map[fleet.HostID]*testRouter
	delayed sync.WaitGroup
}

// testRouter is a router with its view of the store. It implements port.Store, port.Eras, port.Peers, Fleet, Clock and Duty.
type testRouter struct {
	port.Store
	*world
	id      fleet.HostID
	service *Service
	stop    context.CancelFunc

	// The rest is guarded by world.mu. gone is since when the router is down.
	known   int64
	wakesAt time.Time
	slept   time.Duration
	cut     bool
	// cutFromStore is true while only the store can't be reached.
	cutFromStore bool
	// lastWrite is the last transaction that it has sent, executed or not.
	lastWrite port.Transaction
	leaves    bool
	gone      time.Time
}

func newWorld(seed uint64, routers int) *world {
	w := &world{random: rand.New(rand.NewPCG(seed, 1)), items: map[string]port.Entry{}, revision: 1, routers: map[fleet.HostID]*testRouter{}}
	for i := range routers {
		w.names = append(w.names, fmt.Sprintf("router-%03d", i))
	}
	w.order = rendezvous.Order("probe/"+testSubject, w.names)
	return w
}

// start starts a process of a router.
func (w *world) start(ctx context.Context, running *sync.WaitGroup, name string) {
	w.mu.Lock()
	known := w.routers[fleet.HostID(name)]
	w.mu.Unlock()
	if known != nil && !known.isGone() {
		return
	}
	r := &testRouter{world: w, id: fleet.HostID(name)}
	r.service = New(r.id, r, r, r, r, Options{Lease: testLease}, log.New(io.Discard))
	r.service.Register(r)
	ctx, r.stop = context.WithCancel(ctx)
	w.mu.Lock()
	w.routers[r.id] = r
	w.mu.Unlock()
	running.Go(func() { r.service.Run(ctx) })
}

func (r *testRouter) isGone() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.gone.IsZero()
}

// awake waits until the router is not suspended. An error means that it is gone.
func (r *testRouter) awake() error {
	for {
		r.mu.Lock()
		wakesAt, gone := r.wakesAt, !r.gone.IsZero()
		r.mu.Unlock()
		if gone {
			return errLost
		}
		if !wakesAt.After(time.Now()) {
			return nil
		}
		time.Sleep(time.Until(wakesAt))
	}
}

var errLost = errors.WithType(errors.New("no answer"), port.ErrUnavailable)

// call executes a call to the store, which may be lost, late, or lose its answer.
func (r *testRouter) call(ctx context.Context, execute func()) error {
	if err := r.awake(); err != nil {
		return err
	}
	r.mu.Lock()
	fails, latency := r.cut || r.cutFromStore || r.down, 4*time.Millisecond+time.Duration(r.random.Int64N(int64(r.slow+1)))
	loses, late := r.random.Float64() < r.lossy, r.random.Float64()
	delay := time.Duration(r.random.Int64N(int64(5 * time.Second)))
	r.mu.Unlock()
	if fails || loses {
		if loses && late < 0.6 {
			if late > 0.3 {
				delay = latency
			}
			r.delayed.Go(func() {
				time.Sleep(delay)
				r.mu.Lock()
				defer r.mu.Unlock()
				execute()
			})
		}
		<-ctx.Done()
		return errLost
	}
	select {
	case <-time.After(latency):
	case <-ctx.Done():
		return errLost
	}
	r.mu.Lock()
	execute()
	era := r.era
	r.mu.Unlock()
	if err := r.awake(); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if era < r.known {
		return errLost
	}
	r.known = era
	return nil
}

func (r *testRouter) Get(ctx context.Context, key string) (port.Entry, error) {
	entry := port.Entry{Key: key}
	err := r.call(ctx, func() {
		r.reads++
		if found, ok := r.items[key]; ok {
			entry = found
			entry.Revision.Era = r.era
		}
	})
	if err != nil {
		// A call without an answer may be executed yet.
		return port.Entry{}, err
	}
	return entry, nil
}

func (r *testRouter) Commit(ctx context.Context, t port.Transaction) (port.CommitResult, error) {
	era := r.Era()
	var result port.CommitResult
	var at int64
	r.set(func(r *testRouter) { r.lastWrite = t })
	err := r.call(ctx, func() {
		r.writes++
		at = r.era
		result = r.execute(t)
		if r.late != nil && r.execute(*r.late).Applied {
			r.late = nil
		}
	})
	if err != nil {
		return port.CommitResult{}, err
	}
	if at != era {
		return port.CommitResult{}, errLost
	}
	return result, nil
}

// execute executes a transaction. The caller holds mu.
func (w *world) execute(t port.Transaction) port.CommitResult {
	condition, write := t.Conditions[0], t.Writes[0]
	// The store knows numbers only.
	found, ok := w.items[condition.Key]
	if found.Revision.Number != condition.Revision.Number {
		found.Key, found.Revision.Era = condition.Key, w.era
		if !ok {
			found.Revision = revision.Revision{}
		}
		return port.CommitResult{Found: []port.Entry{found}}
	}
	w.remember()
	w.revision++
	place := revision.Revision{Era: w.era, Number: w.revision}
	w.items[write.Key] = port.Entry{Key: write.Key, Value: write.Value, Revision: place}
	return port.CommitResult{Applied: true, Revision: place}
}

// remember keeps the store's state before a change. The caller holds mu.
func (w *world) remember() {
	w.history = append(w.history, snapshot{time.Now(), maps.Clone(w.items), w.revision})
}

// restore replaces the store's state by that of a time ago.
func (w *world) restore(age time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, old := range w.history {
		if !old.until.Before(time.Now().Add(-age)) {
			w.items, w.revision, w.history = maps.Clone(old.items), old.revision, w.history[:i]
			break
		}
	}
	w.era++
}

func (r *testRouter) Era() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.known
}

func (r *testRouter) LearnEra(int64) {}

// listedTime is how long a router that is gone is still listed.
const listedTime = 2500 * time.Millisecond

func (w *world) isListed(name string) bool {
	r := w.routers[fleet.HostID(name)]
	return r != nil && (r.gone.IsZero() || time.Since(r.gone) < listedTime) && !r.leaves
}

func (r *testRouter) Rank(string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	rank := 0
	for _, name := range r.order {
		// All ranks from maxHolderRank on are alike.
		if name == string(r.id) || rank == maxHolderRank {
			break
		}
		if r.isListed(name) {
			rank++
		}
	}
	return rank
}

func (r *testRouter) First(_ string, count int) []fleet.HostID {
	r.mu.Lock()
	defer r.mu.Unlock()
	var first []fleet.HostID
	for _, name := range r.order {
		if r.isListed(name) && len(first) < count {
			first = append(first, fleet.HostID(name))
		}
	}
	return first
}

func (r *testRouter) Leaving() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.leaves
}

func (r *testRouter) Now() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(time.Now().UnixNano()) + r.slept
}

func (r *testRouter) Handle(string, port.PeerHandler) {}

func (r *testRouter) Call(_ context.Context, to fleet.HostID, _ string, request, _ any) error {
	r.mu.Lock()
	other := r.routers[to]
	reached := other != nil && other.gone.IsZero() && !r.cut && !other.cut
	r.mu.Unlock()
	if !reached {
		return port.ErrPeerUnreachable
	}
	_, err := other.service.handleReleased(context.Background(), r.id, func(into any) error {
		*into.(*releasedMessage) = request.(releasedMessage)
		return nil
	})
	return err
}

func (r *testRouter) Name() string { return "probe" }

func (r *testRouter) Subjects() []string { return []string{testSubject} }

// Work calls the platform. A call may take long to connect.
func (r *testRouter) Work(ctx context.Context, _ string, grant Grant) time.Duration {
	// Errors are outcomes that the platform's list of received calls shows.
	_ = grant.Send(ctx, func(ctx context.Context, call port.DutyCall) error {
		r.mu.Lock()
		connecting := time.Duration(r.random.Int64N(int64(400 * time.Millisecond)))
		r.mu.Unlock()
		select {
		case <-time.After(connecting):
		case <-ctx.Done():
			return ctx.Err()
		}
		if err := r.awake(); err != nil {
			return err
		}
		if err := call.Check(); err != nil {
			return err
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		if !r.cut {
			r.world.received = append(r.world.received, received{time.Now(), call.Holder, call.Token})
		}
		return nil
	})
	return 150 * time.Millisecond
}

// set changes a router's state.
func (r *testRouter) set(change func(*testRouter)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(r)
}

// kill ends a router's process at once.
func (r *testRouter) kill() {
	r.set(func(r *testRouter) { r.gone = time.Now() })
	r.stop()
}
