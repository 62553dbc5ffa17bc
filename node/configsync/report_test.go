package configsync

import (
	"testing"

	"agateswitch/core/fleet"

	"github.com/shoenig/test/must"
)

// A report names the routers that lack a revision or are unresponsive, and the collecting router
// makes only a few calls for it, whatever the fleet's size.
func TestReportNamesLackingRouters(t *testing.T) {
	for _, count := range []int{3, 8, 64} {
		withFleet(t, count, func(t *testing.T, f *fakeFleet, nodes []*fakeNode) {
			unresponsive := nodes[2]
			unresponsive.set(&unresponsive.peersPartitioned, true)
			revision := accept(t, nodes[0], "arima", true)
			timeToInForce(t, append(nodes[:2:2], nodes[3:]...), revision)
			var hosts []fleet.HostID
			for _, node := range nodes {
				hosts = append(hosts, node.host.ID)
			}
			f.mu.Lock()
			before := nodes[0].calls
			f.mu.Unlock()
			reports := nodes[0].ReportOf(t.Context(), hosts)
			f.mu.Lock()
			calls := nodes[0].calls - before
			f.mu.Unlock()
			must.SliceLen(t, count, reports)
			must.Eq(t, []HostReport{{Host: unresponsive.host.ID, Unreachable: true}}, Lacking(reports, revision))
			// Exchanges continue while the report waits for an unresponsive router.
			const exchanges = 8
			must.LessEq(t, reportFanOut+exchanges, calls)

			unresponsive.set(&unresponsive.peersPartitioned, false)
			timeToInForce(t, nodes, revision)
			must.SliceEmpty(t, Lacking(nodes[0].ReportOf(t.Context(), hosts), revision))
		})
	}
}
