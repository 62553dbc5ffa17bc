package claim

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"agateswitch/core/fleet"

	"github.com/shoenig/test/must"
)

// costRun simulates non-idempotent calls on all claim shards of a fleet and counts the store's
// transactions. addedDelays holds the delay that each claim adds to its call.
type costRun struct {
	shards      [ShardCount]*Shard
	flights     [ShardCount]flight
	store       fakeStore
	begun       map[fleet.RequestID]time.Time
	addedDelays []time.Duration
	writes      int
	reads       int
	operations  int
}

// flight is the state of one shard: its transaction in the store and its unanswered claims.
type flight struct {
	transaction Transaction
	done        time.Time
	claims      map[OperationID]fleet.Claim
}

// Durations of the simulation. costLatency is the store's commit latency.
const (
	costDuration = 6 * time.Second
	costStep     = time.Millisecond
	costLatency  = 4 * time.Millisecond
	serviceTime  = 50 * time.Millisecond
)

func (c *costRun) run(callsPerSecond int) {
	type ending struct {
		at    time.Time
		claim fleet.Claim
	}
	var endings []ending
	c.store.entries = map[string]Entry{}
	c.begun = map[fleet.RequestID]time.Time{}
	for i := range c.shards {
		c.shards[i] = NewShard(start, DefaultWritesPerSecond)
		c.flights[i].claims = map[OperationID]fleet.Claim{}
	}
	calls := 0
	for now := start; now.Before(start.Add(costDuration)); now = now.Add(costStep) {
		target := int(now.Sub(start).Seconds() * float64(callsPerSecond))
		for ; calls < target; calls++ {
			claim := fleet.Claim{Team: "t", Key: keyAt(now, calls), Holder: fleet.RequestID(fmt.Sprint(calls))}
			shard := ShardOf(claim.Team, claim.Key)
			id, _, _ := c.shards[shard].Begin(now, claim)
			c.flights[shard].claims[id], c.begun[claim.Holder] = claim, now
		}
		for len(endings) > 0 && !now.Before(endings[0].at) {
			claim := endings[0].claim
			c.shards[ShardOf(claim.Team, claim.Key)].Finish(now, claim, fleet.ClaimAnswer{Status: 201})
			endings = endings[1:]
		}
		for i := range c.shards {
			for _, claim := range c.step(now, i) {
				endings = append(endings, ending{at: now.Add(serviceTime), claim: claim})
			}
		}
	}
}

// step advances one shard: it completes a commit that is done and starts the next one. It
// returns the claims that were granted.
func (c *costRun) step(now time.Time, i int) (granted []fleet.Claim) {
	shard, flight := c.shards[i], &c.flights[i]
	if !flight.done.IsZero() && !now.Before(flight.done) {
		flight.done = time.Time{}
		for _, reply := range shard.HandleOutcome(now, c.store.commit(flight.transaction)) {
			if reply.Result.State == fleet.ClaimGranted {
				claim := flight.claims[reply.Operation]
				claim.Revision = reply.Result.Revision
				c.addedDelays = append(c.addedDelays, now.Sub(c.begun[claim.Holder]))
				granted = append(granted, claim)
			}
		}
	}
	if transaction, ok := shard.Next(now); ok {
		flight.transaction, flight.done = transaction, now.Add(costLatency)
		c.operations += len(transaction.Writes)
		if len(transaction.Writes) > 0 {
			c.writes++
		} else {
			c.reads++
		}
	}
	return granted
}

// At any call rate, the writes of all shards stay within the fleet's share of the store, and
// a claim waits for at most two commits of its shard.
func TestStoreCost(t *testing.T) {
	for _, rate := range []int{10, 100, 1000} {
		var c costRun
		c.run(rate)
		seconds := costDuration.Seconds()
		slices.Sort(c.addedDelays)
		t.Logf("%4d calls/s: %5.1f writes/s, %.1f reads/s, %4.1f operations a write, claim adds %v median, %v at 99 in 100",
			rate, float64(c.writes)/seconds, float64(c.reads)/seconds, float64(c.operations)/float64(c.writes),
			c.addedDelays[len(c.addedDelays)/2], c.addedDelays[len(c.addedDelays)*99/100])
		must.LessEq(t, DefaultWritesPerSecond*seconds+commitBurst*ShardCount, float64(c.writes))
		interval := time.Second * ShardCount / DefaultWritesPerSecond
		must.LessEq(t, 2*(interval+costLatency), c.addedDelays[len(c.addedDelays)-1])
		must.GreaterEq(t, int(float64(rate)*(seconds-1)), len(c.addedDelays))
	}
}
