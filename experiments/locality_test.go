// Package experiments holds experiments that support decisions in docs/decisions.
package experiments

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"agateswitch/core/rendezvous"

	"github.com/shoenig/test/must"
)

// The fleet at its target size, and the load of a run.
const (
	routers     = 380
	dataCentres = 4
	shards      = 75
	teams       = 1100
	requests    = 200_000
	// homeShare is the share of a team's requests that enter the fleet in its own data centre.
	homeShare = 0.9
)

// call is one grant request: the data centre of the entry router, and the shard.
type call struct{ entry, shard int }

// trace returns random calls of teams, each with one home data centre. Chats hash to shards, as in
// core/placement; with shardByTeam, all chats of a team are in one shard.
func trace(shardByTeam bool) []call {
	source := rand.New(rand.NewPCG(7, 1))
	calls := make([]call, requests)
	for i := range calls {
		// The product of two uniform values gives a skewed distribution with a few large teams.
		team := int(float64(teams) * source.Float64() * source.Float64())
		entry := team % dataCentres
		if source.Float64() > homeShare {
			entry = source.IntN(dataCentres)
		}
		shard := source.IntN(shards)
		if shardByTeam {
			shard = int(rendezvous.Score("team", fmt.Sprint(team)) % shards)
		}
		calls[i] = call{entry: entry, shard: shard}
	}
	return calls
}

// ownerByRendezvous selects each shard's owner by rendezvous hashing, as core/placement does.
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

// ownerByTraffic selects each shard's owner in the data centre that sends it the most requests. This
// is the rule of the paper for two services that exchange many messages.
func ownerByTraffic(calls []call) []int {
	requestsFrom := make([][dataCentres]int, shards)
	for _, c := range calls {
		requestsFrom[c.shard][c.entry]++
	}
	owners := make([]int, shards)
	for shard, counts := range requestsFrom {
		busiest := 0
		for dataCentre, count := range counts {
			if count > counts[busiest] {
				busiest = dataCentre
			}
		}
		// Routers are assigned to data centres round-robin.
		owners[shard] = busiest + dataCentres*(shard%(routers/dataCentres))
	}
	return owners
}

// crossDataCentreShare returns the share of calls whose owner is in another data centre, and the
// ratio of the busiest data centre's calls to the mean.
func crossDataCentreShare(calls []call, owners []int) (share, skew float64) {
	crossings := 0
	var load [dataCentres]int
	for _, c := range calls {
		ownerDataCentre := owners[c.shard] % dataCentres
		load[ownerDataCentre]++
		if ownerDataCentre != c.entry {
			crossings++
		}
	}
	busiest := 0
	for _, count := range load {
		busiest = max(busiest, count)
	}
	return float64(crossings) / requests, float64(busiest) * dataCentres / requests
}

// TestOwnersNearTheirCallers logs the results behind decision 7. It compares owners selected by
// traffic with owners selected by rendezvous hashing, both with chats hashed to shards and with each
// team in one shard.
func TestOwnersNearTheirCallers(t *testing.T) {
	for _, byTeam := range []bool{false, true} {
		calls := trace(byTeam)
		rendezvousShare, rendezvousSkew := crossDataCentreShare(calls, ownerByRendezvous(calls))
		trafficShare, trafficSkew := crossDataCentreShare(calls, ownerByTraffic(calls))
		t.Logf("team kept in one shard: %t; grants that cross data centres: rendezvous %.3f (skew %.2f), by traffic %.3f (skew %.2f)",
			byTeam, rendezvousShare, rendezvousSkew, trafficShare, trafficSkew)
		if !byTeam {
			// Chats that hash to shards spread each shard's callers over all data centres, so no
			// location of the owner is close to most of them.
			must.Between(t, 0, rendezvousShare-trafficShare, 0.1)
		}
	}
}
