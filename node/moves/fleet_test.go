package moves

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"agateswitch/core/configuration"
	"agateswitch/core/fleet"
	"agateswitch/core/rollout"

	"github.com/shoenig/test/must"
)

const warmUp = 40 * time.Second

// load sends requests through random routers and counts them by version.
type load struct {
	fleet *fakeFleet
	rate  int
	// failureRate is the failure rate of version 2.
	failureRate float64
	random      *rand.Rand
	counts      map[fleet.Version]int
	// last holds the last version of each chat, and changes how often it changed.
	last    map[int]fleet.Version
	changes map[int]int
}

func newLoad(f *fakeFleet, rate int) *load {
	return &load{
		fleet: f, rate: rate, random: rand.New(rand.NewPCG(1, 6)), counts: map[fleet.Version]int{},
		last: map[int]fleet.Version{}, changes: map[int]int{},
	}
}

func (l *load) run(length time.Duration) {
	l.runUntil(length, func() bool { return false })
}

// runUntil sends requests for at most the given time and reports whether the condition held by then.
func (l *load) runUntil(length time.Duration, condition func() bool) bool {
	const tick = 20 * time.Millisecond
	routers := l.fleet.all()
	due := 0.0
	for end := time.Now().Add(length); time.Now().Before(end); <-time.After(tick) {
		if condition() {
			return true
		}
		for due += float64(l.rate) * tick.Seconds(); due >= 1; due-- {
			l.request(routers[l.random.IntN(len(routers))])
		}
	}
	return condition()
}

func (l *load) request(router *fakeRouter) {
	chat := l.random.IntN(3000)
	version := router.service.Choose(testPool, fleet.ChatID(fmt.Sprint("c", chat)))
	if before, found := l.last[chat]; found && before != version {
		l.changes[chat]++
	}
	l.last[chat] = version
	l.counts[version]++
	failed := version == "2" && l.random.Float64() < l.failureRate
	router.service.Observe(fleet.Evidence{
		Pool: testPool, Version: version, Route: "POST /v1/chat/completions", Failed: failed,
		FirstToken:    time.Duration(100+l.random.IntN(50)) * time.Millisecond,
		TokenInterval: time.Duration(15+l.random.IntN(10)) * time.Millisecond,
	})
}

func (l *load) mostChanges() int {
	most := 0
	for _, changes := range l.changes {
		most = max(most, changes)
	}
	return most
}

// begin sends requests for warmUp and then begins a move through the first router.
func begin(t *testing.T, f *fakeFleet, l *load, by time.Duration) rollout.Move {
	t.Helper()
	l.run(warmUp)
	move, refusal := f.all()[0].service.Begin(t.Context(), testPool, "2", time.Now().Add(by))
	must.Nil(t, refusal)
	return move
}

func countRolledBack(routers []*fakeRouter) int {
	count := 0
	for _, router := range routers {
		if move, found := router.service.currentMove(testPool); found && move.Status == rollout.StatusRolledBack {
			count++
		}
	}
	return count
}

func storedMove(t *testing.T, f *fakeFleet) rollout.Move {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	move, err := rollout.Decode(f.items[configuration.Key{Kind: configuration.KindMove, Name: testPool}].Value)
	must.NoError(t, err)
	return move
}

// A move to a good version completes although the store is down for a minute, answers to writes are
// lost and a router is partitioned for a while. Each chat changes its version at most once.
func TestGoodVersionCompletesDespiteOutages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFleet(8)
		defer f.shutDown()
		l := newLoad(f, 50)
		begin(t, f, l, 12*time.Minute)
		l.run(40 * time.Second)
		f.mu.Lock()
		f.storeDown, f.loseAnswers = true, 2
		f.mu.Unlock()
		l.run(time.Minute)
		must.Eq(t, 0, storedMove(t, f).Step)
		f.mu.Lock()
		f.storeDown = false
		f.mu.Unlock()
		// A router that is partitioned from the others may be the leader as well.
		f.mu.Lock()
		f.partitioned[f.routers["h3"].host.ID] = true
		f.mu.Unlock()
		l.run(20 * time.Second)
		f.mu.Lock()
		f.partitioned["h3"] = false
		f.mu.Unlock()
		must.True(t, l.runUntil(9*time.Minute, func() bool { return storedMove(t, f).Status == rollout.StatusDone }))
		l.run(2 * time.Second)
		must.LessEq(t, 1, l.mostChanges())
		must.Eq(t, fleet.Version("2"), f.all()[5].service.Choose(testPool, "any"))
	})
}

