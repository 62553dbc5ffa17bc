package placement

import (
	"fmt"
	"math"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/core/rendezvous"
)

// candidate is an upstream that a request may run on.
type candidate struct {
	engine *engine
	// work is the request's work there, without the prefix in the upstream's cache.
	work fleet.Work
	// warm is set when the chat recently ran there. The rank of the most recent upstream is 0.
	warm  bool
	rank  int
	score float64
}

// shardLoad is the total load and weight of the shard's upstreams that count in the mean.
type shardLoad struct {
	load   fleet.Work
	weight float64
}

// shardLoad adds up the upstreams that count in the mean.
func (o *Owner) shardLoad(now time.Time) shardLoad {
	o.estimateDecoded(now)
	var sum shardLoad
	for _, e := range o.engines {
		if e.countsInMean(now) {
			sum.load += e.knownLoad()
			sum.weight += e.weight
		}
	}
	return sum
}

// mean returns the mean load of an upstream of the given weight.
func (l shardLoad) mean(weight float64) float64 {
	if l.weight == 0 {
		return 0
	}
	return float64(l.load) * weight / l.weight
}

// isWithinBound reports whether the first case of the rule in the package comment applies.
func (o *Owner) isWithinBound(c candidate, sum shardLoad) bool {
	return c.engine.load()+c.work <= o.bound(c, sum)
}

// isBelowMean reports whether the second case of that rule applies: the upstream is at or below
// the mean without the request.
func isBelowMean(c candidate, sum shardLoad) bool {
	return float64(c.engine.load()) <= sum.mean(c.engine.weight)
}

// bound returns the maximum load of an upstream including the request. The factor is below that
// of the settings, as the mean falls between two decisions.
func (o *Owner) bound(c candidate, sum shardLoad) fleet.Work {
	factor := 1 + (o.settings.BoundFactor-1)*usableBoundFraction
	sum.load += c.work
	return fleet.Work(factor * sum.mean(c.engine.weight))
}

// candidates returns the upstreams that the request may run on: first those where the chat ran,
// the most recent one in front, then the others in the chat's weighted rendezvous order. The
// result is valid until the next call.
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

// insert adds a candidate to a sorted list. Shards are small, so linear insertion is fast enough.
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

// choose returns the first candidate within its bound, or else the least loaded one at or below
// the mean. Candidates with equal load are chosen in the chat's order.
func (o *Owner) choose(now time.Time, request Request) (chosen candidate, sum shardLoad, found bool) {
	sum = o.shardLoad(now)
	least := math.Inf(1)
	list := o.candidates(request)
	if len(list) > 0 && o.shouldWaitForWarm(now, request, list[0], sum) {
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

// placementReason returns the rule that selected a candidate.
func (o *Owner) placementReason(request Request, chosen candidate) fleet.Reason {
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

// Explain describes where a request would run now and why, without placing it.
func (o *Owner) Explain(now time.Time, request Request) []string {
	sum := o.shardLoad(now)
	lines := []string{fmt.Sprintf("owner %s epoch %d: %d upstreams, mean load %.0f, %d waiting, expected wait of one more %s",
		o.self, o.epoch, len(o.engines), sum.mean(1), o.queue.Len(), o.expectedWait(o.queue.Len()).Round(time.Millisecond))}
	for rank, c := range o.candidates(request) {
		lines = append(lines, fmt.Sprintf("%d. %s: %s", rank+1, c.engine.ID, o.explainCandidate(now, c, sum)))
	}
	for _, e := range o.engines {
		if !request.allows(e.Upstream) {
			lines = append(lines, fmt.Sprintf("-  %s: rejected: version %q is not %q, or it failed this request",
				e.ID, e.Version, request.Version))
		}
	}
	return lines
}

// explainCandidate describes whether one candidate would accept the request, and why.
func (o *Owner) explainCandidate(now time.Time, c candidate, sum shardLoad) string {
	e := c.engine
	state := fmt.Sprintf("load %d (%d by other owners) of bound %d, running %d of %d",
		e.load(), e.foreignWork, o.bound(c, sum), e.totalRunning(), e.limit(now))
	if c.warm {
		state += ", the chat last ran here"
	}
	switch {
	case e.breaker.isOpen(now):
		return state + fmt.Sprintf(": rejected: held off for %s after %d failed requests in a row",
			e.breaker.openUntil.Sub(now).Round(time.Millisecond), e.breaker.failures)
	case e.isFull(now) && e.breaker.isProbing():
		return state + ": rejected: one request is showing whether it works again"
	case e.isFull(now) && e.awaitsFirstReport(now):
		return state + ": rejected: held at its cold start until it reports its load to this owner"
	case e.isFull(now) && e.ramp.isCold():
		return state + ": rejected: in a cold start since " + string(e.ramp.cause)
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
