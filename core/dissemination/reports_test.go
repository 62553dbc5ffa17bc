package dissemination

import (
	"testing"
	"time"

	"agateswitch/core/fleet"

	"github.com/shoenig/test/must"
)

// Each router hands its reports to a relay that passes others' on to it, and no router has more receivers than its link can bear.
func TestReportsReachAllOverFewCalls(t *testing.T) {
	for _, count := range []int{17, 88, 295, 380} {
		routers := routersOf(count)
		for i := range routers[:15] {
			routers[i].Capacity = fleet.Capacity{Cores: 0.8, LinkMbps: 200}
		}
		plans := map[fleet.HostID]RelayPlan{}
		for _, router := range routers {
			plans[router.ID] = PlanRelays(routers, router)
		}
		now := time.Now()
		for id, plan := range plans {
			var reports Reports
			route := reports.Route(now, plan, []fleet.HostID{"all others"})
			if !plan.IsRelay() {
				must.SliceContains(t, plans[route.Relay].Members, id, must.Sprint(count))
				must.SliceEmpty(t, append(route.Receivers, route.Relays...))
				continue
			}
			must.Eq(t, plan.Others, route.Relays)
			must.LessEq(t, LargeRelayGroupSize, len(route.Receivers), must.Sprint(count, " ", id))
		}
	}
}

func TestSmallFleetReportsToAll(t *testing.T) {
	var reports Reports
	others := []fleet.HostID{"r1", "r2"}
	must.Eq(t, ReportRoute{Receivers: others}, reports.Route(time.Now(), RelayPlan{Direct: true, Others: others}, others))
	must.Eq(t, ReportRoute{}, reports.Route(time.Now(), RelayPlan{Near: []fleet.HostID{}}, nil))
}

// A router whose relays do not take its report uses one of another data centre, then publishes itself, and comes back in time.
func TestRouterWithoutARelayReportsItself(t *testing.T) {
	var reports Reports
	now, others := time.Now(), []fleet.HostID{"near", "far", "member"}
	plan := RelayPlan{Near: []fleet.HostID{"near"}, Others: []fleet.HostID{"near", "far"}}
	for _, relay := range []fleet.HostID{"near", "far"} {
		must.Eq(t, ReportRoute{Relay: relay}, reports.Route(now, plan, others))
		reports.Avoid(now, relay)
	}
	must.Eq(t, ReportRoute{Receivers: others}, reports.Route(now, plan, others))
	must.Eq(t, ReportRoute{Relay: "near"}, reports.Route(now.Add(relayRetryTime), plan, others))
}

// A relay serves those that use it and those that publish themselves, as long as they do so.
func TestRelayServesThoseThatUseItAndThosePublishingThemselves(t *testing.T) {
	var reports Reports
	now, plan := time.Now(), RelayPlan{Others: []fleet.HostID{"relay"}, Members: []fleet.HostID{"planned"}}
	must.True(t, reports.HandedOver(now, "user"))
	must.False(t, reports.HandedOver(now, "user"))
	reports.Published(now, "earlier build")
	reports.Published(now, "relay")
	must.Eq(t, []fleet.HostID{"planned", "user", "earlier build"}, reports.Route(now, plan, plan.Others).Receivers)
	must.Eq(t, []fleet.HostID{"planned"}, reports.Route(now.Add(heardTime+1), plan, plan.Others).Receivers)
	must.True(t, reports.HandedOver(now.Add(heardTime+1), "user"))
}
