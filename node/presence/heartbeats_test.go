package presence

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/core/revision"
	"agateswitch/node/replica"
	"agateswitch/port"

	"github.com/juju/errors"
	"github.com/shoenig/test/must"
	"github.com/vmihailenco/msgpack/v5"
)

// slowCallTime is how long a call takes on the slowest hosts, 0.192 cores and 10 Mbit/s, while they are busy:
// requests of callers ahead of it take up to 50 ms of a whole core.
const slowCallTime = 260 * time.Millisecond

// mesh connects presences by function calls, and stands for the store that they remove entries from.
type mesh struct {
	port.Store
	mu        sync.Mutex
	handlers  map[fleet.HostID]port.PeerHandler
	dead      map[fleet.HostID]bool
	calls     int
	callTime  time.Duration
	removedAt map[fleet.HostID]time.Time
}

// peer is the transport of one router.
type peer struct {
	*mesh
	self fleet.HostID
}

func (p peer) Handle(_ string, handler port.PeerHandler) { p.handlers[p.self] = handler }

func (p peer) Call(ctx context.Context, to fleet.HostID, _ string, request, response any) error {
	p.mu.Lock()
	p.calls++
	handler, isDead := p.handlers[to], p.dead[to] || p.dead[p.self]
	p.mu.Unlock()
	if isDead {
		<-ctx.Done()
		return errors.Trace(port.ErrPeerUnreachable)
	}
	body, err := msgpack.Marshal(request)
	if err != nil {
		return err
	}
	time.Sleep(p.callTime)
	answer, err := handler(ctx, p.self, func(into any) error { return msgpack.Unmarshal(body, into) })
	if err != nil {
		return err
	}
	if body, err = msgpack.Marshal(answer); err != nil {
		return err
	}
	return msgpack.Unmarshal(body, response)
}

// Commit records the removal of a router's entry.
func (m *mesh) Commit(_ context.Context, transaction port.Transaction) (port.CommitResult, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, write := range transaction.Writes {
		id := fleet.HostID(strings.TrimPrefix(write.Key, RouterKeyPrefix))
		if _, found := m.removedAt[id]; write.Delete && !found {
			m.removedAt[id] = time.Now()
		}
	}
	return port.CommitResult{Applied: true}, nil
}

// runHeartbeats runs a test on the heartbeats of a fleet, in virtual time.
func runHeartbeats(t *testing.T, routers int, callTime time.Duration, test func(m *mesh)) {
	synctest.Test(t, func(t *testing.T) {
		m := &mesh{handlers: map[fleet.HostID]port.PeerHandler{}, dead: map[fleet.HostID]bool{}, removedAt: map[fleet.HostID]time.Time{}, callTime: callTime}
		ctx, cancel := context.WithCancel(context.Background())
		defer func() {
			cancel()
			time.Sleep(10 * time.Second)
		}()
		presences := newFleet(t, make([]fleet.Capacity, routers))
		for _, p := range presences {
			p.store = m
			p.Join(peer{mesh: m, self: p.self.ID})
		}
		for _, p := range presences {
			go p.runEvery(ctx, heartbeatInterval, nil, p.sendHeartbeats)
		}
		time.Sleep(10 * time.Second)
		test(m)
	})
}

// Each pair of neighbours used to exchange two heartbeats a second, the most frequent message of a large
// fleet.
func TestNeighboursOfALargeFleetExchangeFewHeartbeats(t *testing.T) {
	const routers, seconds = 24, 20
	runHeartbeats(t, routers, time.Millisecond, func(m *mesh) {
		m.mu.Lock()
		before := m.calls
		m.mu.Unlock()
		time.Sleep(seconds * time.Second)
		m.mu.Lock()
		defer m.mu.Unlock()
		limit := float64(routers*heartbeatNeighbours*seconds) / neighbourHeartbeatAge.Seconds()
		must.LessEq(t, limit, float64(m.calls-before))
		must.MapEmpty(t, m.removedAt)
	})
}

// A router that has died is removed within the users' stable_window_ms of the grown installations and 3 s,
// less a second for the way of the removal to the others; one on a slow busy host is not.
func TestDeadNeighbourIsRemovedInTime(t *testing.T) {
	const routers, limit = 24, deadRouterLimit - time.Second
	for _, callTime := range []time.Duration{time.Millisecond, slowCallTime} {
		runHeartbeats(t, routers, callTime, func(m *mesh) {
			m.mu.Lock()
			m.dead["router-07"], m.dead["router-20"] = true, true
			m.mu.Unlock()
			died := time.Now()
			time.Sleep(limit)
			m.mu.Lock()
			defer m.mu.Unlock()
			must.MapLen(t, 2, m.removedAt)
			for id := range m.dead {
				must.LessEq(t, limit, m.removedAt[id].Sub(died), must.Sprint(id))
			}
		})
	}
}

// deadRouterLimit is the time after which the directory may no longer name a router that has died.
const deadRouterLimit = 7 * time.Second

// Routers of earlier builds do not answer roll calls, and one that lives would be removed.
func TestRollCallSparesRoutersOfEarlierBuilds(t *testing.T) {
	p := newFleet(t, make([]fleet.Capacity, 20))[0]
	observe := func(id fleet.HostID, number int64, entry string) {
		p.Observe([]replica.Change{{Entry: port.Entry{Key: RouterKeyPrefix + string(id), Value: []byte(entry), Revision: revision.Revision{Number: number}}}})
	}
	observe("earlier", 2, `{"ID":"earlier","LeaseSeconds":60}`)
	observe("silent", 3, `{"ID":"silent","LeaseSeconds":60,"AnswersRollCalls":true}`)
	observe("answering", 4, `{"ID":"answering","LeaseSeconds":60,"AnswersRollCalls":true}`)
	p.roll.revision = revision.Revision{Number: 5}
	observe("answering", 6, `{"ID":"answering","LeaseSeconds":60,"AnswersRollCalls":true}`)
	must.Eq(t, []port.Entry{{Key: RouterKeyPrefix + "silent", Revision: revision.Revision{Number: 3}}}, p.absent())
}

// What this build writes is what earlier ones read, and the key of roll calls names no router to them.
func TestEntriesAreUnderstoodByEarlierBuilds(t *testing.T) {
	value, err := json.Marshal(routerEntry{Host: fleet.Host{ID: "a", DataCentre: "north"}, LeaseSeconds: 60, AnswersRollCalls: true})
	must.NoError(t, err)
	var earlier struct {
		fleet.Host
		LeaseSeconds float64
	}
	must.NoError(t, json.Unmarshal(value, &earlier))
	must.Eq(t, "a", earlier.ID)
	must.Eq(t, 60, earlier.LeaseSeconds)
	value, err = json.Marshal(rollCallMessage{By: "a"})
	must.NoError(t, err)
	_, err = decodeRouter("?roll-call", value)
	must.Error(t, err)
}