// A bad version is rolled back while the store is down and a fifth of the routers are unreachable.
// All reachable routers apply the rollback within 2 s of the first one, the others once they are
// reachable, and a router that starts applies it before its first request.
func TestBadVersionIsTakenBackWithTheStoreDown(t *testing.T) {
	for _, size := range []int{8, 64} {
		synctest.Test(t, func(t *testing.T) {
			f := newFakeFleet(size)
			defer f.shutDown()
			l := newLoad(f, 100)
			begin(t, f, l, 20*time.Minute)
			l.run(10 * time.Second)
			f.mu.Lock()
			f.storeDown = true
			f.mu.Unlock()
			var reachable, others []*fakeRouter
			for i, router := range f.all() {
				if i%5 == 3 {
					f.mu.Lock()
					f.partitioned[router.host.ID] = true
					f.mu.Unlock()
					others = append(others, router)
					continue
				}
				reachable = append(reachable, router)
			}
			l.failureRate = 0.5
			must.True(t, l.runUntil(time.Minute, func() bool { return countRolledBack(reachable) > 0 }))
			first := time.Now()
			must.True(t, l.runUntil(2*time.Second, func() bool { return countRolledBack(reachable) == len(reachable) }))
			t.Logf("%d routers: all reachable ones rolled back %s after the first", size, time.Since(first))
			must.LessEq(t, l.counts["1"]/10, l.counts["2"])

			f.mu.Lock()
			clear(f.partitioned)
			f.mu.Unlock()
			must.True(t, l.runUntil(time.Minute, func() bool { return countRolledBack(others) == len(others) }))
			must.LessEq(t, 2, l.mostChanges())
			started := f.start("late")
			must.Eq(t, rollout.StatusRunning, storedMove(t, f).Status)
			for i := range 500 {
				must.Eq(t, fleet.Version("1"), started.service.Choose(testPool, fleet.ChatID(fmt.Sprint("c", i))))
			}
			f.mu.Lock()
			f.storeDown = false
			f.mu.Unlock()
			must.True(t, l.runUntil(10*time.Second, func() bool { return storedMove(t, f).Status == rollout.StatusRolledBack }))
		})
	}
}

// Routers receive a step at different times but apply it at the same moment: a chat whose requests
// go through all of them changes its version once.
func TestRoutersStepTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFleet(8)
		defer f.shutDown()
		l := newLoad(f, 50)
		move := begin(t, f, l, 20*time.Minute)
		changes, last := map[fleet.ChatID]int{}, map[fleet.ChatID]fleet.Version{}
		for time.Now().Before(move.Effective.Add(5 * time.Second)) {
			for _, router := range f.all() {
				for i := range 200 {
					chat := fleet.ChatID(fmt.Sprint("c", i))
					version := router.service.Choose(testPool, chat)
					if before, found := last[chat]; found && before != version {
						changes[chat]++
					}
					last[chat] = version
				}
			}
			<-time.After(100 * time.Millisecond)
		}
		must.Positive(t, len(changes))
		for chat, count := range changes {
			must.Eq(t, 1, count, must.Sprint(chat))
		}
	})
}

// A step that a paused leader writes after the rollback has no effect.
func TestOlderStepDoesNotUndoARollback(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFleet(4)
		defer f.shutDown()
		l := newLoad(f, 50)
		move := begin(t, f, l, 20*time.Minute)
		l.run(5 * time.Second)
		_, refusal := f.all()[2].service.Back(testPool, "looks wrong")
		must.Nil(t, refusal)
		f.mu.Lock()
		f.put(configuration.Key{Kind: configuration.KindMove, Name: testPool}, move.NextStep(time.Now(), "late").NextStep(time.Now(), "late"))
		f.mu.Unlock()
		l.run(3 * time.Second)
		before := l.counts["2"]
		l.run(10 * time.Second)
		must.Eq(t, before, l.counts["2"])
		must.Eq(t, rollout.StatusRolledBack, storedMove(t, f).Status)
		_, refusal = f.all()[1].service.Begin(t.Context(), testPool, "2", time.Now().Add(20*time.Minute))
		must.Nil(t, refusal)
		l.run(10 * time.Second)
		must.Greater(t, before, l.counts["2"])
	})
}

// The control traffic of a move at each router stays within the target of 28 KB per second, at three
// fleet sizes.
func TestEvidenceBytesDoNotGrowWithTheFleet(t *testing.T) {
	for _, size := range []int{4, 16, 64} {
		synctest.Test(t, func(t *testing.T) {
			f := newFakeFleet(size)
			defer f.shutDown()
			l := newLoad(f, 174)
			begin(t, f, l, 20*time.Minute)
			l.run(5 * time.Second)
			before := map[fleet.HostID]int{}
			for _, router := range f.all() {
				before[router.host.ID] = router.sent + router.received
			}
			const length = 5 * time.Second
			l.run(length)
			most, sum := 0, 0
			for _, router := range f.all() {
				bytes := (router.sent + router.received - before[router.host.ID]) / int(length.Seconds())
				most, sum = max(most, bytes), sum+bytes
			}
			t.Logf("%d routers: at most %d bytes a second, %d on average", size, most, sum/size)
			must.LessEq(t, 28_000, most)
		})
	}
}

// A move that can't complete by its deadline is refused at its start, and so is a move to a version
// without an upstream.
func TestImpossibleDeadlineIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeFleet(3)
		defer f.shutDown()
		l := newLoad(f, 5)
		l.run(warmUp)
		_, refusal := f.all()[0].service.Begin(t.Context(), testPool, "2", time.Now().Add(2*time.Minute))
		must.NotNil(t, refusal)
		must.StrContains(t, refusal.Message, "the deadline cannot be met")
		_, refusal = f.all()[0].service.Begin(t.Context(), testPool, "3", time.Now().Add(time.Hour))
		must.Eq(t, fleet.CodeNoUpstream, refusal.Code)
	})
}
