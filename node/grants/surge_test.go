package grants

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"agateswitch/core/fleet"

	"github.com/shoenig/test/must"
)

// teamCallers are the callers of one team at one router, in one data centre.
type teamCallers struct {
	router            *testRouter
	team              fleet.Team
	admitted, refused atomic.Int64
	// open counts the open requests of the callers of all routers.
	open *peakGauge
}

// peakGauge records its peak value.
type peakGauge struct {
	mu            sync.Mutex
	current, peak int64
}

func (g *peakGauge) add(change int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.current += change
	g.peak = max(g.peak, g.current)
}

// sendRequests sends perSecond requests a second. Each admitted request runs for hold.
func (c *teamCallers) sendRequests(t *testing.T, perSecond, seconds, firstChat int, hold time.Duration) {
	var requests sync.WaitGroup
	for i := range perSecond * seconds {
		request := testRequest(chatID(firstChat + i))
		request.Team = c.team
		requests.Go(func() {
			c.open.add(1)
			defer c.open.add(-1)
			grant, refusal := c.router.service.Acquire(t.Context(), request)
			if refusal != nil {
				c.refused.Add(1)
				return
			}
			time.Sleep(hold)
			c.router.service.Release(grant, fleet.Completion{Grant: grant.ID, Outcome: fleet.OutcomeComplete, FirstToken: time.Millisecond})
			c.admitted.Add(1)
		})
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	requests.Wait()
}

// runSurge runs the callers of one team at three routers, one in each data centre: first at the
// usual rate, then with the rate doubled in two data centres.
func runSurge(t *testing.T, team fleet.Team, usual, seconds int, hold time.Duration) (calm, surge admissions) {
	t.Helper()
	inFleet(t, 3, testUpstreams(2), newEngines(), func(t *testing.T, n *network, run func(*testRouter)) {
		runAll(n, run)
		phase := func(factor, firstChat int) admissions {
			var callers sync.WaitGroup
			var all []*teamCallers
			open := &peakGauge{}
			for id, r := range n.nodes {
				c := &teamCallers{router: r, team: team, open: open}
				all = append(all, c)
				perSecond := usual
				if id != "router-2" {
					perSecond *= factor
				}
				callers.Go(func() { c.sendRequests(t, perSecond, seconds, firstChat, hold) })
			}
			callers.Wait()
			var sum admissions
			for _, c := range all {
				sum.admitted += c.admitted.Load()
				sum.refused += c.refused.Load()
			}
			sum.peak = open.peak
			return sum
		}
		calm, surge = phase(1, 0), phase(2, 1000)
	})
	t.Logf("calm %+v, surge %+v", calm, surge)
	return calm, surge
}

// admissions counts admitted and refused requests. peak is the maximum number of requests that were
// open at once, including refused ones.
type admissions struct{ admitted, refused, peak int64 }

// The request rate doubles in two of three data centres at once and exceeds the team's rate limit.
// The team gets its rate, and at most one second's requests (the burst) more.
func TestTwoDataCentresSurgeAboveARate(t *testing.T) {
	const seconds = 10
	calm, surge := runSurge(t, surgingTeam, surgeRate/4, seconds, 200*time.Millisecond)
	must.Eq(t, 0, calm.refused)
	must.Between(t, surgeRate*seconds*8/10, surge.admitted, surgeRate*(seconds+1))
}

// The request rate doubles in two of three data centres at once and stays within the team's
// concurrency: no request is refused. At 90 ms a request and ten a second, at most one runs on each
// router, which is three of the team's five.
func TestTwoDataCentresSurgeWithinAConcurrency(t *testing.T) {
	calm, surge := runSurge(t, narrowTeam, narrowLimit, 10, 90*time.Millisecond)
	must.Eq(t, 0, calm.refused)
	must.Eq(t, 0, surge.refused)
	must.LessEq(t, 3, surge.peak)
}

// The request rate doubles in two of three data centres at once and reaches the team's concurrency:
// no request is refused. At 150 ms a request, at most two run on each router of the surging data
// centres and one on the third, which is all of the team's five.
func TestTwoDataCentresSurgeUpToAConcurrency(t *testing.T) {
	calm, surge := runSurge(t, narrowTeam, narrowLimit, 10, 150*time.Millisecond)
	must.LessEq(t, narrowLimit, surge.peak)
	must.Eq(t, 0, calm.refused)
	must.Eq(t, 0, surge.refused)
}
