package enginemodel

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"agateswitch/core/balance"
	"agateswitch/core/fleet"
	"agateswitch/core/rendezvous"
)

const (
	// snapshotInterval is the time between two of the loads that routers can know.
	snapshotInterval = 25 * time.Millisecond
	// maxAttempts is how many engines a request is sent to at most.
	maxAttempts = 2
)

// event is something that happens at a time. Events of the same time keep their order.
type event struct {
	at    time.Duration
	order int
	run   func()
}

// events is a heap of events.
type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// engineLoad is the load of one engine.
type engineLoad struct{ requests, pending int }

// simulation is one run.
type simulation struct {
	load     Load
	policy   Policy
	random   *rand.Rand
	now      time.Duration
	queue    events
	order    int
	engines  []*engine
	identity []balance.Candidate
	// snapshots holds the loads of all engines, one for each snapshotInterval.
	snapshots [][]engineLoad
	// recent holds what each router has sent since the last snapshot that it knows.
	recent [][]sentRequest
	// knownParts holds since when engines have parts.
	knownParts map[string]map[int]time.Duration
	result     collector
	// speeds is what the routers know of the engines' speed.
	speeds speeds
}

// sentRequest is a request that a router has sent.
type sentRequest struct {
	engine, pending int
	at              time.Duration
}

// Run plays a load with a policy. Equal seeds give equal results.
func Run(load Load, policy Policy, seed uint64) Result {
	s := &simulation{
		load: load, policy: policy, random: rand.New(rand.NewPCG(seed, 1)), recent: make([][]sentRequest, load.Routers),
		knownParts: map[string]map[int]time.Duration{}, result: newCollector(load),
		speeds: newSpeeds(load, seed),
	}
	for i := range load.Engines {
		id := fleet.UpstreamID(fmt.Sprintf("engine-%d", i))
		s.engines = append(s.engines, &engine{index: i, figures: load.Engine, cache: newCache(load.Engine.CacheTokens)})
		s.identity = append(s.identity, balance.Candidate{ID: id, Hash: rendezvous.Hash(string(id)), Slots: load.Engine.Slots})
	}
	s.takeSnapshots()
	for kind := range load.Kinds {
		s.scheduleArrival(kind)
	}
	s.scheduleDisruptions()
	for len(s.queue) > 0 {
		next := heap.Pop(&s.queue).(event)
		s.now = next.at
		next.run()
	}
	return s.result.finish()
}

func (s *simulation) at(at time.Duration, run func()) {
	s.order++
	heap.Push(&s.queue, event{at: at, order: s.order, run: run})
}

func (s *simulation) after(delay time.Duration, run func()) { s.at(s.now+delay, run) }

func (s *simulation) takeSnapshots() {
	loads := make([]engineLoad, len(s.engines))
	for i, e := range s.engines {
		loads[i].requests, loads[i].pending = e.load()
	}
	s.snapshots = append(s.snapshots, loads)
	s.result.addLoads(loads)
	if s.now < s.load.Length {
		s.after(snapshotInterval, s.takeSnapshots)
	}
}

// within reports whether now lies in a time span.
func (s *simulation) within(at, length time.Duration) bool { return s.now >= at && s.now < at+length }

// scheduleArrival schedules the next request of a kind.
func (s *simulation) scheduleArrival(kind int) {
	rate := s.load.Kinds[kind].Rate
	if s.load.Surge.Factor > 0 && s.within(s.load.Surge.At, s.load.Surge.Length) {
		rate *= s.load.Surge.Factor
	}
	next := s.now + time.Duration(s.random.ExpFloat64()/rate*float64(time.Second))
	if next >= s.load.Length {
		return
	}
	s.at(next, func() {
		s.place(s.newRequest(kind))
		s.scheduleArrival(kind)
	})
}

func (s *simulation) newRequest(kind int) *request {
	k := s.load.Kinds[kind]
	r := &request{kind: kind, router: s.random.IntN(s.load.Routers), arrivedAt: s.now, output: around(s.random, k.OutputTokens)}
	hot := s.load.Hot.Kind == k.Name && s.within(s.load.Hot.At, s.load.Hot.Length) && s.random.Float64() < s.load.Hot.Share
	for i, shared := range k.Shared {
		thing := s.random.IntN(shared.Things)
		if hot {
			thing = 0
		}
		r.parts = append(r.parts, part{id: fmt.Sprintf("%s/%d/%d", k.Name, i, thing), tokens: shared.Tokens})
	}
	return r
}

// place sends a request to the engines that the policy ranks first.
func (s *simulation) place(r *request) {
	kind := s.load.Kinds[r.kind]
	own := around(s.random, kind.OwnTokens)
	s.result.offer(r)
	choice, indexes := s.view(r, own)
	for attempt, ranked := range s.policy(choice) {
		if attempt >= maxAttempts {
			break
		}
		i := indexes[ranked]
		s.result.arrive(s.engines, i)
		e := s.engines[i]
		cached, accepted := e.accept(r, own)
		if !accepted {
			continue
		}
		r.engine = i
		s.result.reuse(r.sharedTokens(), cached)
		s.recent[r.router] = append(s.recent[r.router], sentRequest{engine: i, pending: r.prefillLeft, at: s.now})
		s.learnParts(r)
		s.step(e)
		return
	}
	s.result.refuse(r)
}

