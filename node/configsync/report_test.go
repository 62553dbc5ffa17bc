package configsync

import (
	"testing"

	"agateswitch/core/fleet"

	"github.com/shoenig/test/must"
)

// A report names the routers that lack a revision or do not answer, and costs the asked
// router only a few calls, whatever the fleet's size.
func TestReportNamesWhoLacksARevision(t *testing.T) {
	for _, count := range []int{3, 8, 64} {
		inFleet(t, count, func(t *testing.T, f *fakeFleet, nodes []*fakeNode) {
			silent := nodes[2]
			silent.set(&silent.cutFromPeers, true)
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
			must.Eq(t, []HostReport{{Host: silent.host.ID, Unreachable: true}}, Lacking(reports, revision))
			// While a silent router is waited for, exchanges go on beside the report.
			const exchanges = 8
			must.LessEq(t, reportFanOut+exchanges, calls)

			silent.set(&silent.cutFromPeers, false)
			timeToInForce(t, nodes, revision)
			must.SliceEmpty(t, Lacking(nodes[0].ReportOf(t.Context(), hosts), revision))
		})
	}
}
