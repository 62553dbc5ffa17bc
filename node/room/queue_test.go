package room

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/core/room"
	"agateswitch/node/keeper"
	"agateswitch/port"

	"github.com/juju/errors"
	"github.com/shoenig/test/must"
)

const (
	pool = fleet.PoolID("plain")
	// zoneTime is the time of a message between zones, and workTime the mean work of a request.
	zoneTime = 1400 * time.Microsecond
	workTime = 30 * time.Millisecond
	aim      = 150 * time.Millisecond
	lasts    = 2500 * time.Millisecond
)

func (m *member) Routers() []fleet.Host {
	var routers []fleet.Host
	for _, other := range m.mesh.members {
		routers = append(routers, fleet.Host{ID: other.self})
	}
	return routers
}

// plainService runs six requests at once and lets 24 wait.
type plainService struct {
	slots          chan struct{}
	mu             sync.Mutex
	held, mostHeld int
}

func (p *plainService) run(ctx context.Context, work time.Duration) (ran, turnedAway bool) {
	p.mu.Lock()
	if p.held == 30 {
		p.mu.Unlock()
		return false, true
	}
	p.held++
	p.mostHeld = max(p.mostHeld, p.held)
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		p.held--
		p.mu.Unlock()
	}()
	select {
	case p.slots <- struct{}{}:
	case <-ctx.Done():
		return false, false
	}
	time.Sleep(work)
	<-p.slots
	return true, false
}

// trial is what callers of a small service got.
type trial struct {
	mu                                           sync.Mutex
	asked, inAim, late, refused, lateRefusals    int
	arrivals, turnedAway, inAimAfter, askedAfter int
	retries                                      []time.Duration
	mostHeld                                     int
}

// chooser sends one request of a router. It returns a nil seat if there is no place.
type chooser func(ctx context.Context, router *member, request room.Request) Entry

func enterQueue(ctx context.Context, router *member, request room.Request) Entry {
	return router.queues.Enter(ctx, pool, request)
}

// load is what a trial plays: so much of the capacity of two plain services with six slots each, for some seconds.
type load struct {
	routers int
	part    float64
	lasts   time.Duration
	// event is called at half of the time. Callers who ask settleTime later or more count as after it.
	event      func(m *mesh)
	settleTime time.Duration
}

func (l load) play(choose chooser) *trial {
	m := newMesh(l.routers)
	m.callTime = 2 * zoneTime
	services := map[fleet.UpstreamID]*plainService{}
	var candidates []room.Slots
	for _, id := range []fleet.UpstreamID{"a", "b"} {
		services[id] = &plainService{slots: make(chan struct{}, 6)}
		candidates = append(candidates, room.Slots{Upstream: room.Upstream{ID: id}, Slots: 6})
	}
	result, random := &trial{}, rand.New(rand.NewPCG(1, 1))
	perSecond := l.part * 12 / workTime.Seconds()
	began, played := time.Now(), false
	var callers sync.WaitGroup
	for time.Since(began) < l.lasts {
		time.Sleep(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
		if l.event != nil && !played && time.Since(began) >= l.lasts/2 {
			played = true
			l.event(m)
		}
		isAfter := l.event != nil && time.Since(began) >= l.lasts/2+l.settleTime
		router := m.members[random.IntN(l.routers)]
		work := time.Duration(float64(workTime) * math.Exp(random.NormFloat64()*0.5-0.125))
		team := fleet.Team(fmt.Sprint("t", random.IntN(24)))
		m.mu.Lock()
		isLost := m.silent[router.self] || m.killed[router.self] || time.Now().Before(m.frozen[router.self])
		m.mu.Unlock()
		if isLost {
			continue
		}
		callers.Go(func() { result.call(choose, router, services, candidates, team, work, isAfter) })
	}
	callers.Wait()
	// Places are returned in the background.
	time.Sleep(2*returnTimeout + keeper.MaxSilentTime)
	for _, s := range services {
		result.mostHeld = max(result.mostHeld, s.mostHeld)
	}
	return result
}

// call sends the request of one caller, who doesn't come back.
func (r *trial) call(choose chooser, router *member, services map[fleet.UpstreamID]*plainService, candidates []room.Slots, team fleet.Team, work time.Duration, isAfter bool) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), lasts)
	defer cancel()
	entry := choose(ctx, router, room.Request{Rank: 2, Team: team, Aim: aim, Left: lasts, Candidates: candidates})
	ran, turnedAway := false, false
	if entry.Seat != nil {
		time.Sleep(zoneTime)
		ran, turnedAway = services[entry.Seat.Upstream.ID].run(ctx, work)
		time.Sleep(zoneTime)
		entry.Seat.Return(true, turnedAway)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.asked++
	if isAfter {
		r.askedAfter++
	}
	if entry.Seat != nil {
		r.arrivals++
	}
	took := time.Since(began)
	switch {
	case ran && took <= aim:
		r.inAim++
		if isAfter {
			r.inAimAfter++
		}
	case ran:
		r.late++
	default:
		r.refused++
		if took > aim {
			r.lateRefusals++
		}
		r.retries = append(r.retries, entry.RetryAfter)
	}
	if turnedAway {
		r.turnedAway++
	}
}

func (r *trial) String() string {
	return fmt.Sprintf("asked %d: in aim %.3f, late %.3f, refused %.3f (late %d); turned away %d of %d; after %.3f of %d; most held %d", r.asked,
		float64(r.inAim)/float64(r.asked), float64(r.late)/float64(r.asked), float64(r.refused)/float64(r.asked), r.lateRefusals, r.turnedAway, r.arrivals,
		float64(r.inAimAfter)/float64(max(1, r.askedAfter)), r.askedAfter, r.mostHeld)
}

