package versionmove

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"agateswitch/core/dissemination"
	"agateswitch/core/fleet"
	"agateswitch/core/revision"
	"agateswitch/core/rollout"
	"agateswitch/node/replica"
	"agateswitch/port"

	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"
	"github.com/vmihailenco/msgpack/v5"
)

// noPeers is a transport without other routers.
type noPeers struct{}

func (noPeers) Handle(string, port.PeerHandler) {}
func (noPeers) Call(context.Context, fleet.HostID, string, any, any) error {
	return port.ErrPeerUnreachable
}
func (noPeers) Others() []fleet.HostID { return nil }
func (noPeers) Count() int             { return 1 }
func (noPeers) Rank(string) int        { return 0 }
func (noPeers) Relays() dissemination.RelayPlan {
	return dissemination.RelayPlan{Direct: true}
}

// newService returns a service with a running move of the pool lm.
func newService() (*Service, *move) {
	s := New(nil, nil, noPeers{}, noPeers{}, rollout.Exposure{}, 2*time.Second, log.New(io.Discard))
	now := time.Now()
	m := &move{
		id: "move-1", order: port.MoveOrder{Pool: "lm", Target: "v2", Duration: time.Minute}, began: now, state: rollout.StatusRunning,
		detector: rollout.NewDetector(rollout.Move{ID: "move-1", Begun: now, Deadline: now.Add(time.Minute)}),
		history:  rollout.NewHistory(time.Minute),
	}
	s.moves["lm"] = m
	return s, m
}

// Attempts that reach no upstream don't raise the bound on exposure, nor do they use it up.
func TestAttemptsThatReachNothingAreNotCounted(t *testing.T) {
	s, m := newService()
	s.SetExposure(rollout.Exposure{Share: 0.5, Slack: 10})
	present := map[fleet.Version]int{"v1": 3, "v2": 3}
	for range 100 {
		versions := s.Choose("lm", present)
		s.Reached(&versions, "")
		s.Reached(&versions, "")
	}
	must.Eq(t, rollout.Spending{Routers: 1}, m.spending)
	exposed := 0
	for range 100 {
		versions := s.Choose("lm", present)
		if versions.Prefer == "v2" {
			exposed++
		}
		s.Reached(&versions, "v1")
	}
	must.Positive(t, exposed)
	must.Eq(t, rollout.Spending{Requests: 100, Routers: 1}, m.spending)
}

// tell passes messages to a service as another router does.
func tell(t *testing.T, s *Service, messages ...moveMessage) {
	t.Helper()
	body, err := msgpack.Marshal(messages)
	must.NoError(t, err)
	_, err = s.handleMessages(t.Context(), "front-2", func(into any) error { return msgpack.Unmarshal(body, into) })
	must.NoError(t, err)
}

// A rollback of any router counts at once, and no later message undoes it or changes its reason.
func TestRollbackOfAnotherRouterIsFinal(t *testing.T) {
	s, m := newService()
	tell(t, s, moveMessage{Pool: "lm", ID: "move-1", RolledBack: true, Reason: "fails"})
	must.Eq(t, rollout.StatusRolledBack, m.state)
	must.False(t, m.endDueAt.IsZero())
	tell(t, s, moveMessage{Pool: "lm", ID: "move-1"}, moveMessage{Pool: "lm", ID: "move-1", RolledBack: true, Reason: "slow"})
	must.Eq(t, rollout.StatusRolledBack, m.state)
	must.Eq(t, "fails", m.reason)
}

// Messages about an earlier order, or about a pool without a move, change nothing.
func TestMessagesOfOtherMovesAreIgnored(t *testing.T) {
	s, m := newService()
	began := m.began
	tell(t, s, moveMessage{Pool: "lm", ID: "move-0", RolledBack: true, AgeMs: 60_000}, moveMessage{Pool: "app", ID: "move-1", RolledBack: true})
	must.Eq(t, rollout.StatusRunning, m.state)
	must.Eq(t, began, m.began)
	must.MapLen(t, 1, s.moves)
}

// All routers count a move's time from the router that received its order first.
func TestMoveBeganWhenTheFirstRouterHeardOfIt(t *testing.T) {
	s, m := newService()
	tell(t, s, moveMessage{Pool: "lm", ID: "move-1", AgeMs: 2000})
	must.LessEq(t, 3*time.Second, time.Since(m.began))
	must.GreaterEq(t, 2*time.Second, time.Since(m.began))
	earliest := m.began
	tell(t, s, moveMessage{Pool: "lm", ID: "move-1", AgeMs: 10})
	must.Eq(t, earliest, m.began)
}

