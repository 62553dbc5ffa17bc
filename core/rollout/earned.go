package rollout

import (
	"fmt"
	"math"
	"sort"
)

// Evidence that keeps a version from earning a step before they are certain enough to take
// it back: two or more failures at five times the old version's rate, or a median latency
// that is higher by slowBuckets.
const (
	earnedRatio       = 5
	minFailureRate    = 0.01
	minEarnedFailures = 2
	// minMedian is how many answers a median needs to keep a version from a step.
	minMedian = 8
)

// Earned tells how many requests of the new version ended in this step, and what a main
// route still lacks; empty when nothing.
func (d *Detector) Earned() (requests uint32, lacking string) {
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
		if text := routes[name].lacks(isMain); text != "" {
			return requests, fmt.Sprintf("%q: %s", name, text)
		}
	}
	return requests, d.slower()
}

// slower names a stratum in which the new version's median in this step is far above the
// old one's; empty when there is none.
func (d *Detector) slower() string {
	for _, stratum := range d.order() {
		state := d.strata[stratum]
		switch {
		case isSlower(state.newSum.FirstToken, state.oldSum.FirstToken):
			return state.explain(stratum, slowFirstTokens, 0)
		case isSlower(state.newSum.Interval, state.oldSum.Interval):
			return state.explain(stratum, slowIntervals, 0)
		}
	}
	return ""
}

func isSlower(newer, older Histogram) bool {
	if newer.total() < minMedian || older.total() < minMedian {
		return false
	}
	return newer.quantile(0.5) >= older.quantile(0.5)+slowBuckets
}

// lacks tells why the requests of a route do not earn a step.
func (p *Pair) lacks(isMain bool) string {
	if isMain && p.New.Requests < RouteRequests {
		return fmt.Sprintf("%d of %d requests of evidence", p.New.Requests, RouteRequests)
	}
	accepted := earnedRatio * max(minFailureRate, rate(p.Old))
	if p.New.Failures >= minEarnedFailures && rate(p.New) > accepted {
		return fmt.Sprintf("the new version failed %d of %d requests", p.New.Failures, p.New.Requests)
	}
	return ""
}

func rate(t Tally) float64 {
	return float64(t.Failures) / math.Max(1, float64(t.Requests))
}
