package membership

import (
	"fmt"
	"testing"

	"agateswitch/core/fleet"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// Chats are distributed evenly over the entry hosts of the caller's data centre. Hosts of a
// data centre that is out are excluded unless no other host remains.
func TestEntryHostsAreBalancedNearAndInService(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perDataCentre := rapid.IntRange(2, 8).Draw(t, "hosts")
		const (
			dataCentres = 3
			chats       = 2000
			// maxSkew is the contract's bound of 1.25 with a margin for the sampling error of
			// 2,000 chats.
			maxSkew = 1.5
		)
		var routers []fleet.Host
		for i := range perDataCentre * dataCentres {
			routers = append(routers, fleet.Host{
				ID: fleet.HostID(fmt.Sprintf("h%d", i)), DataCentre: fleet.DataCentre(fmt.Sprintf("dc%d", i%dataCentres)),
			})
		}
		near := fleet.DataCentre(fmt.Sprintf("dc%d", rapid.IntRange(0, dataCentres-1).Draw(t, "near")))
		out := rapid.SampledFrom([]fleet.DataCentre{"dc0", "dc1", "dc2"}).Draw(t, "out")
		inService := ExcludeOutOfService(routers, func(name fleet.DataCentre) bool { return name == out })
		counts := map[fleet.HostID]int{}
		for chat := range chats {
			first := EntryOrder(fmt.Sprintf("chat-%d", chat), near, inService)[0]
			must.NotEq(t, out, first.DataCentre)
			must.True(t, first.DataCentre == near || near == out)
			counts[first.ID]++
		}
		hosts := perDataCentre
		if near == out {
			hosts *= dataCentres - 1
		}
		for host, count := range counts {
			must.LessEq(t, maxSkew*chats/float64(hosts), float64(count), must.Sprint(host))
		}
		must.SliceLen(t, len(routers), ExcludeOutOfService(routers, func(fleet.DataCentre) bool { return true }))
	})
}
