package pace

import (
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
