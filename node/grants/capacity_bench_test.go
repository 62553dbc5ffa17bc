package grants

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"agateswitch/core/admission"
	"agateswitch/core/fleet"

	"github.com/shoenig/test/must"
)

// targetRouter is a service before the target's number of routers.
func targetRouter(b testing.TB, routers int) *Service {
	b.Helper()
	base := newNetwork(b, 1, testUpstreams(enginesOfShard), nil).nodes["router-0"]
	var hosts []fleet.Host
	for i := range routers {
		hosts = append(hosts, fleet.Host{ID: fleet.HostID(fmt.Sprint("router-", i)), State: fleet.Live})
	}
	base.view.SetHosts(hosts, testUpstreams(enginesOfShard))
	return base.service
}

// BenchmarkBudgetOwner finds the budget owner of a team, by the size of the fleet.
func BenchmarkBudgetOwner(b *testing.B) {
	for _, routers := range []int{8, 95, targetRouters} {
		b.Run(fmt.Sprint("routers=", routers), func(b *testing.B) {
			service := targetRouter(b, routers)
			b.ReportAllocs()
			for b.Loop() {
				service.routes.budgetOwner(time.Now(), testTeam)
			}
		})
	}
}

// runTeams lets each of a number of teams have a request running, whose slots were renewed now.
func runTeams(t testing.TB, service *Service, now time.Time, teams int) {
	t.Helper()
	limits := admission.Limits{Rate: 10, Burst: 20, Concurrency: 10}
	for i := range teams {
		name := fleet.Team(fmt.Sprint("team-", i))
		known := service.teams.get(name, limits)
		known.allowance.RecordArrival(now)
		known.allowance.ApplyLoan(now, admission.Loan{Tokens: 1, Slots: 1, Interval: time.Minute})
		must.True(t, known.allowance.Admit(now, false).Admitted)
		known.owner, known.renewed = service.routes.budgetOwner(now, name), now
	}
}

// BenchmarkRenewTeams is one tick, of ten a second, in which no renewal is due.
func BenchmarkRenewTeams(b *testing.B) {
	for _, teams := range []int{10, 50, 200} {
		b.Run(fmt.Sprint("teams=", teams), func(b *testing.B) {
			service, now := targetRouter(b, targetRouters), time.Now()
			runTeams(b, service, now, teams)
			b.ReportAllocs()
			for b.Loop() {
				service.renewTeams(b.Context(), now)
			}
		})
	}
}

// At the target, a router's 208 streams belong to about 190 of the 1,100 teams. The ticks of a
// second, in which no renewal is due, allocate less than the whole memory of a node.
func TestRenewalTicksFitMemory(t *testing.T) {
	const (
		teams      = 190
		limitBytes = 64 << 20
	)
	service, now := targetRouter(t, targetRouters), time.Now()
	runTeams(t, service, now, teams)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	// The list of routers that was made with the teams lasts for the first second.
	for passed := time.Duration(0); passed < 2*time.Second; passed += tickInterval {
		service.renewTeams(t.Context(), now.Add(passed))
	}
	runtime.ReadMemStats(&after)
	perSecond := (after.TotalAlloc - before.TotalAlloc) / 2
	t.Logf("%d teams, %d routers: %d bytes a second", teams, targetRouters, perSecond)
	must.LessEq(t, limitBytes, perSecond)
}

// BenchmarkDecisionOverMesh is a grant and the report of its end over loopback TCP, the
// work of the entry router and of the owner together.
func BenchmarkDecisionOverMesh(b *testing.B) {
	owner, entry := meshPair(b)
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i++
		request := testRequest(fleet.ChatID(fmt.Sprintf("arima-yard/5f0c1c9e-%08d", i)))
		message := entry.service.acquireMessage(time.Now(), request, testVersion, fleet.Upstream{ID: "farrier-lm-50"}, uint64(i))
		var reply acquireReply
		if err := entry.mesh.Call(b.Context(), owner.self.ID, methodAcquire, message, &reply); err != nil || reply.Refusal != nil {
			b.Fatal(err, reply.Refusal)
		}
		end := endMessage{Ended: []endedMessage{{Grant: reply.Grant, FirstToken: 900, Decoded: 400}}}
		if err := entry.mesh.Call(b.Context(), owner.self.ID, methodEnd, end, &empty{}); err != nil {
			b.Fatal(err)
		}
	}
}
