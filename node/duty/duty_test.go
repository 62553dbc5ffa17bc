package duty

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/port"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// play runs routers in virtual time and ends them.
func play(t *testing.T, seed uint64, routers int, script func(ctx context.Context, w *world, running *sync.WaitGroup)) *world {
	t.Helper()
	w := newWorld(seed, routers)
	synctest.Test(t, func(*testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		defer func() {
			cancel()
			running.Wait()
			w.delayed.Wait()
		}()
		for _, name := range w.names {
			w.start(ctx, &running, name)
		}
		time.Sleep(6 * time.Second)
		script(ctx, w, &running)
	})
	return w
}

// fault is a step of the model.
type fault struct {
	Kind   int
	Target int
	For    time.Duration
	Pause  time.Duration
}

const (
	kill = iota
	terminate
	suspend
	cutOff
	cutFromStore
	storeDown
	storeSlow
	storeLossy
	storeRestored
	killLine
	faults
)

// apply brings a fault about, and returns how it ends.
func (f fault) apply(ctx context.Context, w *world, running *sync.WaitGroup) (end func()) {
	target := w.holder()
	if f.Target > 0 {
		w.mu.Lock()
		target = w.routers[fleet.HostID(w.order[(f.Target-1)%len(w.order)])]
		w.mu.Unlock()
	}
	set := func(change func(*testRouter)) { target.set(change) }
	switch f.Kind {
	case kill:
		target.kill()
		return func() { w.start(ctx, running, string(target.id)) }
	case terminate:
		set(func(r *testRouter) { r.leaves = true })
		target.service.Leave()
		return func() { target.kill(); w.start(ctx, running, string(target.id)) }
	case suspend:
		set(func(r *testRouter) { r.wakesAt = time.Now().Add(f.For) })
	case cutOff:
		set(func(r *testRouter) { r.cut = true })
		return func() { set(func(r *testRouter) { r.cut = false }) }
	case cutFromStore:
		set(func(r *testRouter) { r.cutFromStore = true })
		return func() { set(func(r *testRouter) { r.cutFromStore = false }) }
	case storeDown:
		set(func(r *testRouter) { r.world.down = true })
		return func() { set(func(r *testRouter) { r.world.down = false }) }
	case storeSlow:
		set(func(r *testRouter) { r.world.slow = 900 * time.Millisecond })
		return func() { set(func(r *testRouter) { r.world.slow = 0 }) }
	case storeLossy:
		set(func(r *testRouter) { r.world.lossy = 0.5 })
		return func() { set(func(r *testRouter) { r.world.lossy = 0 }) }
	case storeRestored:
		w.restore(f.For)
	case killLine:
		var killed []*testRouter
		for _, id := range target.First("", candidates) {
			w.mu.Lock()
			next := w.routers[id]
			w.mu.Unlock()
			next.kill()
			killed = append(killed, next)
		}
		return func() {
			for _, next := range killed {
				w.start(ctx, running, string(next.id))
			}
		}
	}
	return func() {}
}

// Whatever happens, the platform gets no token from two routers, no lower one after a higher one, and no calls of A, B, A within a lease.
func TestModelOfClaims(t *testing.T) {
	for _, routers := range []int{6, 88, 295} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			rapid.Check(t, func(rt *rapid.T) {
				script := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) fault {
					return fault{
						Kind: rapid.IntRange(0, faults-1).Draw(rt, "kind"), Target: rapid.IntRange(0, candidates).Draw(rt, "target"),
						For:   time.Duration(rapid.IntRange(100, 7000).Draw(rt, "for")) * time.Millisecond,
						Pause: time.Duration(rapid.IntRange(0, 4000).Draw(rt, "pause")) * time.Millisecond,
					}
				}), 1, 10).Draw(rt, "faults")
				seed := rapid.Uint64().Draw(rt, "seed")
				w := play(t, seed, routers, func(ctx context.Context, w *world, running *sync.WaitGroup) {
					var ending sync.WaitGroup
					for _, f := range script {
						end := f.apply(ctx, w, running)
						ending.Go(func() { time.Sleep(f.For); end() })
						time.Sleep(f.Pause)
					}
					ending.Wait()
					time.Sleep(15 * time.Second)
				})
				if broken := w.violations(); broken != "" {
					rt.Fatal(broken)
				}
				if len(w.received) == 0 || w.gap(w.received[len(w.received)-1].at) > time.Minute {
					rt.Fatal("the duty was left undone")
				}
			})
		})
	}
}

// holders returns the routers in the order in which they have made calls.
func (w *world) holders() []fleet.HostID {
	w.mu.Lock()
	defer w.mu.Unlock()
	var holders []fleet.HostID
	for _, call := range w.received {
		if len(holders) == 0 || holders[len(holders)-1] != call.host {
			holders = append(holders, call.host)
		}
	}
	return holders
}

// takeoverTime is the time within which a successor acts: it looks once a lease, waits for one, and may be third in line.
const takeoverTime = 8 * time.Second

