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

// targetRouter returns a service in a fleet of the given number of routers.
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

// BenchmarkBudgetOwner measures the lookup of a team's budget owner for several fleet sizes.
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

// runTeams gives each of a number of teams one running request, with slots renewed at now.
func runTeams(t testing.TB, service *Service, now time.Time, teams int) {
	t.Helper()
	limits := admission.Limits{Rate: 10, Burst: 20, Concurrency: 10}
	for i := range teams {
		name := fleet.Team(fmt.Sprint("team-", i))
		team := service.teams.get(name, limits)
		team.allowance.RecordArrival(now)
		team.allowance.ApplyLoan(now, admission.Loan{Tokens: 1, Slots: 1, Interval: time.Minute})
		must.True(t, team.allowance.Admit(now, false).Admitted)
		team.owner, team.lastRenewed = service.routes.budgetOwner(now, name), now
	}
}

// BenchmarkRenewTeams measures one tick without a pending renewal. There are ten ticks a second.
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

// At the target, a router's 208 streams belong to about 190 of the 1,100 teams. In one second, the
// ticks without a pending renewal must allocate less than the memory of a node.
func TestRenewalTicksFitMemory(t *testing.T) {
	const (
		teams      = 190
		limitBytes = 64 << 20
	)
	service, now := targetRouter(t, targetRouters), time.Now()
	runTeams(t, service, now, teams)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	// The list of routers that runTeams computed is used for the first second.
	for elapsed := time.Duration(0); elapsed < 2*time.Second; elapsed += tickInterval {
		service.renewTeams(t.Context(), now.Add(elapsed))
	}
	runtime.ReadMemStats(&after)
	perSecond := (after.TotalAlloc - before.TotalAlloc) / 2
	t.Logf("%d teams, %d routers: %d bytes a second", teams, targetRouters, perSecond)
	must.LessEq(t, limitBytes, perSecond)
}

// BenchmarkDecisionOverMesh measures a grant and its completion over loopback TCP, including the
// work of the entry router and of the owner.
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
		end := endMessage{Completions: []completionMessage{{Grant: reply.Grant, FirstToken: 900, Decoded: 400}}}
		if err := entry.mesh.Call(b.Context(), owner.self.ID, methodEnd, end, &emptyReply{}); err != nil {
			b.Fatal(err)
		}
	}
}
