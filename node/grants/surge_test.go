package grants

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"agateswitch/core/fleet"

	"github.com/shoenig/test/must"
)

// steady is callers of one team at one router, in one data centre.
type steady struct {
	router            *testRouter
	team              fleet.Team
	admitted, refused atomic.Int64
	// open is shared by the callers of all routers.
	open *gauge
}

// gauge remembers the most that it showed.
type gauge struct {
	mu        sync.Mutex
	now, most int64
}

func (g *gauge) add(change int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.now += change
	g.most = max(g.most, g.now)
}

// ask sends perSecond requests a second, each of which runs for hold.
func (s *steady) ask(t *testing.T, perSecond, seconds, first int, hold time.Duration) {
	var asking sync.WaitGroup
	for i := range perSecond * seconds {
		request := testRequest(chatID(first + i))
		request.Team = s.team
		asking.Go(func() {
			s.open.add(1)
			defer s.open.add(-1)
			grant, refusal := s.router.service.Acquire(t.Context(), request)
			if refusal != nil {
				s.refused.Add(1)
				return
			}
			time.Sleep(hold)
			s.router.service.Release(grant, fleet.Completion{Grant: grant.ID, Outcome: fleet.OutcomeComplete, FirstToken: time.Millisecond})
			s.admitted.Add(1)
		})
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	asking.Wait()
}

// surgeOf runs callers of one team at three routers, one in each data centre, at first as
// usual and then with those of two data centres doubled.
func surgeOf(t *testing.T, team fleet.Team, usual, seconds int, hold time.Duration) (calm, surge admissions) {
	t.Helper()
	inFleet(t, 3, testUpstreams(2), newEngines(), func(t *testing.T, n *network, run func(*testRouter)) {
		runAll(n, run)
		phase := func(factor, first int) admissions {
			var asking sync.WaitGroup
			var all []*steady
			open := &gauge{}
			for id, r := range n.nodes {
				s := &steady{router: r, team: team, open: open}
				all = append(all, s)
				perSecond := usual
				if id != "router-2" {
					perSecond *= factor
				}
				asking.Go(func() { s.ask(t, perSecond, seconds, first, hold) })
			}
			asking.Wait()
			var sum admissions
			for _, s := range all {
				sum.admitted += s.admitted.Load()
				sum.refused += s.refused.Load()
			}
			sum.most = open.most
			return sum
		}
		calm, surge = phase(1, 0), phase(2, 1000)
	})
	t.Logf("calm %+v, surge %+v", calm, surge)
	return calm, surge
}

// admissions tells what became of requests, and how many were open at once at most, those
// counted that were refused.
type admissions struct{ admitted, refused, most int64 }

// Callers of two of three data centres double at once, and ask for more than their team's
// rate: the team gets its rate, and no more than that and a burst.
func TestTwoDataCentresSurgeAboveARate(t *testing.T) {
	const seconds = 10
	calm, surge := surgeOf(t, surgingTeam, surgeRate/4, seconds, 200*time.Millisecond)
	must.Eq(t, 0, calm.refused)
	must.Between(t, surgeRate*seconds*8/10, surge.admitted, surgeRate*(seconds+1))
}

// Callers of two of three data centres double at once, within their team's concurrency:
// none is refused. At 90 ms a request and ten a second at most one runs on each router,
// three of the team's five.
func TestTwoDataCentresSurgeWithinAConcurrency(t *testing.T) {
	calm, surge := surgeOf(t, narrowTeam, narrowLimit, 10, 90*time.Millisecond)
	must.Eq(t, 0, calm.refused)
	must.Eq(t, 0, surge.refused)
	must.LessEq(t, 3, surge.most)
}

// As above, up to the team's concurrency: at 150 ms a request at most two run on each router
// of the surging data centres and one on the third, all of the team's five.
func TestTwoDataCentresSurgeUpToAConcurrency(t *testing.T) {
	calm, surge := surgeOf(t, narrowTeam, narrowLimit, 10, 150*time.Millisecond)
	must.LessEq(t, narrowLimit, surge.most)
	must.Eq(t, 0, calm.refused)
	must.Eq(t, 0, surge.refused)
}