// codec decodes entries whose keys are "order" and "status"; their values name a version.
type codec struct{ port.EntryCodec }

func (codec) Decode(key string, value []byte) port.DecodedEntry {
	if key == "order" {
		return port.DecodedEntry{Move: &port.MoveOrder{Pool: "lm", Target: fleet.Version(value), Duration: time.Minute}}
	}
	return port.DecodedEntry{MoveStatus: &port.MoveStatus{Pool: "lm", Target: fleet.Version(value), State: port.MoveState(key)}}
}

// write applies an entry as the replica does.
func write(s *Service, key string, version fleet.Version, number int64) {
	s.Observe([]replica.Change{{Entry: port.Entry{Key: key, Value: []byte(version), Revision: revision.Revision{Number: number}}}})
}

// usable returns the versions that no attempt of many has to avoid.
func usable(s *Service, all ...fleet.Version) []fleet.Version {
	present := map[fleet.Version]int{}
	for _, version := range all {
		present[version] = 3
	}
	var used []fleet.Version
	for _, version := range all {
		for range 1000 {
			if versions := s.Choose("lm", present); !versions.Avoids(version) {
				used = append(used, version)
				break
			}
		}
	}
	return used
}

// newServiceWithCodec returns the service of a router that has run for some time.
func newServiceWithCodec() *Service {
	s := newStartedService()
	s.loadedAt = time.Now().Add(-loadTime)
	return s
}

// newStartedService returns the service of a router that has just started.
func newStartedService() *Service {
	return New(codec{}, nil, noPeers{}, noPeers{}, rollout.Exposure{Share: 0.1, Slack: 50}, 2*time.Second, log.New(io.Discard))
}

func TestVersionStaysWithdrawnUnderALaterOrder(t *testing.T) {
	for name, withdraw := range map[string]func(*Service){
		"rolled back": func(s *Service) { write(s, string(port.MoveRolledBack), "v2", 2) },
		"replaced":    func(*Service) {},
		"told by another router": func(s *Service) {
			s.moves["lm"].id = "move-1"
			tell(t, s, moveMessage{Pool: "lm", ID: "move-1", Withdrawn: []fleet.Version{"v2"}, RolledBack: true})
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newServiceWithCodec()
			write(s, "order", "v2", 1)
			withdraw(s)
			write(s, "order", "v3", 3)
			must.Eq(t, []fleet.Version{"v1", "v3"}, usable(s, "v1", "v2", "v3"))
			write(s, string(port.MoveSucceeded), "v3", 4)
			must.SliceNotContains(t, usable(s, "v2", "v3"), "v2")
			write(s, "order", "v2", 5)
			must.SliceContains(t, usable(s, "v3", "v2"), "v2")
		})
	}
}

func TestVersionStaysWithdrawnWhenItsOrderIsDeleted(t *testing.T) {
	s := newServiceWithCodec()
	write(s, "order", "v2", 1)
	s.Observe([]replica.Change{{Entry: port.Entry{Key: "order"}, Deleted: true}})
	must.Eq(t, []fleet.Version{"v1"}, usable(s, "v1", "v2"))
}

// The status alone is left of a move when its order is gone before a router starts.
func TestStartedRouterAvoidsAVersionThatWasRolledBack(t *testing.T) {
	s := newServiceWithCodec()
	write(s, string(port.MoveRolledBack), "v2", 2)
	must.Eq(t, []fleet.Version{"v1"}, usable(s, "v1", "v2"))
}

// An order that names the old version again must not leave the pool without a version.
func TestOrderBackToTheOldVersionUsesItAtOnce(t *testing.T) {
	s := newServiceWithCodec()
	write(s, "order", "v2", 1)
	usable(s, "v1", "v2")
	write(s, "order", "v1", 2)
	for range 100 {
		versions := s.Choose("lm", map[fleet.Version]int{"v1": 3, "v2": 3})
		must.Eq(t, "v1", versions.Prefer)
		must.True(t, versions.Avoids("v2"))
	}
}

// chooseUntilRefused sends attempts to a new version, and returns how many of them the bound allowed.
func chooseUntilRefused(s *Service, attempts int) int {
	exposed := 0
	for range attempts {
		if versions := s.Choose("lm", map[fleet.Version]int{"v1": 3, "v2": 3}); versions.Prefer == "v2" {
			exposed++
		}
	}
	return exposed
}

