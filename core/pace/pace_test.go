package pace

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// No period of the window's span has more events than the limit.
func TestWindowNeverExceedsItsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(0, 5).Draw(t, "limit")
		window, now := NewWindow(time.Second), start
		var allowed []time.Time
		for range rapid.IntRange(1, 60).Draw(t, "tries") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			if window.Allow(now, limit) {
				allowed = append(allowed, now)
			}
		}
		for i := range allowed {
			within := 0
			for _, other := range allowed[i:] {
				if other.Sub(allowed[i]) < time.Second {
					within++
				}
			}
			must.LessEq(t, limit, within)
		}
	})
}

// The sum of all routers' shares is at most the limit.
func TestSharesAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Float64Range(0, 40).Draw(t, "limit")
		routers := rapid.IntRange(1, 100).Draw(t, "routers")
		sum := 0
		for position := range routers {
			sum += Share(limit, routers, position)
		}
		must.LessEq(t, limit, float64(sum))
		if limit >= 1 {
			must.Positive(t, sum)
		}
	})
}

func TestRetriesAreAFractionOfRequests(t *testing.T) {
	budget := NewWindowedRetryBudget(10 * time.Second)
	for i := range 100 {
		budget.RecordRequest(start.Add(time.Duration(i) * time.Millisecond))
	}
	now := start.Add(time.Second)
	allowed := 0
	for range 100 {
		if budget.AllowRetry(now, 0.2, 3) {
			allowed++
		}
	}
	must.Eq(t, 23, allowed)
	must.False(t, budget.AllowRetry(now.Add(11*time.Second), 0.2, 0))
	must.True(t, budget.AllowRetry(now.Add(11*time.Second), 0.2, 1))
}

func TestPeakIsTheLargestOfTheWindow(t *testing.T) {
	peak := NewPeak(10 * time.Second)
	for _, c := range []struct {
		second, value, want int
	}{{0, 6, 6}, {1, 2, 6}, {2, 3, 6}, {9, 1, 6}, {10, 1, 3}, {12, 1, 1}, {13, 8, 8}} {
		must.Eq(t, c.want, peak.Add(start.Add(time.Duration(c.second)*time.Second), c.value), must.Sprint("second ", c.second))
	}
}

func TestExtraRetriesWaitUntilTheFleetIsKnown(t *testing.T) {
	allowed := 0
	for range 6 {
		part := NewFleetRetryBudget[string](start, 10*time.Second, false)
		for i, routers := range []int{1, 1, 3, 6} {
			for range 60 {
				if part.AllowRetry(start.Add(time.Duration(i)*fleetJoinTime/3), "pool", routers, 0.2, 60) {
					allowed++
				}
			}
		}
	}
	must.Eq(t, 60, allowed)
}

// The parts of a fleet used to add up to more than its budget when routers restarted, ended or joined.
func TestRetriesOfAChangingFleetStayWithinItsBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const span, ratio = 10 * time.Second, 0.2
		extra := float64(rapid.IntRange(1, 60).Draw(t, "extra"))
		now := start
		var parts []*FleetRetryBudget[string]
		for range rapid.IntRange(1, 8).Draw(t, "routers") {
			parts = append(parts, NewFleetRetryBudget[string](now, span, false))
		}
		var requests, retries []time.Time
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "pause")) * time.Millisecond)
			router := rapid.IntRange(0, len(parts)-1).Draw(t, "router")
			switch rapid.IntRange(0, 9).Draw(t, "event") {
			case 0:
				parts[router] = NewFleetRetryBudget[string](now, span, true)
			case 1:
				if len(parts) > 1 {
					parts = slices.Delete(parts, router, router+1)
				}
			case 2:
				parts = append(parts, NewFleetRetryBudget[string](now, span, true))
			case 3, 4, 5:
				parts[router].RecordRequest(now, "pool")
				requests = append(requests, now)
			default:
				for range rapid.IntRange(1, 30).Draw(t, "retries") {
					if parts[router].AllowRetry(now, "pool", len(parts), ratio, extra) {
						retries = append(retries, now)
					}
				}
			}
			for _, part := range parts {
				part.RecordRouters(now, len(parts))
			}
			within := func(times []time.Time) (count float64) {
				for _, at := range times {
					if now.Sub(at) < span {
						count++
					}
				}
				return count
			}
			must.LessEq(t, ratio*within(requests)+extra, within(retries))
		}
	})
}
