package room

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/core/room"
	"agateswitch/port"

	"github.com/charmbracelet/log"
	"github.com/juju/errors"
	"github.com/shoenig/test/must"
	"github.com/vmihailenco/msgpack/v5"
)

// busyCallTime is the time of a call to a host that has used up its share of a core for the rest of a tenth of a second.
const busyCallTime = 100 * time.Millisecond

var (
	engine = Upstream{ID: "e", Incarnation: 1}
	need   = room.Need{Slots: 6, PerSecond: 4, Lasts: time.Minute}
)

// mesh connects the services of a test.
type mesh struct {
	mu       sync.Mutex
	members  []*member
	silent   map[fleet.HostID]bool
	callTime time.Duration
	// killed routers refuse connections, and frozen ones handle what they are asked once they wake.
	killed map[fleet.HostID]bool
	frozen map[fleet.HostID]time.Time
}

// member is one router. It implements port.Peers and Fleet.
type member struct {
	mesh  *mesh
	self  fleet.HostID
	known int
	// ignoresLimits is true for a router of an earlier version.
	ignoresLimits bool
	handlers      map[string]port.PeerHandler
	service       *Service
	queues        *Queues
}

func newMesh(routers int) *mesh {
	m := &mesh{
		silent: map[fleet.HostID]bool{}, killed: map[fleet.HostID]bool{}, frozen: map[fleet.HostID]time.Time{}, callTime: time.Millisecond,
	}
	for i := range routers {
		router := &member{mesh: m, self: fleet.HostID(fmt.Sprint("front-", i)), handlers: map[string]port.PeerHandler{}}
		router.service = New(router.self, router, router, router.held, log.New(io.Discard))
		router.queues = NewQueues(router.self, router, router, log.New(io.Discard))
		m.members = append(m.members, router)
	}
	return m
}

// held returns what the member knows of the upstream's load.
func (m *member) held(fleet.UpstreamID) int { return m.known }

func (m *member) Handle(method string, handler port.PeerHandler) { m.handlers[method] = handler }

func (m *member) Call(ctx context.Context, to fleet.HostID, method string, request, response any) error {
	m.mesh.mu.Lock()
	isFrozen := time.Now().Before(m.mesh.frozen[to])
	m.mesh.mu.Unlock()
	if !isFrozen {
		return m.call(ctx, to, method, request, response)
	}
	go func() {
		// The caller does not learn the answer.
		_ = m.call(context.WithoutCancel(ctx), to, method, request, new(map[string]any))
	}()
	<-ctx.Done()
	return port.ErrPeerUnreachable
}

func (m *member) call(ctx context.Context, to fleet.HostID, method string, request, response any) error {
	other := m.mesh.members[slices.IndexFunc(m.mesh.members, func(other *member) bool { return other.self == to })]
	m.mesh.mu.Lock()
	silent, killed, stands := m.mesh.silent[to], m.mesh.killed[to], time.Until(m.mesh.frozen[to])
	m.mesh.mu.Unlock()
	if silent {
		<-ctx.Done()
	}
	if silent || killed {
		return port.ErrPeerUnreachable
	}
	time.Sleep(m.mesh.callTime + max(0, stands))
	body, err := msgpack.Marshal(request)
	if err != nil {
		return err
	}
	if take, isTake := request.(takeRequest); isTake && other.ignoresLimits {
		take.Limit = 0
		if body, err = msgpack.Marshal(take); err != nil {
			return err
		}
	}
	handler, isKnown := other.handlers[method]
	if !isKnown {
		return errors.Errorf("no method %s", method)
	}
	answer, err := handler(ctx, m.self, func(into any) error { return msgpack.Unmarshal(body, into) })
	if err != nil {
		return err
	}
	if given, isGiven := answer.(takeResponse); isGiven && other.ignoresLimits {
		given.Held = 0
		answer = given
	}
	if body, err = msgpack.Marshal(answer); err != nil {
		return err
	}
	return msgpack.Unmarshal(body, response)
}

func (m *member) Others() []fleet.HostID {
	var others []fleet.HostID
	for _, other := range m.mesh.members {
		if other != m {
			others = append(others, other.self)
		}
	}
	return others
}

func (m *member) Leaving() bool { return false }
func (m *member) Count() int    { return len(m.mesh.members) }
func (m *member) Rank(string) int {
	return slices.Index(m.mesh.members, m)
}

// takeAll lets each router take places until it gets none.
func (m *mesh) takeAll() []*Place {
	var mu sync.Mutex
	var places []*Place
	var routers sync.WaitGroup
	for _, router := range m.members {
		routers.Go(func() {
			for {
				place, _, _ := router.service.Take(context.Background(), engine, need)
				if place == nil {
					return
				}
				mu.Lock()
				places = append(places, place)
				mu.Unlock()
			}
		})
	}
	routers.Wait()
	return places
}

