package grants

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"agateswitch/core/fleet"

	"github.com/shoenig/test/must"
)

// surge sends requests of a team to all routers and returns how many were admitted.
func surge(t *testing.T, n *network, team fleet.Team, seconds, perSecond int, hold time.Duration) int {
	var admitted atomic.Int64
	var asking sync.WaitGroup
	for i := range seconds * perSecond {
		for _, r := range n.nodes {
			request := testRequest(chatID(i))
			request.Team = team
			asking.Go(func() {
				grant, refusal := r.service.Acquire(t.Context(), request)
				if refusal != nil {
					if refusal.Ran != fleet.NotRun || refusal.RetryAfter <= 0 {
						t.Errorf("refused with ran %s, retry after %s", refusal.Ran, refusal.RetryAfter)
					}
					return
				}
				admitted.Add(1)
				time.Sleep(hold)
				r.service.Release(grant, fleet.Completion{Grant: grant.ID, Outcome: fleet.OutcomeComplete, FirstToken: time.Millisecond})
			})
		}
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	asking.Wait()
	return int(admitted.Load())
}

// A team that surges through all routers gets its contract's rate, and another team that asks
// within its own loses nothing.
func TestSurgingTeamKeepsToItsContract(t *testing.T) {
	const seconds, perSecond = 5, 100
	truth := newEngines()
	inFleet(t, 3, testUpstreams(8), truth, func(t *testing.T, n *network, run func(*testRouter)) {
		runAll(n, run)
		var calm sync.WaitGroup
		var refused atomic.Int64
		calm.Go(func() {
			time.Sleep(time.Second)
			for i := range (seconds - 1) * 20 {
				grant, refusal := n.nodes["router-0"].service.Acquire(t.Context(), testRequest(chatID(10_000+i)))
				if refusal != nil {
					refused.Add(1)
				} else {
					n.nodes["router-0"].service.Release(grant, fleet.Completion{Grant: grant.ID, Outcome: fleet.OutcomeComplete})
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
		admitted := surge(t, n, surgingTeam, seconds, perSecond, 10*time.Millisecond)
		calm.Wait()
		must.LessEq(t, surgeRate*(seconds+1), admitted)
		must.GreaterEq(t, surgeRate*seconds*8/10, admitted)
		must.Eq(t, 0, refused.Load())
	})
}

// A team's concurrency holds for the whole fleet.
func TestConcurrencyHoldsForTheFleet(t *testing.T) {
	truth := newEngines()
	inFleet(t, 3, testUpstreams(8), truth, func(t *testing.T, n *network, run func(*testRouter)) {
		runAll(n, run)
		const hold = 10 * time.Second
		must.Between(t, narrowLimit-1, surge(t, n, narrowTeam, 2, 50, hold), narrowLimit)
	})
}

// With the budget's owner silent, the routers go on with a share each: the team is neither
// stopped nor unlimited.
func TestTeamGoesOnWithoutItsBudgetOwner(t *testing.T) {
	const seconds = 5
	truth := newEngines()
	inFleet(t, 3, testUpstreams(8), truth, func(t *testing.T, n *network, run func(*testRouter)) {
		owner := n.nodes["router-0"].service.routes.budgetOwner(time.Now(), surgingTeam)
		runAll(n, run)
		n.set(func() { n.silent[owner] = true; delete(n.nodes, owner) })
		admitted := surge(t, n, surgingTeam, seconds, 100, 10*time.Millisecond)
		must.Between(t, surgeRate*seconds/2, admitted, 2*surgeRate*(seconds+1))
	})
}

// An upstream that leaves gets nothing new within 5 seconds.
func TestLeavingUpstreamGetsNothingNew(t *testing.T) {
	const within = 5 * time.Second
	truth := newEngines()
	all := testUpstreams(8)
	inFleet(t, 2, all, truth, func(t *testing.T, n *network, run func(*testRouter)) {
		runAll(n, run)
		before := map[fleet.UpstreamID]int{}
		ask := func(first int, count map[fleet.UpstreamID]int) {
			for i := range 64 {
				grant := acquire(t, n.nodes["router-0"], truth, chatID(first+i))
				count[grant.Upstream.ID]++
				truth.add(grant.Upstream.ID, -1)
				n.nodes["router-0"].service.Release(grant, fleet.Completion{Grant: grant.ID, Outcome: fleet.OutcomeComplete})
				time.Sleep(300 * time.Millisecond)
			}
		}
		ask(0, before)
		must.Positive(t, before[all[0].ID])
		n.set(func() {
			for _, r := range n.nodes {
				r.view.SetHosts([]fleet.Host{{ID: "router-0", State: fleet.Live}, {ID: "router-1", State: fleet.Live}}, all[1:])
			}
		})
		time.Sleep(within)
		after := map[fleet.UpstreamID]int{}
		ask(0, after)
		must.Eq(t, 0, after[all[0].ID])
	})
}
