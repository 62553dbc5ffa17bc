package membership

import (
	"fmt"
	"testing"

	"agateswitch/core/fleet"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// Chats spread evenly over the near entry hosts; hosts of a data centre that is out are
// absent unless nobody else is left.
func TestEntriesAreEvenNearAndIn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		perDataCentre := rapid.IntRange(2, 8).Draw(t, "hosts")
		const (
			dataCentres = 3
			chats       = 2000
			// maxSkew is the contract's bound of 1.25, with room for 2,000 chats being a sample.
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
		left := WithoutOut(routers, func(name fleet.DataCentre) bool { return name == out })
		counts := map[fleet.HostID]int{}
		for chat := range chats {
			first := EntryOrder(fmt.Sprintf("chat-%d", chat), near, left)[0]
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
		must.SliceLen(t, len(routers), WithoutOut(routers, func(fleet.DataCentre) bool { return true }))
	})
}
