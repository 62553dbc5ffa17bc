package admission

import (
	"testing"
	"time"

	"agateswitch/core/fleet"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

// Retries never exceed the reserve plus the fraction of successes, for any order of results.
func TestRetriesStayWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := DefaultRetrySettings()
		budget := NewRetryBudget(settings)
		successes, retries := 0, 0
		for _, success := range rapid.SliceOfN(rapid.Bool(), 0, 400).Draw(t, "successes") {
			if success {
				budget.RecordSuccess()
				successes++
				continue
			}
			if budget.Decide(start, FailedAttempt{Attempts: 1, Ran: fleet.NotRun}).Allowed {
				retries++
			}
		}
		limit := settings.Reserve + settings.Fraction*float64(successes) + 1e-6
		if float64(retries) > limit {
			t.Fatalf("%d retries after %d successes, limit %.1f", retries, successes, limit)
		}
	})
}

// A retry is refused if the request may have run and may not be repeated, if its attempts are used
// up, or if the wait would exceed the deadline.
func TestRetryRefusals(t *testing.T) {
	cases := []struct {
		name    string
		attempt FailedAttempt
		want    RetryReason
	}{
		{"may have run", FailedAttempt{Attempts: 1, Ran: fleet.RanUnknown}, RetryMayHaveRun},
		{"did run", FailedAttempt{Attempts: 1, Ran: fleet.DidRun}, RetryMayHaveRun},
		{"may have run, repeatable", FailedAttempt{Attempts: 1, Ran: fleet.RanUnknown, Repeatable: true}, RetryAllowed},
		{"not run", FailedAttempt{Attempts: 1, Ran: fleet.NotRun}, RetryAllowed},
		{"third failure", FailedAttempt{Attempts: 3, Ran: fleet.NotRun}, RetryAttemptsExhausted},
		{"no time left", FailedAttempt{Attempts: 2, Ran: fleet.NotRun, Random: 0.9, Deadline: start.Add(10 * time.Millisecond)}, RetryExceedsDeadline},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			decision := NewRetryBudget(DefaultRetrySettings()).Decide(start, c.attempt)
			must.Eq(t, c.want, decision.Reason)
			must.Eq(t, c.want == RetryAllowed, decision.Allowed)
		})
	}
}

// The maximum wait does not decrease from one attempt to the next and does not exceed BackoffMax. The
// minimum wait is zero.
func TestRetryBackoffDoublesUpToItsBound(t *testing.T) {
	settings := DefaultRetrySettings()
	budget := NewRetryBudget(settings)
	const almostOne = 0.999999
	previous := time.Duration(0)
	for attempt := 1; attempt <= 10; attempt++ {
		wait := budget.backoff(attempt, almostOne)
		must.GreaterEq(t, previous, wait)
		must.LessEq(t, settings.BackoffMax, wait)
		must.Eq(t, 0, budget.backoff(attempt, 0))
		previous = wait
	}
}
