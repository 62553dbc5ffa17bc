package dissemination

import (
	"fmt"
	"testing"

	"agateswitch/core/fleet"

	"github.com/shoenig/test/must"
)

func routersOf(count int) []fleet.Host {
	var routers []fleet.Host
	for i := range count {
		routers = append(routers, fleet.Host{ID: fleet.HostID(fmt.Sprintf("r%d", i)), DataCentre: fleet.DataCentre(fmt.Sprint("dc", i%3))})
	}
	return routers
}

// Every router of a large fleet has a relay in its data centre, and no relay serves more than
// RelayGroupSize routers.
func TestEveryRouterHasARelay(t *testing.T) {
	for _, count := range []int{17, 40, 88, 383} {
		routers := routersOf(count)
		dataCentreOf := map[fleet.HostID]fleet.DataCentre{}
		for _, router := range routers {
			dataCentreOf[router.ID] = router.DataCentre
		}
		relays, members := map[fleet.HostID]int{}, map[fleet.HostID]int{}
		for _, router := range routers {
			plan := PlanRelays(routers, router)
			if plan.IsRelay() {
				relays[router.ID] = len(plan.Others)
				continue
			}
			must.Eq(t, router.DataCentre, dataCentreOf[plan.Near[0]])
			members[plan.Near[0]]++
		}
		must.LessEq(t, count/RelayGroupSize+3, len(relays))
		for relay, groupSize := range members {
			must.MapContainsKey(t, relays, relay)
			must.LessEq(t, RelayGroupSize, groupSize)
			must.Eq(t, len(relays)-1, relays[relay])
		}
	}
}

func TestSmallFleetPublishesDirectly(t *testing.T) {
	routers := routersOf(MaxDirectFleetSize)
	for _, router := range routers {
		plan := PlanRelays(routers, router)
		must.Len(t, MaxDirectFleetSize-1, plan.Others)
		must.True(t, plan.IsRelay())
	}
}

// A router that is missing from its own list still gets a relay.
func TestUnlistedRouterHasARelay(t *testing.T) {
	plan := PlanRelays(routersOf(88), fleet.Host{ID: "new", DataCentre: "dc1"})
	must.SliceNotEmpty(t, plan.Near)
}

func TestSmallHostRelaysOnlyWithoutLargeOnes(t *testing.T) {
	const larges = 6
	routers := routersOf(3 * 2 * LargeRelayGroupSize)
	for i := range larges {
		routers[i].Capacity = fleet.Capacity{Cores: 0.8, LinkMbps: 200}
	}
	for _, router := range routers {
		must.Eq(t, router.Capacity.LinkMbps > 0, PlanRelays(routers, router).IsRelay())
	}
}

// Hosts with fast links serve larger groups, so that there are few relays; others keep the groups that
// their links can bear.
func TestRelaysServeWhatTheirLinksCanBear(t *testing.T) {
	for _, larges := range []int{1, 3, 15} {
		routers := routersOf(295)
		for i := range larges {
			routers[i].Capacity = fleet.Capacity{Cores: 0.8, LinkMbps: 200}
		}
		relays, members := 0, map[fleet.HostID]int{}
		for _, router := range routers {
			plan := PlanRelays(routers, router)
			if plan.IsRelay() {
				relays++
				continue
			}
			members[plan.Near[0]]++
		}
		for _, router := range routers {
			size := RelayGroupSize
			if router.Capacity.LinkMbps > 0 {
				size = LargeRelayGroupSize
			}
			must.LessEq(t, size, members[router.ID], must.Sprint(larges, " ", router.ID))
		}
		must.LessEq(t, (295-larges*LargeRelayGroupSize)/RelayGroupSize+larges+3, relays)
	}
}
