package versionmove

import (
	"context"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"agateswitch/core/dissemination"
	"agateswitch/core/fleet"
	"agateswitch/core/rollout"
	"agateswitch/port"

	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"
	"github.com/vmihailenco/msgpack/v5"
)

// linked is the transport of one of several services, and their fleet. Calls to services that are missing fail.
type linked struct {
	self     fleet.HostID
	services map[fleet.HostID]*Service
	handlers map[fleet.HostID]map[string]port.PeerHandler
}

func (l linked) Handle(method string, handler port.PeerHandler) { l.handlers[l.self][method] = handler }

func (l linked) Call(ctx context.Context, to fleet.HostID, method string, request, response any) error {
	handler, found := l.handlers[to][method]
	if !found {
		return port.ErrPeerUnreachable
	}
	body, err := msgpack.Marshal(request)
	if err != nil {
		return err
	}
	answer, err := handler(ctx, l.self, func(into any) error { return msgpack.Unmarshal(body, into) })
	if err != nil {
		return err
	}
	if body, err = msgpack.Marshal(answer); err != nil {
		return err
	}
	return msgpack.Unmarshal(body, response)
}

func (l linked) Others() (others []fleet.HostID) {
	for id := range l.services {
		if id != l.self {
			others = append(others, id)
		}
	}
	return others
}

func (l linked) Count() int      { return len(l.services) }
func (l linked) Rank(string) int { return 0 }
func (l linked) Relays() dissemination.RelayPlan {
	return dissemination.RelayPlan{Direct: true}
}

// start starts the service of a router that learns of the order of v2 after it has run for some time.
func (l linked) start(id fleet.HostID, ran time.Duration) *Service {
	l.self = id
	l.handlers[id] = map[string]port.PeerHandler{}
	s := New(codec{}, nil, l, l, rollout.Exposure{Share: 0.1, Slack: 50}, 2*time.Second, log.New(io.Discard))
	s.loadedAt = time.Now().Add(-ran)
	l.services[id] = s
	write(s, "order", "v2", 1)
	s.moves["lm"].from = "v1"
	return s
}

// stop removes a router.
func (l linked) stop(id fleet.HostID) {
	delete(l.services, id)
	delete(l.handlers, id)
}

// exchange lets all routers publish and ask, as at each publishInterval.
func (l linked) exchange() {
	for _, s := range l.services {
		s.publish(context.Background(), s.evaluateMoves())
		s.askForHistories(context.Background())
	}
	synctest.Wait()
	time.Sleep(publishInterval)
}

// fail adds failed requests on a version.
func fail(s *Service, version fleet.Version, requests int) {
	for range requests {
		s.Add(fleet.Evidence{Pool: "lm", Version: version, Route: "book", Failed: true})
	}
}

func newLinked() linked {
	return linked{services: map[fleet.HostID]*Service{}, handlers: map[fleet.HostID]map[string]port.PeerHandler{}}
}

// What routers have seen of a version used to end with them.
func TestEvidenceOutlivesTheRoutersThatSawIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newLinked()
		first, second := fleet.start("first", time.Minute), fleet.start("second", time.Minute)
		fail(first, "v2", 2)
		fail(second, "v2", 1)
		fleet.exchange()
		fleet.stop("first")
		third := fleet.start("third", 0)
		must.Zero(t, chooseUntilRefused(third, 100), must.Sprint("before it has learned the evidence"))
		fail(third, "v2", 1)
		fleet.exchange()
		fleet.exchange()
		fleet.stop("second")
		fourth := fleet.start("fourth", 0)
		fleet.exchange()
		fleet.exchange()
		for _, s := range []*Service{third, fourth} {
			must.Nil(t, s.moves["lm"].inheritance)
			must.False(t, s.moves["lm"].isPartial)
			must.Eq(t, 4, s.moves["lm"].progress.Failed)
		}
		must.True(t, time.Since(fourth.moves["lm"].began) > 4*publishInterval, must.Sprint("the age of the move"))
	})
}

// Routers that all start at once go on with what they have, after a bounded time.
func TestRoutersWithoutEvidenceGoOnInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newLinked()
		first, second := fleet.start("first", 0), fleet.start("second", 0)
		for range historyTime / publishInterval {
			must.Zero(t, chooseUntilRefused(first, 20))
			fleet.exchange()
		}
		fail(second, "v2", 1)
		fleet.exchange()
		fleet.exchange()
		for _, s := range []*Service{first, second} {
			must.Nil(t, s.moves["lm"].inheritance)
			must.True(t, s.moves["lm"].isPartial)
			must.Eq(t, 1, s.moves["lm"].progress.Failed)
		}
		must.Positive(t, chooseUntilRefused(first, 1000))
	})
}

// A message that is delivered twice counts once.
func TestRepeatedReportCountsOnce(t *testing.T) {
	s, m := newService()
	report := moveMessage{Pool: "lm", ID: "move-1", Observer: "front-2/1", Number: 1, Evidence: []rollout.Pair{
		{Stratum: rollout.Stratum{Route: "book"}, New: rollout.Tally{Requests: 3, Failures: 2}},
	}}
	tell(t, s, report)
	tell(t, s, report)
	must.Eq(t, 2, m.progress.Failed)
	report.Observer, report.Number = "", 0
	tell(t, s, report)
	must.Eq(t, 4, m.progress.Failed, must.Sprint("routers of earlier versions don't number their reports"))
}

// A router that leaves answers, too, but hears no more of the others.
func TestLargestCompleteHistoryIsTaken(t *testing.T) {
	history := func(requests uint32) rollout.Snapshot {
		return rollout.Snapshot{Periods: []rollout.Period{{Pairs: []rollout.Pair{{Old: rollout.Tally{Requests: requests}}}}}}
	}
	var heard inheritance
	for _, step := range []struct {
		response historyResponse
		want     int
	}{
		{historyResponse{History: history(5)}, 5},
		{historyResponse{History: history(3)}, 5},
		{historyResponse{IsComplete: true, History: history(2)}, 2},
		{historyResponse{IsComplete: true, History: history(7)}, 7},
		{historyResponse{IsComplete: true, History: history(4)}, 7},
		{historyResponse{History: history(9)}, 7},
	} {
		heard.add(step.response)
		must.Eq(t, step.want, heard.best.History.Requests())
	}
}

// Fleets of hundreds are rolled during a move, some routers at a time: those that have started know what all have seen.
func TestEvidenceOutlivesARolledFleet(t *testing.T) {
	for _, c := range []struct{ routers, groups int }{{6, 6}, {88, 6}, {295, 3}} {
		routers := c.routers
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				linked := newLinked()
				name := func(i int) fleet.HostID { return fleet.HostID(fmt.Sprint("front-", i)) }
				for i := range routers {
					linked.start(name(i), time.Minute)
				}
				seen := 0
				for i := 0; i < routers; i += routers / 6 {
					fail(linked.services[name(i)], "v2", 1)
					linked.services[name(i)].Add(sound("v2"))
					seen++
				}
				linked.exchange()
				for group := range c.groups {
					for i := group; i < routers; i += c.groups {
						linked.stop(name(i))
						linked.start(name(i), 0)
					}
					linked.exchange()
					linked.exchange()
				}
				// Routers whose first questions all went to others that had just started ask again.
				linked.exchange()
				linked.exchange()
				for _, s := range linked.services {
					m := s.moves["lm"]
					must.Nil(t, m.inheritance)
					must.False(t, m.isPartial)
					must.Eq(t, uint32(seen), m.progress.Failed)
					must.Eq(t, uint32(2*seen), m.progress.Answered)
				}
			})
		})
	}
}
