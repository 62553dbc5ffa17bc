package rollout

import (
	"fmt"
	"math"
	"sort"
)

// Limits above which a version gets no further step, though the evidence is too weak for a
// rollback: two or more failures at more than five times the old version's rate, or a median
// latency that is higher by slowBucketMargin.
const (
	maxFailureRatio = 5
	// minOldFailureRate is assumed for an old version that fails less often.
	minOldFailureRate = 0.01
	minStepFailures   = 2
	// minMedianAnswers is how many answers of each version a comparison of medians needs.
	minMedianAnswers = 8
	// minShortMedianAnswers is the same for a short move, which compares them at each evaluation.
	minShortMedianAnswers = 14
)

// StepEvidence returns how many requests of the new version ended in the step in force, and what
// evidence the next step still needs, or "" if none.
func (d *Detector) StepEvidence() (requests uint32, missing string) {
	routes := map[string]*Pair{}
	var total uint32
	for stratum, state := range d.strata {
		sum, found := routes[stratum.Route]
		if !found {
			sum = &Pair{}
			routes[stratum.Route] = sum
		}
		sum.Old.Requests += state.oldSum.Requests + state.reference.Requests
		sum.Old.Failures += state.oldSum.Failures + state.reference.Failures
		sum.New.Requests += state.newSum.Requests
		sum.New.Failures += state.newSum.Failures
		total += state.oldSum.Requests + state.reference.Requests
		requests += state.newSum.Requests
	}
	names := make([]string, 0, len(routes))
	for name := range routes {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		isMain := float64(routes[name].Old.Requests) >= MainRouteShare*float64(total)
		if text := routes[name].missingEvidence(isMain); text != "" {
			return requests, fmt.Sprintf("%q: %s", name, text)
		}
	}
	return requests, d.slowerStratum()
}

// slowerStratum describes the first stratum in which the new version's median latency in this step
// is far above the old one's. It returns "" if there is none.
func (d *Detector) slowerStratum() string {
	for _, stratum := range d.sortedStrata() {
		state := d.strata[stratum]
		switch {
		case isSlower(state.newSum.FirstToken, state.oldSum.FirstToken, minMedianAnswers):
			return state.explain(stratum, slowFirstTokens, 0)
		case isSlower(state.newSum.Interval, state.oldSum.Interval, minMedianAnswers):
			return state.explain(stratum, slowIntervals, 0)
		}
	}
	return ""
}

// Limits above which a short move is under suspicion, though it has too few requests for the tests: at least
// minShortFailures, more than maxShortFailureRatio times the old version's rate, and half of the answers of a single
// route, or minShortFailureRate of those of all routes.
const (
	minShortFailures     = 3
	maxShortFailureRatio = 2
	minShortFailureRate  = 0.1
)

// shortMoveDoubt returns why the results of a short move's single routes speak against the new version, or "".
func (d *Detector) shortMoveDoubt() string {
	if !d.isShort {
		return ""
	}
	for _, stratum := range d.sortedStrata() {
		state := d.strata[stratum]
		least := 0.5
		if stratum.Route == allRoutes {
			least = minShortFailureRate
		}
		failing := rate(state.newSum)
		if state.newSum.Failures >= minShortFailures && failing >= least && failing > maxShortFailureRatio*rate(state.oldSum) {
			return state.explain(stratum, failures, 0)
		}
	}
	return d.slowerStratumOfShortMove()
}

// slowerStratumOfShortMove is slowerStratum for a short move, whose engines have just started: as long as their
// caches are empty, the first tokens of a sound version are as late as those of a slow one.
func (d *Detector) slowerStratumOfShortMove() string {
	for _, stratum := range d.sortedStrata() {
		state := d.strata[stratum]
		isModel := state.oldSum.Interval.total() > 0
		switch {
		case isModel && isSlower(state.newSum.Interval, state.oldSum.Interval, minShortMedianAnswers):
			return state.explain(stratum, slowIntervals, 0)
		case !isModel && isSlower(state.newSum.FirstToken, state.oldSum.FirstToken, minShortMedianAnswers):
			return state.explain(stratum, slowFirstTokens, 0)
		}
	}
	return ""
}

func isSlower(newer, older Histogram, minAnswers uint32) bool {
	if newer.total() < minAnswers || older.total() < minAnswers {
		return false
	}
	return newer.quantile(0.5) >= older.quantile(0.5)+slowBucketMargin
}

// missingEvidence returns why the requests of a route don't allow the next step, or "".
func (p *Pair) missingEvidence(isMain bool) string {
	if isMain && p.New.Requests < MinRouteRequests {
		return fmt.Sprintf("%d of %d requests of evidence", p.New.Requests, MinRouteRequests)
	}
	maxRate := maxFailureRatio * max(minOldFailureRate, rate(p.Old))
	if p.New.Failures >= minStepFailures && rate(p.New) > maxRate {
		return fmt.Sprintf("the new version failed %d of %d requests", p.New.Failures, p.New.Requests)
	}
	return ""
}

func rate(t Tally) float64 {
	return float64(t.Failures) / math.Max(1, float64(t.Requests))
}
