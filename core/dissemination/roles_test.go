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

// Watchers are few, spread over the data centres, and taken over in order.
func TestWatchersAreSpread(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		dataCentres := rapid.IntRange(1, 5).Draw(t, "dataCentres")
		hosts := routers(rapid.IntRange(1, 40).Draw(t, "routers"), dataCentres)
		ranking := Ranking(hosts, Watchers)
		must.SliceLen(t, min(Watchers, len(hosts)), ranking)
		used := map[fleet.DataCentre]bool{}
		for _, host := range hosts {
			if slices.Contains(ranking, host.ID) {
				used[host.DataCentre] = true
			}
		}
		must.MapLen(t, min(Watchers, len(hosts), dataCentres), used)
		must.Eq(t, ranking, Ranking(hosts, MaxWatchers)[:len(ranking)])
	})
}

// A watch is taken over by degrees while nothing is heard, and never by the whole fleet.
func TestWatcherCountIsBounded(t *testing.T) {
	must.Eq(t, Watchers, WatcherCount(StaleAfter))
	must.Eq(t, Watchers+1, WatcherCount(StaleAfter+1))
	must.Eq(t, Watchers+2, WatcherCount(StaleAfter+StaleStep))
	must.Eq(t, MaxWatchers, WatcherCount(1000*StaleAfter))
}

// Pushes along neighbours and exchanges reach all of the target's 380 routers in few
// rounds, also with a tenth of them dead and not yet noticed.
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
			heard := informed[i] || informed[index[partner]]
			next[i], next[index[partner]] = next[i] || heard, next[index[partner]] || heard
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