// Routers that start again in the middle of a move must not use up the slack once more each time.
func TestRestartedRoutersDoNotUseTheSlackAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const attempts = 200
		running := newServiceWithCodec()
		running.Observe(nil)
		time.Sleep(time.Minute)
		write(running, "order", "v2", 1)
		must.Positive(t, chooseUntilRefused(running, attempts))
		restarted := newStartedService()
		write(restarted, "order", "v2", 1)
		must.Zero(t, chooseUntilRefused(restarted, attempts))
		time.Sleep(historyTime)
		restarted.evaluateMoves()
		must.LessEq(t, 2*attempts/10, chooseUntilRefused(restarted, attempts))
		must.True(t, restarted.moves["lm"].spending.Inherited)
		must.False(t, running.moves["lm"].spending.Inherited)
	})
}

// sizedFleet is a fleet whose size changes.
type sizedFleet struct {
	noPeers
	count *int
}

func (f sizedFleet) Count() int { return *f.count }

// The slack that routers have used stays used when they leave the fleet.
func TestShrinkingFleetDoesNotUseTheSlackAgain(t *testing.T) {
	s, m := newService()
	count := 10
	s.fleet = sizedFleet{count: &count}
	chooseUntilRefused(s, 1)
	count = 1
	chooseUntilRefused(s, 1)
	must.Eq(t, 10, m.spending.Routers)
}

func TestRequestThatWaitedDuringARollbackIsNotSent(t *testing.T) {
	s, _ := newService()
	must.True(t, s.MaySend("lm", "v2"))
	tell(t, s, moveMessage{Pool: "lm", ID: "move-1", RolledBack: true, Reason: "fails"})
	must.False(t, s.MaySend("lm", "v2"))
	must.True(t, s.MaySend("lm", "v1"))
	must.True(t, s.MaySend("app", "v2"))
	s.withdraw("app", "v2")
	must.False(t, s.MaySend("app", "v2"))
}

// The entries of a version's upstreams may arrive before that of its order.
func TestVersionWhoseOrderMayBeOnItsWayGetsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newServiceWithCodec()
		must.Eq(t, []fleet.Version{"v1"}, usable(s, "v1"))
		must.Eq(t, []fleet.Version{"v1"}, usable(s, "v1", "v2"))
		time.Sleep(time.Second)
		must.Eq(t, []fleet.Version{"v1"}, usable(s, "v1", "v2"))
		// An operator may exchange upstreams without an order.
		time.Sleep(time.Second)
		must.Eq(t, []fleet.Version{"v1", "v2"}, usable(s, "v1", "v2"))
		must.Eq(t, []fleet.Version{"v3"}, usable(s, "v3"))
	})
}

// Routers adopt an order that was written again at different times.
func TestRollbackIsHeardUnderAnyIDOfARestoredOrder(t *testing.T) {
	adopted, m := newService()
	adopted.adoptOrder(port.Entry{Key: "order", Revision: revision.Revision{Number: 7}}, m.order)
	must.NotEq(t, "move-1", m.id)
	messages := adopted.evaluateMoves()
	tell(t, adopted, moveMessage{Pool: "lm", ID: "move-1", RolledBack: true, Reason: "fails"})
	must.Eq(t, rollout.StatusRolledBack, m.state)

	behind, other := newService()
	messages[0].RolledBack = true
	tell(t, behind, messages...)
	must.Eq(t, rollout.StatusRolledBack, other.state)
}

// The old version's upstreams stop as soon as the store has the report, before all routers have seen the entry.
func TestSuccessOfAnotherRouterEndsTheBound(t *testing.T) {
	s, m := newService()
	tell(t, s, moveMessage{Pool: "lm", ID: "move-1", Succeeded: true})
	must.Eq(t, rollout.StatusDone, m.state)
	for range 10 {
		must.Eq(t, "v2", s.Choose("lm", map[fleet.Version]int{"v1": 3, "v2": 3}).Prefer)
	}
	must.SliceEmpty(t, s.dueStatusWrites())
	rolledBack, other := newService()
	tell(t, rolledBack, moveMessage{Pool: "lm", ID: "move-1", RolledBack: true}, moveMessage{Pool: "lm", ID: "move-1", Succeeded: true})
	must.Eq(t, rollout.StatusRolledBack, other.state)
}
