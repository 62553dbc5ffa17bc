package grants

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"agateswitch/core/fleet"

	"github.com/shoenig/test/must"
)

// sendSurge sends requests of a team to all routers and returns how many were admitted.
func sendSurge(t *testing.T, n *network, team fleet.Team, seconds, perSecond int, hold time.Duration) int {
	var admitted atomic.Int64
	var requests sync.WaitGroup
	for i := range seconds * perSecond {
		for _, r := range n.nodes {
			request := testRequest(chatID(i))
			request.Team = team
			requests.Go(func() {
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
	requests.Wait()
	return int(admitted.Load())
}

// A team that exceeds its rate at all routers gets its contract's rate. No request of another team
// that stays within its own contract is refused.
func TestSurgingTeamKeepsToItsContract(t *testing.T) {
	const seconds, perSecond = 5, 100
	engines := newEngines()
	inFleet(t, 3, testUpstreams(8), engines, func(t *testing.T, n *network, run func(*testRouter)) {
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
		admitted := sendSurge(t, n, surgingTeam, seconds, perSecond, 10*time.Millisecond)
		calm.Wait()
		must.LessEq(t, surgeRate*(seconds+1), admitted)
		must.GreaterEq(t, surgeRate*seconds*8/10, admitted)
		must.Eq(t, 0, refused.Load())
	})
}

// A team's concurrency limit applies to the whole fleet.
func TestConcurrencyHoldsForTheFleet(t *testing.T) {
	engines := newEngines()
	inFleet(t, 3, testUpstreams(8), engines, func(t *testing.T, n *network, run func(*testRouter)) {
		runAll(n, run)
		const hold = 10 * time.Second
		must.Between(t, narrowLimit-1, sendSurge(t, n, narrowTeam, 2, 50, hold), narrowLimit)
	})
}

// While the budget owner is unresponsive, each router admits an equal share of the team's limits:
// the team is neither blocked nor unlimited.
func TestTeamAdmittedWithoutBudgetOwner(t *testing.T) {
	const seconds = 5
	engines := newEngines()
	inFleet(t, 3, testUpstreams(8), engines, func(t *testing.T, n *network, run func(*testRouter)) {
		owner := n.nodes["router-0"].service.routes.budgetOwner(time.Now(), surgingTeam)
		runAll(n, run)
		n.set(func() { n.unresponsive[owner] = true; delete(n.nodes, owner) })
		admitted := sendSurge(t, n, surgingTeam, seconds, 100, 10*time.Millisecond)
		must.Between(t, surgeRate*seconds/2, admitted, 2*surgeRate*(seconds+1))
	})
}

// An upstream that leaves the host list gets no new requests 5 seconds later.
func TestLeavingUpstreamGetsNothingNew(t *testing.T) {
	const within = 5 * time.Second
	engines := newEngines()
	all := testUpstreams(8)
	inFleet(t, 2, all, engines, func(t *testing.T, n *network, run func(*testRouter)) {
		runAll(n, run)
		before := map[fleet.UpstreamID]int{}
		send := func(firstChat int, count map[fleet.UpstreamID]int) {
			for i := range 64 {
				grant := acquire(t, n.nodes["router-0"], engines, chatID(firstChat+i))
				count[grant.Upstream.ID]++
				engines.add(grant.Upstream.ID, -1)
				n.nodes["router-0"].service.Release(grant, fleet.Completion{Grant: grant.ID, Outcome: fleet.OutcomeComplete})
				time.Sleep(300 * time.Millisecond)
			}
		}
		send(0, before)
		must.Positive(t, before[all[0].ID])
		n.set(func() {
			for _, r := range n.nodes {
				r.view.SetHosts([]fleet.Host{{ID: "router-0", State: fleet.Live}, {ID: "router-1", State: fleet.Live}}, all[1:])
			}
		})
		time.Sleep(within)
		after := map[fleet.UpstreamID]int{}
		send(0, after)
		must.Eq(t, 0, after[all[0].ID])
	})
}
