package replica

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/core/revision"
	"agateswitch/port"

	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"
)

// Limits within which a change has to reach every router.
const (
	// leaveLimit is the time after which an upstream that has said that it leaves may get no request.
	leaveLimit = 2 * time.Second
	// applyLimit is the time after which a desired state must be in force.
	applyLimit = 3 * time.Second
)

const (
	desiredKey  = "desired"
	upstreamKey = "upstream/"
)

// largeState returns a desired state of about 0.6 MB, the size of one with 1,600 routes.
func largeState(version int) []byte {
	random := rand.New(rand.NewSource(int64(version)))
	type route struct {
		Name, Host, Prefix, Kind, Pool      string
		Timeout, Target, Attempts, Priority int
		Public, Sticky, Resumable           bool
		Description                         string
	}
	routes := make([]route, 1600)
	for i := range routes {
		routes[i] = route{
			Name: fmt.Sprintf("r-%07x", random.Int31()), Host: "farms.example", Prefix: fmt.Sprintf("/%06x/%04x/", random.Int31(), random.Int31n(1<<16)),
			Kind: "non_idempotent", Pool: "ledger", Timeout: 3000, Target: 300, Attempts: 2, Priority: i % 4,
			Description: "a route of the fleet whose requests are forwarded to the engines of the ledger, which post what they say once; it has a retry budget",
		}
	}
	value, err := json.Marshal(map[string]any{"version": version, "routes": routes})
	if err != nil {
		panic(err)
	}
	return value
}

// testRouter is a router of a test fleet, and when it applied which revision of a key.
type testRouter struct {
	*host
	replica *Replica
	// blocksPulls is true once a desired state was applied while the lock was held that answers to
	// pulls need.
	blocksPulls atomic.Bool

	mu sync.Mutex
	// firstKey is the key of the first entry that was applied.
	firstKey string
	applied  map[string]revision.Revision
	// values holds the value of each key.
	values map[string][]byte
	// settled holds the last value of Change.Settled of each deleted key.
	settled map[string]time.Time
	// hook, unless it is nil, is called with each batch of changes before the replica has applied it.
	hook func()
}

// onChanges sets hook.
func (r *testRouter) onChanges(hook func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hook = hook
}

func (r *testRouter) callHook() {
	r.mu.Lock()
	hook := r.hook
	r.mu.Unlock()
	if hook != nil {
		hook()
	}
}

func (r *testRouter) appliedRevision(key string) revision.Revision {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.applied[key]
}

// lockIsFree reports whether others can take the replica's lock. A goroutine that has it for a moment
// does not count.
func (r *testRouter) lockIsFree() bool {
	for range 10_000 {
		if r.replica.mu.TryLock() {
			r.replica.mu.Unlock()
			return true
		}
		runtime.Gosched()
	}
	return false
}

