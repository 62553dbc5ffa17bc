package placement

import (
	"fmt"
	"math"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/core/rendezvous"
)

// candidate is an upstream that a request may run on, in the chat's order.
type candidate struct {
	engine *engine
	// work is what the request costs there, without the prefix in the upstream's cache.
	work fleet.Work
	// warm is true when the chat ran there lately, rank is 0 for the last place.
	warm  bool
	rank  int
	score float64
}

// balance is the load of the bearing upstreams of the shard.
type balance struct {
	load   fleet.Work
	weight float64
}

func (o *Owner) balance(now time.Time) balance {
	o.drift(now)
	var sum balance
	for _, e := range o.engines {
		if e.isBearing(now) {
			sum.load += e.known()
			sum.weight += e.weight
		}
	}
	return sum
}

// mean is the mean load for an upstream of a weight.
func (b balance) mean(weight float64) float64 {
	if b.weight == 0 {
		return 0
	}
	return float64(b.load) * weight / b.weight
}

// isWithinBound is the first case of the rule in the package comment.
func (o *Owner) isWithinBound(c candidate, sum balance) bool {
	return c.engine.load()+c.work <= o.bound(c, sum)
}

// isBelowMean is the second case.
func isBelowMean(c candidate, sum balance) bool {
	return float64(c.engine.load()) <= sum.mean(c.engine.weight)
}

// bound is the most load that an upstream may have after taking the request. It is under the
// factor of the settings by a headroom, as the mean falls between two decisions.
func (o *Owner) bound(c candidate, sum balance) fleet.Work {
	factor := 1 + (o.settings.BoundFactor-1)*boundHeadroom
	sum.load += c.work
	return fleet.Work(factor * sum.mean(c.engine.weight))
}

// candidates returns the upstreams that the request may run on: the one where the chat last
// ran, then the others in the chat's weighted rendezvous order. The result is valid until
// the next call.
func (o *Owner) candidates(request Request) []candidate {
	list := o.scratch[:0]
	last, _ := o.memory.find(request.Chat)
	for _, e := range o.engines {
		if !request.allows(e.Upstream) {
			continue
		}
		c := candidate{engine: e, work: request.Prefill + request.Decode}
		c.score = rendezvous.MixWeighted(request.Chat, e.hash, e.weight)
		if rank, isWarm := last.rank(e); isWarm {
			c.warm, c.rank = true, rank
			c.work -= min(request.Prefill, fleet.Work(last[rank].tokens))
		}
		list = insert(list, c)
	}
	o.scratch = list
	return list
}

// insert keeps the list in order. Shards are small, so that insertion is fast enough.
func insert(list []candidate, c candidate) []candidate {
	list = append(list, c)
	for i := len(list) - 1; i > 0 && list[i].before(list[i-1]); i-- {
		list[i], list[i-1] = list[i-1], list[i]
	}
	return list
}

func (c candidate) before(other candidate) bool {
	if c.warm != other.warm {
		return c.warm
	}
	if c.warm && c.rank != other.rank {
		return c.rank < other.rank
	}
	return c.score > other.score
}

// choose finds the first candidate within its bound, or else the least loaded one at or below
// the mean, the first in the chat's order among equals.
func (o *Owner) choose(now time.Time, request Request) (chosen candidate, sum balance, found bool) {
	sum = o.balance(now)
	least := math.Inf(1)
	list := o.candidates(request)
	if len(list) > 0 && o.isWorthWaiting(now, request, list[0], sum) {
		return candidate{}, sum, false
	}
	for _, c := range list {
		if c.engine.isFull(now) {
			continue
		}
		if o.isWithinBound(c, sum) {
			return c, sum, true
		}
		relative := float64(c.engine.load()) / c.engine.weight
		if isBelowMean(c, sum) && relative < least {
			chosen, least, found = c, relative, true
		}
	}
	return chosen, sum, found
}

// reasonOf names the rule that chose a candidate.
func (o *Owner) reasonOf(request Request, chosen candidate) fleet.Reason {
	if len(request.Exclude) > 0 {
		return fleet.ReasonRetry
	}
	for _, e := range o.engines {
		if request.allows(e.Upstream) && rendezvous.MixWeighted(request.Chat, e.hash, e.weight) > chosen.score {
			if chosen.warm {
				return fleet.ReasonDisplaced
			}
			return fleet.ReasonOverflow
		}
	}
	return fleet.ReasonHome
}

// Explain tells where a request would run now and why, without placing it.
func (o *Owner) Explain(now time.Time, request Request) []string {
	sum := o.balance(now)
	lines := []string{fmt.Sprintf("owner %s epoch %d: %d upstreams, mean load %.0f, %d waiting, expected wait of one more %s",
		o.self, o.epoch, len(o.engines), sum.mean(1), o.queue.Len(), o.expectedWait(o.queue.Len()).Round(time.Millisecond))}
	for rank, c := range o.candidates(request) {
		lines = append(lines, fmt.Sprintf("%d. %s: %s", rank+1, c.engine.ID, o.verdict(now, c, sum)))
	}
	for _, e := range o.engines {
		if !request.allows(e.Upstream) {
			lines = append(lines, fmt.Sprintf("-  %s: rejected: version %q is not %q, or it failed this request",
				e.ID, e.Version, request.Version))
		}
	}
	return lines
}

// verdict explains for one candidate whether it would take the request.
func (o *Owner) verdict(now time.Time, c candidate, sum balance) string {
	e := c.engine
	state := fmt.Sprintf("load %d (%d by other owners) of bound %d, running %d of %d",
		e.load(), e.foreignWork, o.bound(c, sum), e.busy(), e.limit(now))
	if c.warm {
		state += ", the chat last ran here"
	}
	switch {
	case e.hold.isHeld(now):
		return state + fmt.Sprintf(": rejected: held off for %s after %d failed requests in a row",
			e.hold.until.Sub(now).Round(time.Millisecond), e.hold.failures)
	case e.isFull(now) && e.hold.isProbing():
		return state + ": rejected: one request is showing whether it works again"
	case e.isFull(now) && e.isLearning(now):
		return state + ": rejected: held at its cold start until it reports its load to this owner"
	case e.isFull(now) && e.ramp.isCold():
		return state + ": rejected: in a cold start since " + string(e.ramp.sign)
	case e.isFull(now):
		return state + ": rejected: at its max_concurrency"
	case o.isWithinBound(c, sum):
		return state + ": fits"
	case isBelowMean(c, sum):
		return state + ": fits if no other is within its bound, as it is at or below the mean"
	default:
		return state + ": rejected: above its bound and above the mean"
	}
}