// One fault on the holder of a quiet fleet: who acts after it, and for how long nobody does.
func TestOneFaultOnTheHolder(t *testing.T) {
	for name, one := range map[string]struct {
		fault   fault
		holders int
		gap     time.Duration
	}{
		"killed":             {fault{Kind: kill, For: 20 * time.Second}, 2, takeoverTime},
		"suspended for long": {fault{Kind: suspend, For: 12 * time.Second}, 2, takeoverTime},
		"suspended shortly":  {fault{Kind: suspend, For: time.Second}, 1, 3 * time.Second},
		"cut off":            {fault{Kind: cutOff, For: 12 * time.Second}, 2, takeoverTime},
		"cut off shortly":    {fault{Kind: cutOff, For: 500 * time.Millisecond}, 1, 3 * time.Second},
		"cut from the store": {fault{Kind: cutFromStore, For: 12 * time.Second}, 2, takeoverTime},
		"terminated":         {fault{Kind: terminate, For: 20 * time.Second}, 2, time.Second},
		"store down":         {fault{Kind: storeDown, For: 5 * time.Second}, 1, 6 * time.Second},
		"store slow":         {fault{Kind: storeSlow, For: 10 * time.Second}, 1, 3 * time.Second},
		"store restored":     {fault{Kind: storeRestored, For: 2 * time.Second}, 2, takeoverTime},
		"all in line killed": {fault{Kind: killLine, For: 20 * time.Second}, 2, 2 * takeoverTime},
	} {
		t.Run(name, func(t *testing.T) {
			var ended time.Time
			w := play(t, 1, 88, func(ctx context.Context, w *world, running *sync.WaitGroup) {
				time.Sleep(4 * time.Second)
				end := one.fault.apply(ctx, w, running)
				time.Sleep(one.fault.For)
				end()
				time.Sleep(20 * time.Second)
				ended = time.Now()
			})
			must.Eq(t, "", w.violations())
			must.LessEq(t, one.holders, len(w.holders()), must.Sprint(w.holders()))
			must.LessEq(t, one.gap, w.gap(ended), must.Sprint(w.holders()))
		})
	}
}

// A process that was suspended sends nothing until the store has confirmed its lease, even if by its clock the lease has not run out.
func TestSuspendedHolderWaitsForTheStore(t *testing.T) {
	w := play(t, 1, 6, func(_ context.Context, w *world, _ *sync.WaitGroup) {
		holder := w.holder()
		holder.set(func(r *testRouter) { r.slept += 200 * time.Millisecond; r.world.down = true })
		before := len(w.holders())
		w.mu.Lock()
		calls := len(w.received)
		w.mu.Unlock()
		time.Sleep(2 * time.Second)
		w.mu.Lock()
		must.Eq(t, calls, len(w.received))
		w.down = false
		w.mu.Unlock()
		time.Sleep(2 * time.Second)
		must.Eq(t, before, len(w.holders()))
		w.mu.Lock()
		must.Greater(t, calls, len(w.received))
		w.mu.Unlock()
	})
	must.Eq(t, "", w.violations())
}

// The calls to the store for one subject stay within 2 in 100 of 1,200 writes and 6,000 reads a second.
func TestStoreCallsAtFullSize(t *testing.T) {
	w := play(t, 1, 295, func(_ context.Context, w *world, _ *sync.WaitGroup) { time.Sleep(60 * time.Second) })
	must.LessEq(t, 66*24, w.writes)
	must.LessEq(t, 66*120, w.reads)
	t.Logf("%.2f writes and %.2f reads a second", float64(w.writes)/66, float64(w.reads)/66)
}

// Two hand-overs within a lease: the first holder, which is back, must not act again before a lease is over.
func TestSecondHandOverWithinALeaseIsWaitedFor(t *testing.T) {
	w := play(t, 1, 6, func(ctx context.Context, w *world, running *sync.WaitGroup) {
		time.Sleep(4 * time.Second)
		terminated := fault{Kind: terminate}
		end := terminated.apply(ctx, w, running)
		time.Sleep(500 * time.Millisecond)
		end()
		time.Sleep(time.Second)
		terminated.apply(ctx, w, running)
		time.Sleep(10 * time.Second)
	})
	must.Eq(t, "", w.violations())
	must.Len(t, 3, w.holders())
}

// A renewal that the store executes after it was restored, once the number that it replaces has been given out again, brings no holder of
// the earlier era back.
func TestWriteExecutedAfterARestoreBringsNoHolderBack(t *testing.T) {
	w := play(t, 1, 6, func(_ context.Context, w *world, _ *sync.WaitGroup) {
		holder := w.holder()
		holder.set(func(r *testRouter) { r.cutFromStore = true })
		time.Sleep(testLease.RenewInterval() + testLease.CallTimeout())
		w.restore(5 * time.Second)
		var late port.Transaction
		holder.set(func(r *testRouter) {
			late = r.lastWrite
			r.cutFromStore, r.world.late = false, &late
		})
		time.Sleep(4 * takeoverTime)
		w.mu.Lock()
		defer w.mu.Unlock()
		must.Greater(t, late.Conditions[0].Revision.Number, w.revision)
	})
	must.Eq(t, "", w.violations())
}