// observe records a change.
func (r *testRouter) observe(key string, at revision.Revision) {
	if key == desiredKey && !r.lockIsFree() {
		r.blocksPulls.Store(true)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.firstKey == "" {
		r.firstKey = key
	}
	r.applied[key] = revision.Latest(r.applied[key], at)
}

// setValue records the value of a key; nil means that it was deleted.
func (r *testRouter) setValue(key string, value []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.values[key] = value
}

// startRouter starts the replica of a host.
func startRouter(ctx context.Context, h *host) *testRouter {
	keys := Keys{Desired: desiredKey, Prefixes: []string{upstreamKey}, IsOutdated: isOutdated}
	return startRouterWithKeys(ctx, h, keys, log.New(io.Discard))
}

// startRouterWithKeys is startRouter for other keys.
func startRouterWithKeys(ctx context.Context, h *host, keys Keys, logger *log.Logger) *testRouter {
	router := &testRouter{host: h, applied: map[string]revision.Revision{}, values: map[string][]byte{}, settled: map[string]time.Time{}}
	router.replica = New(storeOf{store: h.fleet.store, host: h}, h, memberOf{fleet: h.fleet, self: h.id}, keys, h.fleet.deadline, logger)
	router.replica.SubscribeDesired(func(entry port.Entry) {
		router.observe(entry.Key, entry.Revision)
		router.setValue(entry.Key, entry.Value)
	})
	router.replica.Subscribe(func(changes []Change) {
		router.callHook()
		for _, change := range changes {
			router.observe(change.Entry.Key, change.Entry.Revision)
			router.setValue(change.Entry.Key, change.Entry.Value)
			if change.Deleted {
				router.mu.Lock()
				router.settled[change.Entry.Key] = change.Settled
				router.mu.Unlock()
			}
		}
	})
	go router.replica.Run(ctx)
	return router
}

// testFleet is a fleet whose routers have read the store.
type testFleet struct {
	store   *fakeStore
	routers []*testRouter
	// stopUpstreams ends the writes of the upstreams' entries.
	stopUpstreams context.CancelFunc
	// start starts a further router.
	start func() *testRouter
}

// runFleet runs a test on a fleet of slow hosts that are busy with callers' requests, in virtual
// time. Upstreams write their entries several times a second.
func runFleet(t *testing.T, size int, test func(t *testing.T, f testFleet)) {
	runFleetWithState(t, size, largeState(0), test)
}

// runFleetWithState is runFleet with another desired state at the start.
func runFleetWithState(t *testing.T, size int, desired []byte, test func(t *testing.T, f testFleet)) {
	t.Helper()
	runFleetWithDeadline(t, size, desired, drainLimit, test)
}

// runFleetWithDeadline is runFleetWithState with another deadline for changes.
func runFleetWithDeadline(t *testing.T, size int, desired []byte, deadline time.Duration, test func(t *testing.T, f testFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() {
			cancel()
			// Calls and transfers in progress end.
			time.Sleep(10 * time.Second)
		}()
		f := &fakeFleet{store: newFakeStore(), deadline: deadline, bytesPerSecond: slowLinkBytesPerSecond, cores: slowCores}
		for range size {
			f.add()
		}
		f.watchers = []fleet.HostID{f.all()[0].id, f.all()[1].id}
		f.store.put(desiredKey, desired)
		f.store.put(upstreamKey+"0", []byte("{}"))
		started := testFleet{store: f.store, start: func() *testRouter { return startRouter(ctx, f.add()) }}
		for _, h := range f.all() {
			started.routers = append(started.routers, startRouter(ctx, h))
			go h.keepBusy(ctx, 0.6)
		}
		writing, stop := context.WithCancel(ctx)
		started.stopUpstreams = stop
		go writeUpstreams(writing, f.store)
		time.Sleep(10 * time.Second)
		test(t, started)
	})
}

// writeUpstreams writes the entries of 60 upstreams, each about every second.
func writeUpstreams(ctx context.Context, store *fakeStore) {
	for i := 0; ctx.Err() == nil; i++ {
		store.put(fmt.Sprintf("%s%d", upstreamKey, i%60), []byte(`{"pool": "lm", "address": "10.1.0.1:80", "state": "ready", "more": "`+fmt.Sprint(i)+`"}`))
		sleep(ctx, 20*time.Millisecond)
	}
}

// refuseUnknownKeys makes each router confirm its desired state again and again, as it does before it
// refuses a request whose key it does not know.
func (f testFleet) refuseUnknownKeys(ctx context.Context) {
	for _, r := range f.routers {
		go func() {
			for ctx.Err() == nil {
				confirming, cancel := context.WithTimeout(ctx, applyLimit)
				_ = r.replica.Confirm(confirming)
				cancel()
				sleep(ctx, 300*time.Millisecond)
			}
		}()
	}
}

// writeStorm writes versions of a large desired state in quick succession and returns the last
// revision.
func (f testFleet) writeStorm() revision.Revision {
	const versions, gap = 25, 60 * time.Millisecond
	var last revision.Revision
	for version := range versions {
		last = f.store.put(desiredKey, largeState(version+1))
		time.Sleep(gap)
	}
	return last
}

// applyTime returns how long it takes until the last router has applied a revision of a key, or a
// longer time than the limit if that does not happen.
func (f testFleet) applyTime(key string, at revision.Revision, limit time.Duration) (time.Duration, fleet.HostID) {
	return applyTimeOf(f.routers, key, at, limit)
}

