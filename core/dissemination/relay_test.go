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

// Every router of a large fleet has a relay in its data centre, and no relay hears more than the
// group's size allows.
func TestEveryRouterHasARelay(t *testing.T) {
	for _, count := range []int{17, 40, 88, 383} {
		routers := routersOf(count)
		place := map[fleet.HostID]fleet.DataCentre{}
		for _, router := range routers {
			place[router.ID] = router.DataCentre
		}
		relays, members := map[fleet.HostID]int{}, map[fleet.HostID]int{}
		for _, router := range routers {
			plan := PlanRelays(routers, router)
			if plan.IsRelay() {
				relays[router.ID] = len(plan.Others)
				continue
			}
			must.Eq(t, router.DataCentre, place[plan.Near[0]])
			members[plan.Near[0]]++
		}
		must.LessEq(t, count/RelayGroup+3, len(relays))
		for relay, gathered := range members {
			must.MapContainsKey(t, relays, relay)
			must.LessEq(t, RelayGroup, gathered)
			must.Eq(t, len(relays)-1, relays[relay])
		}
	}
}

func TestSmallFleetTellsDirectly(t *testing.T) {
	routers := routersOf(DirectFleet)
	for _, router := range routers {
		plan := PlanRelays(routers, router)
		must.Len(t, DirectFleet-1, plan.Others)
		must.True(t, plan.IsRelay())
	}
}

// A router that the list lacks has a relay, too.
func TestUnlistedRouterHasARelay(t *testing.T) {
	plan := PlanRelays(routersOf(88), fleet.Host{ID: "new", DataCentre: "dc1"})
	must.SliceNotEmpty(t, plan.Near)
}
