package dissemination

import (
	"testing"

	"agateswitch/core/fleet"

	"github.com/shoenig/test/must"
)

// Each router gets the store's changes over at most two others, few watch it, and none answers more pulls
// than a group's.
func TestFewRoutersWatchTheStoreForAll(t *testing.T) {
	for _, count := range []int{17, 40, 88, 295, 383} {
		routers := routersOf(count)
		plans := map[fleet.HostID][]fleet.HostID{}
		roots := 0
		for _, router := range routers {
			plans[router.ID] = PlanWatch(routers, router)
			if len(plans[router.ID]) == 0 {
				roots++
			}
		}
		must.Between(t, minRoots, roots, 4, must.Sprint(count))
		pulls := map[fleet.HostID]float64{}
		for id, plan := range plans {
			for _, from := range plan {
				must.NotEq(t, id, from)
				pulls[from] += 1 / float64(len(plan))
				for _, next := range plans[from] {
					must.SliceEmpty(t, plans[next])
				}
			}
		}
		for id, rate := range pulls {
			must.LessEq(t, float64(WatcherGroupSize+watchersPerRoot+1), rate, must.Sprint(count, " ", id))
		}
	}
}

func TestAllRoutersOfASmallFleetWatch(t *testing.T) {
	routers := routersOf(MaxDirectFleetSize)
	for _, router := range routers {
		must.SliceEmpty(t, PlanWatch(routers, router))
	}
	must.SliceEmpty(t, PlanWatch(nil, fleet.Host{ID: "alone"}))
}

// A router that is leaving, and so not among the routers, has somebody to pull from.
func TestLeavingRouterPullsFromOthers(t *testing.T) {
	routers := routersOf(40)
	must.Positive(t, len(PlanWatch(routers[1:], routers[0])))
	must.Positive(t, len(PlanWatch(routers, fleet.Host{ID: "new", DataCentre: "another"})))
}
