// Package experiments holds trials that decisions in docs/decisions rest on.
package experiments

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"agateswitch/core/rendezvous"

	"github.com/shoenig/test/must"
)

// Sizes of the target: routers over data centres, shards, teams, and requests of a trial.
const (
	routers     = 380
	dataCentres = 4
	shards      = 75
	teams       = 1100
	requests    = 200_000
	// homeShare is the share of a team's requests that enter in its own data centre.
	homeShare = 0.9
)

// call is one grant request: the data centre of the entry router, and the shard.
type call struct{ entry, shard int }

// trace draws calls of teams that sit in one data centre each. Chats hash to shards, as
// in core/placement, unless byTeam keeps a team's chats in one shard.
func trace(byTeam bool) []call {
	source := rand.New(rand.NewPCG(7, 1))
	calls := make([]call, requests)
	for i := range calls {
		// The square makes a few teams large.
		team := int(float64(teams) * source.Float64() * source.Float64())
		entry := team % dataCentres
		if source.Float64() > homeShare {
			entry = source.IntN(dataCentres)
		}
		shard := source.IntN(shards)
		if byTeam {
			shard = int(rendezvous.Score("team", fmt.Sprint(team)) % shards)
		}
		calls[i] = call{entry: entry, shard: shard}
	}
	return calls
}

// ownerByRendezvous places each shard's owner as core/placement does.
func ownerByRendezvous([]call) []int {
	owners := make([]int, shards)
	names := make([]string, routers)
	for i := range names {
		names[i] = fmt.Sprintf("router-%d", i)
	}
	for shard := range owners {
		best, _ := rendezvous.First(fmt.Sprintf("shard-%d", shard), names)
		fmt.Sscanf(best, "router-%d", &owners[shard])
	}
	return owners
}

// ownerByTraffic places each shard's owner in the data centre that asks it most, which is
// the paper's rule for two services that talk much with one another.
func ownerByTraffic(calls []call) []int {
	asked := make([][dataCentres]int, shards)
	for _, c := range calls {
		asked[c.shard][c.entry]++
	}
	owners := make([]int, shards)
	for shard, counts := range asked {
		most := 0
		for dataCentre, count := range counts {
			if count > counts[most] {
				most = dataCentre
			}
		}
		// Routers are dealt to data centres in turn.
		owners[shard] = most + dataCentres*(shard%(routers/dataCentres))
	}
	return owners
}

// crossing returns the share of calls whose owner is in another data centre, and the
// calls of the busiest data centre over the mean.
func crossing(calls []call, owners []int) (share, skew float64) {
	crossed := 0
	var load [dataCentres]int
	for _, c := range calls {
		ownerDataCentre := owners[c.shard] % dataCentres
		load[ownerDataCentre]++
		if ownerDataCentre != c.entry {
			crossed++
		}
	}
	most := 0
	for _, count := range load {
		most = max(most, count)
	}
	return float64(crossed) / requests, float64(most) * dataCentres / requests
}

// TestOwnersNearTheirCallers prints what decision 7 rests on: the owners' place by the
// traffic between callers and shards, against rendezvous, with chats hashed to shards
// and with each team kept in one shard.
func TestOwnersNearTheirCallers(t *testing.T) {
	for _, byTeam := range []bool{false, true} {
		calls := trace(byTeam)
		plain, plainSkew := crossing(calls, ownerByRendezvous(calls))
		near, nearSkew := crossing(calls, ownerByTraffic(calls))
		t.Logf("team kept in one shard: %t; grants that cross data centres: rendezvous %.3f (skew %.2f), by traffic %.3f (skew %.2f)",
			byTeam, plain, plainSkew, near, nearSkew)
		if !byTeam {
			// Hashing chats to shards leaves no cluster of callers for an owner to be near.
			must.Between(t, 0, plain-near, 0.1)
		}
	}
}
