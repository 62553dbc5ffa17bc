package outlier

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// An unreachable upstream gets no calls for a limited time, so that it is used again after it recovers.
func TestUnreachableUpstreamIsEjectedForAWhile(t *testing.T) {
	var tracker Tracker
	tracker.Observe(start, Unreachable)
	must.False(t, tracker.Ejected(start))
	must.True(t, tracker.ConnectionsFailing())
	tracker.Observe(start, Unreachable)
	must.True(t, tracker.Ejected(start))
	must.False(t, tracker.Ejected(start.Add(baseEjection)))
	// Each ejection is longer, up to a bound. A success resets the connection failures.
	now := start
	for range 10 {
		now = now.Add(maxEjection)
		must.False(t, tracker.Ejected(now))
		tracker.Observe(now, Unreachable)
		must.True(t, tracker.Ejected(now))
	}
	tracker.Observe(now.Add(maxEjection), Success)
	must.False(t, tracker.ConnectionsFailing())
}

func TestFailureRateRisesAndDecays(t *testing.T) {
	var tracker Tracker
	tracker.Observe(start, Failure)
	must.Less(t, 0.25, tracker.FailureRate(start))
	for range 20 {
		tracker.Observe(start, Failure)
	}
	must.Greater(t, 0.8, tracker.FailureRate(start))
	must.Less(t, 0.1, tracker.FailureRate(start.Add(20*time.Second)))
}