// Drawn by loads older than the work, requests meet at one upstream while the other has slots free.
func TestSmallServiceBehindManyRoutersMeetsItsAim(t *testing.T) {
	for _, routers := range []int{23, 60, 295} {
		for _, part := range []float64{0.5, 0.7, 0.85} {
			synctest.Test(t, func(t *testing.T) {
				r := load{routers: routers, part: part, lasts: 10 * time.Second}.play(enterQueue)
				t.Log(routers, "routers,", part, "of the capacity:", r)
				must.GreaterEq(t, 0.95*float64(r.asked), float64(r.inAim))
				must.LessEq(t, 0.01*float64(r.arrivals), float64(r.turnedAway))
			})
		}
	}
}

// Above the capacity, what is served stays in aim; the rest is refused at once, and told different times to come back.
func TestOverloadedSmallServiceServesItsCapacityInAim(t *testing.T) {
	for _, part := range []float64{1.5, 3, 5} {
		synctest.Test(t, func(t *testing.T) {
			r := load{routers: 60, part: part, lasts: 5 * time.Second}.play(enterQueue)
			t.Log(part, "of the capacity:", r)
			must.GreaterEq(t, 0.9*float64(r.asked)/part, float64(r.inAim+r.late))
			must.LessEq(t, 0.01*float64(r.arrivals), float64(r.turnedAway))
			must.LessEq(t, 0.01*float64(r.asked), float64(r.lateRefusals))
			distinct := map[time.Duration]bool{}
			for _, after := range r.retries {
				distinct[after.Truncate(time.Millisecond)] = true
			}
			must.GreaterEq(t, 100, len(distinct))
		})
	}
}

// With keepers killed, cut or frozen, the next one serves callers in aim again, and so does one that wakes.
func TestSmallServiceIsServedWhileKeepersAreLost(t *testing.T) {
	for name, lose := range map[string]func(m *mesh, id fleet.HostID){
		"killed": func(m *mesh, id fleet.HostID) { m.killed[id] = true },
		"cut":    func(m *mesh, id fleet.HostID) { m.silent[id] = true },
		"frozen": func(m *mesh, id fleet.HostID) { m.frozen[id] = time.Now().Add(1500 * time.Millisecond) },
	} {
		for _, lost := range []int{1, 2, 4} {
			synctest.Test(t, func(t *testing.T) {
				r := load{routers: 60, part: 0.5, lasts: 8 * time.Second, settleTime: 2 * time.Second, event: func(m *mesh) {
					order := m.members[0].queues.keepers
					for range lost {
						id := order.Of(string(pool))[0]
						order.SetSilent(id, port.ErrPeerUnreachable)
						m.mu.Lock()
						lose(m, id)
						m.mu.Unlock()
					}
				}}.play(enterQueue)
				t.Log(lost, "keepers", name, r)
				must.LessEq(t, 0.01*float64(r.arrivals), float64(r.turnedAway))
				must.GreaterEq(t, 0.95*float64(r.askedAfter), float64(r.inAimAfter))
			})
		}
	}
}

var wanted = room.Request{Aim: aim, Left: lasts, Candidates: []room.Slots{{Upstream: room.Upstream{ID: "a"}, Slots: 6}}}

// enterAll lets each router ask for a place, and returns those that were given, by the keeper's name.
func (m *mesh) enterAll(times int) map[fleet.HostID][]*Seat {
	var mu sync.Mutex
	seats := map[fleet.HostID][]*Seat{}
	var routers sync.WaitGroup
	for _, router := range m.members {
		for range times {
			routers.Go(func() {
				if entry := router.queues.Enter(context.Background(), pool, wanted); entry.Seat != nil {
					mu.Lock()
					defer mu.Unlock()
					seats[entry.Keeper] = append(seats[entry.Keeper], entry.Seat)
				}
			})
		}
	}
	routers.Wait()
	return seats
}

func TestRoutersOfAnEarlierBuildKeepNoQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(30)
		order := m.members[0].queues.keepers
		for range 5 {
			id := order.Of(string(pool))[0]
			order.SetSilent(id, errors.New("no method"))
			for _, router := range m.members {
				if router.self == id {
					clear(router.handlers)
				}
			}
		}
		keeper := order.Of(string(pool))[0]
		for range 2 {
			m.enterAll(1)
			time.Sleep(lasts)
		}
		seats := m.enterAll(2)
		must.Len(t, wanted.Candidates[0].Places(), seats[keeper])
		time.Sleep(returnTimeout)
	})
}

// placesInWork returns how many places are taken in the queue that this router keeps for all.
func (s *Queues) placesInWork(pool fleet.PoolID) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if q := s.kept[pool]; q != nil {
		return q.InWork()
	}
	return 0
}

// A keeper whose answer comes late may have given the place away since. The place that it gave is free again at once.
func TestLateAnswerOfAKeeperIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(60)
		m.callTime = busyCallTime
		for _, seats := range m.enterAll(1) {
			for _, seat := range seats {
				must.True(t, seat.keeper == "" || seat.keeper == seat.queues.self)
				seat.Return(true, false)
			}
		}
		time.Sleep(returnTimeout)
		for _, router := range m.members {
			must.Zero(t, router.queues.placesInWork(pool))
		}
		time.Sleep(keeper.MaxSilentTime)
	})
}

func TestGrantAfterTheEndOfTheWaitIsNotTakenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		queues := newMesh(2).members[0].queues
		w := queues.addWait("front-1", aim)
		must.False(t, queues.accept("front-0", grantRequest{Number: w.number}))
		time.Sleep(aim)
		must.False(t, queues.accept("front-1", grantRequest{Number: w.number}))
	})
}
