package versionmove

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"agateswitch/core/dissemination"
	"agateswitch/core/fleet"
	"agateswitch/port"

	"github.com/shoenig/test/must"
	"github.com/vmihailenco/msgpack/v5"
)

// relayed is the transport and the fleet of one of many services that have relays.
type relayed struct {
	linked
	hosts []fleet.Host
	calls *callCounts
}

// callCounts holds how many calls routers have made, by caller and called router.
type callCounts struct {
	mu    sync.Mutex
	calls map[fleet.HostID]map[fleet.HostID]int
}

func (r relayed) Call(ctx context.Context, to fleet.HostID, method string, request, response any) error {
	r.calls.mu.Lock()
	if r.calls.calls[r.self] == nil {
		r.calls.calls[r.self] = map[fleet.HostID]int{}
	}
	r.calls.calls[r.self][to]++
	r.calls.mu.Unlock()
	return r.linked.Call(ctx, to, method, request, response)
}

func (r relayed) Relays() dissemination.RelayPlan {
	for _, host := range r.hosts {
		if host.ID == r.self {
			return dissemination.PlanRelays(r.hosts, host)
		}
	}
	return dissemination.RelayPlan{Direct: true}
}

const (
	dataCentres = 5
	// largeHosts are the first hosts of a fleet, which have fast links.
	largeHosts = 15
)

// Rank keeps the services from writing the status of the move.
func (relayed) Rank(string) int { return 1 }

func noEarlier(int) bool { return false }

// startRelayed starts the services of a fleet with a running move.
func startRelayed(ctx context.Context, routers int, isEarlier func(i int) bool) relayed {
	r := relayed{linked: newLinked(), calls: &callCounts{calls: map[fleet.HostID]map[fleet.HostID]int{}}}
	for i := range routers {
		host := fleet.Host{ID: fleet.HostID(fmt.Sprint("front-", i)), DataCentre: fleet.DataCentre(fmt.Sprint("dc-", i%dataCentres))}
		if i < largeHosts {
			host.Capacity = fleet.Capacity{Cores: 0.8, LinkMbps: 200}
		}
		r.hosts = append(r.hosts, host)
	}
	for _, host := range r.hosts {
		r.start(host.ID, time.Minute)
		s := r.services[host.ID]
		one := r
		one.self = host.ID
		s.transport, s.fleet = one, one
	}
	for i, host := range r.hosts {
		if isEarlier(i) {
			r.makeEarlier(host.ID)
		}
	}
	for _, s := range r.services {
		go s.Run(ctx)
	}
	return r
}

// checkEvidence checks that all routers know the same evidence.
func (r relayed) checkEvidence(t *testing.T, answered uint32) {
	t.Helper()
	for id, s := range r.services {
		s.mu.Lock()
		got := s.moves["lm"].progress.Answered
		s.mu.Unlock()
		must.Eq(t, answered, got, must.Sprint(id))
	}
}

// While a move ran, each router of a large fleet called each other one four times a second, and connected to all at the start. That
// took all of a small host's time.
func TestMoveOfALargeFleetTakesFewCalls(t *testing.T) {
	const routers, seconds = 295, 4
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		r := startRelayed(ctx, routers, noEarlier)
		answered := uint32(0)
		for range seconds {
			for _, s := range r.services {
				s.Add(sound("v2"))
				answered++
			}
			time.Sleep(time.Second)
		}
		r.checkEvidence(t, answered)
		cancel()
		synctest.Wait()
		relays := dissemination.PlanRelays(r.hosts, r.hosts[0]).Others
		for i, host := range r.hosts {
			calls := 0
			for _, count := range r.calls.calls[host.ID] {
				calls += count
			}
			if i >= largeHosts {
				must.MapLen(t, 1, r.calls.calls[host.ID], must.Sprint("routers that ", host.ID, " calls"))
				must.LessEq(t, seconds*int(time.Second/publishInterval)+1, calls)
				continue
			}
			must.LessEq(t, len(relays)+dissemination.LargeRelayGroupSize, len(r.calls.calls[host.ID]), must.Sprint("routers that ", host.ID, " calls"))
		}
	})
}

// Evidence still reaches all routers, once, when a relay ends and its members use another one.
func TestEvidenceReachesAllWhenARelayEnds(t *testing.T) {
	const routers = 295
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		r := startRelayed(ctx, routers, noEarlier)
		time.Sleep(time.Second + publishInterval/4)
		synctest.Wait()
		r.stop("front-0")
		for _, s := range r.services {
			s.Add(sound("v2"))
		}
		time.Sleep(time.Second)
		r.checkEvidence(t, routers-1)
		cancel()
		synctest.Wait()
	})
}

// makeEarlier makes a service behave like one of an earlier build, which publishes to all others and passes nothing on.
func (r relayed) makeEarlier(id fleet.HostID) {
	s := r.services[id]
	one := r
	one.self, one.hosts = id, nil
	s.transport, s.fleet = one, one
	r.handlers[id][methodPublish] = func(ctx context.Context, from fleet.HostID, decode port.Decode) (any, error) {
		var messages []moveMessage
		if err := decode(&messages); err != nil {
			return nil, err
		}
		for i := range messages {
			messages[i].HandOver, messages[i].PassOn = false, false
		}
		body, err := msgpack.Marshal(messages)
		if err != nil {
			return nil, err
		}
		_, err = s.handleMessages(ctx, from, func(into any) error { return msgpack.Unmarshal(body, into) })
		return struct{}{}, err
	}
}

// Routers of both builds learn all evidence while hosts are replaced during a move, whichever of them are relays.
func TestEvidenceReachesRoutersOfBothBuilds(t *testing.T) {
	const routers = 88
	for name, isEarlier := range map[string]func(i int) bool{
		"earlier relays":        func(i int) bool { return i < largeHosts },
		"half of the relays":    func(i int) bool { return i%2 == 0 && i < largeHosts },
		"half of the others":    func(i int) bool { return i%2 == 0 && i >= largeHosts },
		"all but one":           func(i int) bool { return i != routers-1 },
		"all but one large one": func(i int) bool { return i != 0 },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				r := startRelayed(ctx, routers, isEarlier)
				time.Sleep(time.Second)
				for _, s := range r.services {
					s.Add(sound("v2"))
				}
				time.Sleep(time.Second)
				r.checkEvidence(t, routers)
				cancel()
				synctest.Wait()
			})
		})
	}
}
