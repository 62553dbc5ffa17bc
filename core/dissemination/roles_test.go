package dissemination

import (
	"fmt"
	"slices"
	"testing"

	"agateswitch/core/fleet"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func routers(count, dataCentres int) []fleet.Host {
	var hosts []fleet.Host
	for i := range count {
		hosts = append(hosts, fleet.Host{
			ID: fleet.HostID(fmt.Sprintf("r%03d", i)), DataCentre: fleet.DataCentre(fmt.Sprintf("dc%d", i%dataCentres)),
		})
	}
	return hosts
}

// There are at most MinWatchers watchers, distributed over the data centres, and a longer ranking
// begins with the shorter one.
func TestWatchersAreSpread(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		dataCentres := rapid.IntRange(1, 5).Draw(t, "dataCentres")
		hosts := routers(rapid.IntRange(1, 40).Draw(t, "routers"), dataCentres)
		ranking := WatcherRanking(hosts, MinWatchers)
		must.SliceLen(t, min(MinWatchers, len(hosts)), ranking)
		used := map[fleet.DataCentre]bool{}
		for _, host := range hosts {
			if slices.Contains(ranking, host.ID) {
				used[host.DataCentre] = true
			}
		}
		must.MapLen(t, min(MinWatchers, len(hosts), dataCentres), used)
		must.Eq(t, ranking, WatcherRanking(hosts, MaxWatchers)[:len(ranking)])
	})
}

// The number of watchers grows step by step while the service does not respond, up to MaxWatchers.
func TestWatcherCountIsBounded(t *testing.T) {
	must.Eq(t, MinWatchers, WatcherCount(StaleTimeout))
	must.Eq(t, MinWatchers+1, WatcherCount(StaleTimeout+1))
	must.Eq(t, MinWatchers+2, WatcherCount(StaleTimeout+ExtraWatcherInterval))
	must.Eq(t, MaxWatchers, WatcherCount(1000*StaleTimeout))
}

// Exchanges reach all of the target's 380 routers in few rounds, even while a tenth of them has
// failed and is still listed.
func TestNeighboursReachEveryone(t *testing.T) {
	const maxRounds = 8
	hosts := routers(380, 4)
	isDead := func(i int) bool { return i%10 == 7 }
	index := map[fleet.HostID]int{}
	for i, host := range hosts {
		index[host.ID] = i
	}
	informed := make([]bool, len(hosts))
	informed[0] = true
	for round := range maxRounds {
		next := slices.Clone(informed)
		for i, host := range hosts {
			partner, _ := ExchangePartner(host.ID, hosts, round)
			if isDead(i) || isDead(index[partner]) {
				continue
			}
			learned := informed[i] || informed[index[partner]]
			next[i], next[index[partner]] = next[i] || learned, next[index[partner]] || learned
		}
		informed = next
	}
	for i := range hosts {
		must.True(t, informed[i] || isDead(i), must.Sprintf("router %d", i))
	}
}

func BenchmarkExchangePartner(b *testing.B) {
	for _, count := range []int{8, 64, 380} {
		b.Run(fmt.Sprintf("routers=%d", count), func(b *testing.B) {
			hosts := routers(count, 4)
			for b.Loop() {
				ExchangePartner("r001", hosts, 1)
			}
		})
	}
}