// view returns what a router knows about the engines that it may use, and their indexes.
func (s *simulation) view(r *request, own int) (Choice, []int) {
	known := s.snapshots[max(0, len(s.snapshots)-1-int(s.load.LoadAge/snapshotInterval))]
	sent := make(map[int]engineLoad)
	kept := s.recent[r.router][:0]
	for _, request := range s.recent[r.router] {
		if s.now-request.at < s.load.LoadAge {
			kept = append(kept, request)
			sum := sent[request.engine]
			sent[request.engine] = engineLoad{requests: sum.requests + 1, pending: sum.pending + request.pending}
		}
	}
	s.recent[r.router] = kept
	shared := r.sharedTokens()
	choice := Choice{Random: s.random}
	var indexes []int
	for i, e := range s.engines {
		if e.down || e.leaving {
			continue
		}
		candidate := s.identity[i]
		candidate.Running = float64(known[i].requests + sent[i].requests)
		candidate.PendingPrefill = float64(known[i].pending + sent[i].pending)
		candidate.Uncached = float64(shared + own - s.knownTokens(r, i))
		candidate.WorkTime = s.workTime(r.router, i)
		choice.Candidates, indexes = append(choice.Candidates, candidate), append(indexes, i)
	}
	key := r.parts[len(r.parts)-1].id
	choice.Prompt = balance.Prompt{
		Key: key, IsCached: s.isKnown(key), Tokens: float64(shared + own),
		RandomTie: s.random.Uint64(),
	}
	if s.load.LoadAge > 0 {
		choice.Prompt.CostGranularity = balance.StaleLoadCostGranularity
	}
	return choice, indexes
}

// learnParts records that a request's engine has its parts.
func (s *simulation) learnParts(r *request) {
	for _, p := range r.parts {
		engines, found := s.knownParts[p.id]
		if !found {
			engines = map[int]time.Duration{}
			s.knownParts[p.id] = engines
		}
		if _, found := engines[r.engine]; !found {
			engines[r.engine] = s.now
		}
	}
}

// knownTokens returns how many tokens of a prompt an engine has as far as routers know.
func (s *simulation) knownTokens(r *request, engine int) int {
	tokens := 0
	for _, p := range r.parts {
		since, found := s.knownParts[p.id][engine]
		if !found || s.now-since < s.load.LoadAge {
			break
		}
		tokens += p.tokens
	}
	return tokens
}

func (s *simulation) isKnown(part string) bool {
	for _, since := range s.knownParts[part] {
		if s.now-since >= s.load.LoadAge {
			return true
		}
	}
	return false
}

// step runs the engine's next step unless one is running or there is nothing to do.
func (s *simulation) step(e *engine) {
	if e.stepping || len(e.running) == 0 {
		return
	}
	e.stepping = true
	epoch := e.epoch
	took, reads, tokens := e.nextStep()
	took = time.Duration(float64(took) * s.slowness(e.index))
	s.after(took, func() {
		if e.epoch != epoch {
			return
		}
		e.stepping = false
		e.endStep(reads, tokens, func(r *request) {
			s.result.firstEvent(r, s.now-r.arrivedAt)
			s.stateSpeed(r.router, e.index)
		})
		s.step(e)
	})
}

// forgetCaches makes routers know no parts on an engine.
func (s *simulation) forgetCaches(engine int) {
	for _, engines := range s.knownParts {
		delete(engines, engine)
	}
}

// scheduleDisruptions schedules the crash and the release.
func (s *simulation) scheduleDisruptions() {
	order := s.random.Perm(len(s.engines))
	crashed := order[:int(s.load.Crash.Share*float64(len(order)))]
	s.at(s.load.Crash.At, func() {
		for _, i := range crashed {
			s.engines[i].down = true
			s.forgetCaches(i)
			for _, r := range s.engines[i].crash() {
				s.result.lose(r)
			}
		}
	})
	s.at(s.load.Crash.At+s.load.Crash.Length, func() {
		for _, i := range crashed {
			s.engines[i].down = false
		}
	})
	released := order[:int(s.load.Release.Share*float64(len(order)))]
	for n, i := range released {
		s.at(s.load.Release.At+time.Duration(n)*s.load.Release.Gap, func() { s.replace(i) })
	}
}

// replace adds an engine in place of one that ends what it runs.
func (s *simulation) replace(i int) {
	s.engines[i].leaving = true
	id := fleet.UpstreamID(fmt.Sprintf("engine-%d", len(s.engines)))
	s.engines = append(s.engines, &engine{index: len(s.engines), figures: s.load.Engine, cache: newCache(s.load.Engine.CacheTokens)})
	s.identity = append(s.identity, balance.Candidate{ID: id, Hash: rendezvous.Hash(string(id)), Slots: s.load.Engine.Slots})
	// The loads that routers know have a place for the new engine.
	for n := range s.snapshots {
		s.snapshots[n] = append(s.snapshots[n], engineLoad{})
	}
}
