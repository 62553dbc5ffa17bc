package replica

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"agateswitch/core/fleet"

	"pgregory.net/rapid"
)

// modelStep is a step of the model: what happens, after which pause.
type modelStep struct {
	action modelAction
	pause  time.Duration
	// number chooses an engine, a router, or how many changes a restore loses.
	number int
	// rewriteDelay is when after a restore everything is written again, and replay whether the lost
	// versions of the desired state are, one after the other.
	rewriteDelay time.Duration
	replay       bool
}

type modelAction int

const (
	writeVersion modelAction = iota
	writeEngine
	drainEngine
	removeEngine
	restoreStore
	isolateRouter
	reconnectRouter
	startFurtherRouter
	modelActions
)

// modelEngine is an engine of the model. Its entry has the field version, which counts its writes over
// all starts.
type modelEngine struct {
	Version int
	Born    int
	State   string
}

const (
	modelEngines    = 3
	modelRouters    = 3
	maxModelRouters = 5
)

// model is a store, what was written to it, and routers.
type model struct {
	fleet   testFleet
	version int
	engines [modelEngines]modelEngine
	problem string
	// newest holds the newest version of the desired state that each router has had, and left the
	// starts of engines that each router knew to leave or to have left.
	newest map[*testRouter]int
	left   map[*testRouter]map[string]string
	// known holds the last start of each engine that each router has had.
	known map[*testRouter]map[int]int
}

func modelKey(engine int) string { return fmt.Sprintf("%sengine-%d", upstreamKey, engine) }

func (m *model) putEngine(i int) {
	m.engines[i].Version++
	value, err := json.Marshal(m.engines[i])
	if err != nil {
		panic(err)
	}
	m.fleet.store.put(modelKey(i), value)
}

// apply makes one step.
func (m *model) apply(step modelStep) {
	e := step.number % modelEngines
	switch step.action {
	case writeVersion:
		m.version++
		m.fleet.store.put(desiredKey, versioned(m.version))
	case writeEngine:
		if m.engines[e].State == "" {
			m.engines[e].Born++
			m.engines[e].State = "ready"
		}
		m.putEngine(e)
	case drainEngine:
		if m.engines[e].State == "ready" {
			m.engines[e].State = "draining"
			m.putEngine(e)
		}
	case removeEngine:
		if m.engines[e].State != "" {
			m.engines[e].State = ""
			m.fleet.store.remove(modelKey(e))
		}
	case restoreStore:
		m.restore(step)
	case isolateRouter:
		m.fleet.routers[step.number%len(m.fleet.routers)].isolated.Store(true)
	case reconnectRouter:
		m.fleet.routers[step.number%len(m.fleet.routers)].isolated.Store(false)
	case startFurtherRouter:
		if len(m.fleet.routers) < maxModelRouters {
			m.fleet.routers = append(m.fleet.routers, m.fleet.start())
		}
	}
}

// restore takes the store back by some changes. Later, its writers write again.
func (m *model) restore(step modelStep) {
	at := m.fleet.store.at()
	before := max(m.fleet.store.firstNumber, at.Number-int64(step.number))
	m.fleet.store.restore(before)
	m.observeFor(step.rewriteDelay)
	if step.replay {
		for version := max(1, m.version-step.number); version < m.version; version++ {
			m.fleet.store.put(desiredKey, versioned(version))
			m.observeFor(100 * time.Millisecond)
		}
	}
	m.fleet.store.put(desiredKey, versioned(m.version))
	for i := range m.engines {
		if m.engines[i].State != "" {
			m.putEngine(i)
		} else if m.fleet.store.has(modelKey(i)) {
			m.fleet.store.remove(modelKey(i))
		}
	}
}

// observeFor lets time pass, and checks what the routers have meanwhile.
func (m *model) observeFor(duration time.Duration) {
	const interval = 50 * time.Millisecond
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(interval) {
		for _, r := range m.fleet.routers {
			m.check(r)
		}
	}
}

