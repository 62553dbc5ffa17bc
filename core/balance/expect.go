package balance

import (
	"math"
	"slices"

	"agateswitch/core/rendezvous"
)

// slotWaitTokens is the cost of each request that waits for a slot in front of a new one. An engine with 32 slots and streams of 1.5 s
// frees one every 47 ms, in which it reads about that many tokens.
const slotWaitTokens = 2048

// ExpectedTokens returns the cost of a request until its first token at an upstream of the usual speed: what it has to read before
// and for it, and the steps of the requests that run.
func ExpectedTokens(running, pendingPrefill, uncached, fetchable float64) float64 {
	return pendingPrefill + runningCostTokens*running + prefillCostFactor*(uncached-fetchable) + fetchCostFactor*fetchable
}

// expectTimes turns costs into expected times, in the time in which a token is read at the usual speed. It is made for engines whose speed
// changes within the age of what routers know: one that is slow gets the requests whose prompt it has cached, and others while all
// engines are busy. One that is faster than most counts as fast for the part of the requests that it can serve beyond its usual one, drawn
// by random, since all routers would otherwise send to it until they know each other's requests. If no upstream states its work time, nothing changes.
func expectTimes(ranks []rank, candidates []Candidate, random uint64) {
	median := medianWorkTime(candidates)
	if median == 0 {
		return
	}
	for i, c := range candidates {
		workTime := c.WorkTime
		if workTime == 0 {
			workTime = 1
		} else if c.Slots > 0 {
			ranks[i].cost += slotWaitTokens * max(0, c.Running+1-float64(c.Slots))
		}
		if workTime < median && !isDrawn(rendezvous.Mix(random, c.Hash), (median/workTime-1)/float64(len(candidates))) {
			workTime = median
		}
		ranks[i].cost *= workTime
	}
}

// isDrawn reports whether a random number is in the first share of its range.
func isDrawn(random uint64, share float64) bool { return float64(random) < share*math.MaxUint64 }

// medianWorkTime returns the median of the candidates' work times, or 0 if none states one.
func medianWorkTime(candidates []Candidate) float64 {
	stated, usual := 0, 0
	for _, c := range candidates {
		if c.WorkTime > 0 {
			stated++
		}
		if c.WorkTime == 0 || c.WorkTime == 1 {
			usual++
		}
	}
	switch {
	case stated == 0:
		return 0
	case 2*usual > len(candidates):
		return 1
	}
	workTimes := make([]float64, len(candidates))
	for i, c := range candidates {
		workTimes[i] = c.WorkTime
		if c.WorkTime == 0 {
			workTimes[i] = 1
		}
	}
	slices.Sort(workTimes)
	return workTimes[len(workTimes)/2]
}