// applyTimeOf is applyTime for some routers.
func applyTimeOf(routers []*testRouter, key string, at revision.Revision, limit time.Duration) (time.Duration, fleet.HostID) {
	began := time.Now()
	for {
		var late fleet.HostID
		for _, r := range routers {
			if at.After(r.appliedRevision(key)) {
				late = r.id
			}
		}
		if took := time.Since(began); late == "" || took > 2*limit {
			return took, late
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func TestLeaveMarkWaitsForNoLargeState(t *testing.T) {
	runFleet(t, 20, func(t *testing.T, f testFleet) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f.refuseUnknownKeys(ctx)
		f.writeStorm()
		mark := f.store.put(upstreamKey+"leaving", []byte(`{"state": "draining"}`))
		took, late := f.applyTime(upstreamKey+"leaving", mark, leaveLimit)
		must.LessEq(t, leaveLimit, took, must.Sprintf("last: %s", late))
	})
}

func TestLastLargeStateIsAppliedInTime(t *testing.T) {
	runFleet(t, 20, func(t *testing.T, f testFleet) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f.refuseUnknownKeys(ctx)
		last := f.writeStorm()
		took, late := f.applyTime(desiredKey, last, applyLimit)
		must.LessEq(t, applyLimit, took, must.Sprintf("last: %s", late))
	})
}

// A transfer of the state takes longer than a confirmation may.
func TestConfirmationTransfersNoUnchangedState(t *testing.T) {
	runFleet(t, 20, func(t *testing.T, f testFleet) {
		f.stopUpstreams()
		slow := f.routers[len(f.routers)-1]
		for range 10 {
			time.Sleep(maxConfirmedAge / 2)
			before := slow.down.total()
			must.NoError(t, slow.replica.Confirm(t.Context()))
			must.Less(t, 64<<10, slow.down.total()-before)
		}
	})
}

func TestPullIsAnsweredWhileALargeStateIsApplied(t *testing.T) {
	runFleet(t, 2, func(t *testing.T, f testFleet) {
		last := f.store.put(desiredKey, largeState(1))
		time.Sleep(applyLimit)
		for _, r := range f.routers {
			must.Eq(t, last, r.appliedRevision(desiredKey))
			must.False(t, r.blocksPulls.Load())
		}
	})
}

func TestLeaveMarkReachesRoutersWhoseWatchersAreSilent(t *testing.T) {
	runFleet(t, 20, func(t *testing.T, f testFleet) {
		f.routers[0].silent.Store(true)
		f.routers[1].silent.Store(true)
		mark := f.store.put(upstreamKey+"leaving", []byte(`{"state": "draining"}`))
		took, late := f.applyTime(upstreamKey+"leaving", mark, leaveLimit)
		must.LessEq(t, leaveLimit, took, must.Sprintf("last: %s", late))
	})
}

func TestLeaveMarkWaitsForNoGrowingState(t *testing.T) {
	runFleetWithState(t, 20, []byte(`{"routes": []}`), func(t *testing.T, f testFleet) {
		last := f.writeStorm()
		mark := f.store.put(upstreamKey+"leaving", []byte(`{"state": "draining"}`))
		took, late := f.applyTime(upstreamKey+"leaving", mark, leaveLimit)
		must.LessEq(t, leaveLimit, took, must.Sprintf("last: %s", late))
		rest, late := f.applyTime(desiredKey, last, applyLimit)
		must.LessEq(t, applyLimit, took+rest, must.Sprintf("last: %s", late))
	})
}

// drainLimit is the users' drain_ms of the grown installations, whose fleets have watchers.
const drainLimit = 3 * time.Second

// Watchers that had lost the store went on answering with old copies, and routers noticed only by their
// age, after 3.5 s.
func TestLeaveMarkReachesRoutersWhoseWatchersHaveLostTheStore(t *testing.T) {
	for _, lost := range []int{1, 2} {
		runFleet(t, 20, func(t *testing.T, f testFleet) {
			for _, r := range f.routers[:lost] {
				r.isolated.Store(true)
			}
			mark := f.store.put(upstreamKey+"leaving", []byte(`{"state": "draining"}`))
			took, late := f.applyTime(upstreamKey+"leaving", mark, drainLimit)
			must.LessEq(t, drainLimit, took, must.Sprintf("watchers lost: %d, last: %s", lost, late))
		})
	}
}

// All routers of a large fleet used to call a store that was away up to four times a second.
func TestFewRoutersCallAStoreThatIsAway(t *testing.T) {
	runFleet(t, 20, func(t *testing.T, f testFleet) {
		f.stopUpstreams()
		const outage = 10 * time.Second
		// The delays are 1 s, 2 s, 4 s and 4 s at least.
		const maxAttempts = 4
		for _, r := range f.routers {
			r.startedWatches.Store(0)
			r.isolated.Store(true)
		}
		time.Sleep(outage)
		for _, r := range f.routers[len(f.routers[0].fleet.watchers):] {
			must.LessEq(t, int32(maxAttempts), r.startedWatches.Load(), must.Sprint(r.id))
			must.Zero(t, r.uselessWatches.Load(), must.Sprint(r.id))
		}
		for _, r := range f.routers {
			r.isolated.Store(false)
		}
		mark := f.store.put(upstreamKey+"leaving", []byte(`{"state": "draining"}`))
		took, late := f.applyTime(upstreamKey+"leaving", mark, leaveLimit)
		must.LessEq(t, leaveLimit, took, must.Sprintf("last: %s", late))
	})
}

func TestRoutersReturnToWatchersThatWereSilent(t *testing.T) {
	runFleet(t, 20, func(t *testing.T, f testFleet) {
		for _, silent := range []bool{true, false} {
			f.routers[0].silent.Store(silent)
			f.routers[1].silent.Store(silent)
			time.Sleep(5 * time.Second)
		}
		for i, r := range f.routers {
			must.Eq(t, i < 2, r.watches.Load() > 0, must.Sprint(r.id))
		}
	})
}

// A router never claims that a desired state was the newest at a time when a newer one existed.
func TestConfirmedStateWasTheNewest(t *testing.T) {
	for name, initial := range map[string][]byte{"large": largeState(0), "small": []byte(`{"routes": []}`)} {
		t.Run(name, func(t *testing.T) {
			runFleetWithState(t, 20, initial, func(t *testing.T, f testFleet) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				f.refuseUnknownKeys(ctx)
				go f.writeStorm()
				for range 600 {
					time.Sleep(10 * time.Millisecond)
					for _, r := range f.routers {
						confirmedAt := time.Now().Add(-r.replica.DesiredAge())
						if newer, found := f.store.nextWrite(desiredKey, r.appliedRevision(desiredKey)); found {
							must.False(t, confirmedAt.After(newer), must.Sprintf("%s: %s later", r.id, confirmedAt.Sub(newer)))
						}
					}
				}
			})
		})
	}
}

// A deletion right after an outage may be that of an entry which its upstream could not renew.
func TestRemovalAfterACutWatchIsFinal(t *testing.T) {
	runFleet(t, 2, func(t *testing.T, f testFleet) {
		f.stopUpstreams()
		f.store.put(upstreamKey+"removed", []byte("{}"))
		time.Sleep(2 * watchWait)
		f.store.cutWatches()
		time.Sleep(maxRetryDelay)
		f.store.remove(upstreamKey + "removed")
		time.Sleep(leaveLimit)
		for _, r := range f.routers {
			r.mu.Lock()
			settled, deleted := r.settled[upstreamKey+"removed"]
			r.mu.Unlock()
			must.True(t, deleted)
			must.True(t, settled.IsZero())
		}
	})
}

// A router serves callers from its first desired state on, and refuses them as long as it knows no
// upstream.
func TestUpstreamsAreKnownBeforeTheFirstDesiredState(t *testing.T) {
	runFleet(t, 20, func(t *testing.T, f testFleet) {
		for _, r := range f.routers {
			r.mu.Lock()
			first := r.firstKey
			r.mu.Unlock()
			must.StrHasPrefix(t, upstreamKey, first)
		}
	})
}