func TestAllRoutersTogetherTakeNoMorePlacesThanSlots(t *testing.T) {
	for _, routers := range []int{1, 8, 300} {
		for _, callTime := range []time.Duration{time.Millisecond, busyCallTime} {
			synctest.Test(t, func(t *testing.T) {
				m := newMesh(routers)
				m.callTime = callTime
				places := m.takeAll()
				must.Len(t, need.Slots, places)
				for _, place := range places {
					place.Return(false)
				}
				time.Sleep(time.Second)
				must.Len(t, need.Slots, m.takeAll())
			})
		}
	}
}

// With both keepers silent, each router uses its own part of half of the places, in a large fleet mostly none.
func TestPlacesWithoutAKeeperStayWithinHalf(t *testing.T) {
	for _, routers := range []int{3, 8, 300} {
		synctest.Test(t, func(t *testing.T) {
			m := newMesh(routers)
			for _, keeper := range m.members[0].service.keepers.Of(engine.ID) {
				m.silent[keeper] = true
			}
			var places []*Place
			for _, router := range m.members {
				// A silent router sends nothing either.
				if m.silent[router.self] {
					continue
				}
				for place, _, _ := router.service.Take(context.Background(), engine, need); place != nil; {
					places = append(places, place)
					place, _, _ = router.service.Take(context.Background(), engine, need)
				}
			}
			must.LessEq(t, need.Slots/2, len(places))
			must.Positive(t, len(places))
		})
	}
}

func TestRefusalsOfTheUpstreamStopAllRouters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(8)
		places := m.takeAll()
		places[0].Return(true)
		places[1].Return(true)
		time.Sleep(10 * time.Millisecond)
		must.SliceEmpty(t, m.takeAll())
		time.Sleep(time.Second)
		must.Positive(t, len(m.takeAll()))
	})
}

// withLimit is what a request to an upstream that may hold six requests needs.
var withLimit = room.Need{Slots: 64, Rank: 5, Lasts: 5 * time.Second, Limit: 6.4}

// All routers together fill an upstream that is not brittle up to its limit, each request counted, and learn what it holds, also from
// routers on busy hosts.
func TestPlacesStayWithinTheLimit(t *testing.T) {
	for _, routers := range []int{1, 8, 300} {
		for _, callTime := range []time.Duration{time.Millisecond, busyCallTime} {
			synctest.Test(t, func(t *testing.T) {
				m := newMesh(routers)
				m.callTime = callTime
				var places []*Place
				for i := range 20 {
					place, held, outcome := m.members[i*7%routers].service.Take(context.Background(), engine, withLimit)
					if outcome == Granted {
						places = append(places, place)
						continue
					}
					must.Eq(t, Full, outcome)
					must.Eq(t, 6, held)
				}
				must.Len(t, 6, places)
				places[0].Return(true)
				time.Sleep(time.Second)
				_, _, outcome := m.members[0].service.Take(context.Background(), engine, withLimit)
				must.Eq(t, Granted, outcome)
			})
		}
	}
}

// Requests that have no place, as those of routers of earlier versions, count by what routers have published.
func TestPublishedLoadCountsAgainstTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(8)
		for _, router := range m.members {
			router.known = 6
		}
		_, held, outcome := m.members[0].service.Take(context.Background(), engine, withLimit)
		must.Eq(t, Full, outcome)
		must.Eq(t, 6, held)
	})
}

// An upstream that is not brittle is not refused because nobody keeps its places.
func TestLimitIsUnknownWithoutAKeeper(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(8)
		for _, keeper := range m.members[0].service.keepers.Of(engine.ID) {
			m.silent[keeper] = true
		}
		place, _, outcome := m.members[slices.IndexFunc(m.members, func(r *member) bool { return !m.silent[r.self] })].service.Take(context.Background(), engine, withLimit)
		must.Nil(t, place)
		must.Eq(t, Unknown, outcome)
	})
}

// A router of an earlier version gives places up to the slots. Those of this version count at the next one that keeps the limit.
func TestLimitHoldsBesideAKeeperOfAnEarlierVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(8)
		earlier := m.members[0].service.keepers.Of(engine.ID)[0]
		for _, router := range m.members {
			if router.self == earlier {
				router.ignoresLimits = true
			}
		}
		granted := 0
		for i := range 40 {
			router := m.members[i%len(m.members)]
			if router.self == earlier {
				continue
			}
			if _, _, outcome := router.service.Take(context.Background(), engine, withLimit); outcome == Granted {
				granted++
			}
		}
		must.Eq(t, 6, granted)
	})
}