func (m *model) check(r *testRouter) {
	version := entryVersion(r.value(desiredKey))
	if version < m.newest[r] {
		m.problem = fmt.Sprintf("%s went back from version %d to %d", r.id, m.newest[r], version)
	}
	m.newest[r] = max(m.newest[r], version)
	if m.left[r] == nil {
		m.left[r], m.known[r] = map[string]string{}, map[int]int{}
	}
	for i := range m.engines {
		value := r.value(modelKey(i))
		if value == nil {
			if m.engines[i].State != "" && m.known[r][i] == m.engines[i].Born {
				m.problem = fmt.Sprintf("%s has lost start %d of engine %d, which lives", r.id, m.engines[i].Born, i)
			}
			continue
		}
		var known modelEngine
		if err := json.Unmarshal(value, &known); err != nil {
			panic(err)
		}
		m.known[r][i] = known.Born
		start := fmt.Sprintf("%d/%d", i, known.Born)
		if how := m.left[r][start]; how != "" && known.State == "ready" {
			m.problem = fmt.Sprintf("%s would use start %s of an engine again, which was %s", r.id, start, how)
		}
		if known.State == "draining" {
			m.left[r][start] = "draining"
		}
		for earlier := range known.Born {
			m.left[r][fmt.Sprintf("%d/%d", i, earlier)] = "replaced"
		}
	}
}

// checkEnd checks that all routers have what was written last.
func (m *model) checkEnd() {
	for _, r := range m.fleet.routers {
		if version := entryVersion(r.value(desiredKey)); version != m.version {
			m.problem = fmt.Sprintf("%s has version %d at the end, not %d", r.id, version, m.version)
		}
		for i, want := range m.engines {
			var known modelEngine
			if value := r.value(modelKey(i)); value != nil {
				if err := json.Unmarshal(value, &known); err != nil {
					panic(err)
				}
			}
			if known.State != want.State || known.State != "" && known != want {
				m.problem = fmt.Sprintf("%s has %+v at the end, not %+v", r.id, known, want)
			}
		}
	}
}

// runModel plays steps in virtual time and returns the first problem.
func runModel(t *testing.T, steps []modelStep) string {
	var problem string
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() {
			cancel()
			time.Sleep(10 * time.Second)
		}()
		f := &fakeFleet{store: newFakeStore(), bytesPerSecond: 1e9 / 8, cores: 1}
		m := &model{newest: map[*testRouter]int{}, left: map[*testRouter]map[string]string{}, known: map[*testRouter]map[int]int{}, version: 1}
		m.fleet = testFleet{store: f.store, start: func() *testRouter { return startRouter(ctx, f.add()) }}
		f.store.put(desiredKey, versioned(1))
		f.store.put(upstreamKey+"first", versioned(1))
		f.store.firstNumber = f.store.at().Number
		for range modelRouters {
			f.add()
		}
		f.watchers = []fleet.HostID{f.all()[0].id, f.all()[1].id}
		for _, h := range f.all() {
			m.fleet.routers = append(m.fleet.routers, startRouter(ctx, h))
		}
		m.observeFor(time.Second)
		for _, step := range steps {
			m.apply(step)
			m.observeFor(step.pause)
			if m.problem != "" {
				break
			}
		}
		if m.problem == "" {
			for _, r := range m.fleet.routers {
				r.isolated.Store(false)
			}
			m.observeFor(staleTimeout + restoreSettlePeriod + applyLimit)
			m.checkEnd()
		}
		problem = m.problem
	})
	return problem
}

// modelsPerCheck makes the 100 checks of a test run 500 cases.
const modelsPerCheck = 5

// No router goes back to an older desired state, uses an engine that it knew to leave, or drops one that
// lives, and all routers have the newest state in the end, whatever restores of the store lose.
func TestRestoresTakeNothingBack(t *testing.T) {
	step := rapid.Custom(func(rt *rapid.T) modelStep {
		return modelStep{
			action:       modelAction(rapid.IntRange(0, int(modelActions)-1).Draw(rt, "action")),
			pause:        time.Duration(rapid.IntRange(0, 15).Draw(rt, "pause")) * 100 * time.Millisecond,
			number:       rapid.IntRange(0, 8).Draw(rt, "number"),
			rewriteDelay: time.Duration(rapid.IntRange(0, 17).Draw(rt, "rewrite")) * 100 * time.Millisecond,
			replay:       rapid.Bool().Draw(rt, "replay"),
		}
	})
	rapid.Check(t, func(rt *rapid.T) {
		for range modelsPerCheck {
			if problem := runModel(t, rapid.SliceOfN(step, 1, 30).Draw(rt, "steps")); problem != "" {
				rt.Fatalf("%s", problem)
			}
		}
	})
}

// has reports whether the store has a key.
func (s *fakeStore) has(key string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, found := s.entries[key]
	return found
}
