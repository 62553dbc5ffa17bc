package admission

import (
	"time"

	"agateswitch/core/fleet"
)

// RetrySettings configures a retry budget.
type RetrySettings struct {
	// Fraction is the number of retries that each successful request adds to the budget.
	Fraction float64
	// Reserve is the maximum and the initial balance of the budget, in retries.
	Reserve float64
	// MaxAttempts is the maximum number of attempts per request, including the first.
	MaxAttempts int
	// BackoffBase is the maximum wait before the first retry. It doubles with each further retry.
	BackoffBase time.Duration
	// BackoffMax bounds the wait before any retry.
	BackoffMax time.Duration
}

// DefaultRetrySettings returns the settings that a router uses.
func DefaultRetrySettings() RetrySettings {
	return RetrySettings{
		Fraction: 0.1, Reserve: 10, MaxAttempts: 3,
		BackoffBase: 50 * time.Millisecond, BackoffMax: time.Second,
	}
}

// RetryBudget limits retries to a fraction of successful requests, so that retries cannot
// multiply the load of a failing pool. Each pool needs its own budget. It is not safe for
// concurrent use.
type RetryBudget struct {
	settings RetrySettings
	balance  float64
}

// NewRetryBudget returns a budget with a full reserve.
func NewRetryBudget(settings RetrySettings) *RetryBudget {
	return &RetryBudget{settings: settings, balance: settings.Reserve}
}

// FailedAttempt describes a failed attempt, for which a retry is considered.
type FailedAttempt struct {
	// Attempts is the number of attempts so far, including the failed one.
	Attempts int
	// Ran states whether the failed attempt may have run.
	Ran fleet.Ran
	// Repeatable is true when the request may run more than once.
	Repeatable bool
	// Deadline is the latest time for the first byte of an answer; zero means none.
	Deadline time.Time
	// Random is a random number in [0, 1) for the jitter of the wait.
	Random float64
}

// RetryReason is the reason for a retry decision, used in logs and metrics.
type RetryReason string

// Reasons of retry decisions.
const (
	RetryAllowed           RetryReason = "allowed"
	RetryMayHaveRun        RetryReason = "the request may have run and may not be repeated"
	RetryAttemptsExhausted RetryReason = "the request was sent as often as allowed"
	RetryBudgetExhausted   RetryReason = "the retry budget is spent"
	RetryExceedsDeadline   RetryReason = "the wait would pass the deadline"
)

// RetryDecision is the result of Decide.
type RetryDecision struct {
	Allowed bool
	// Wait is the time to wait before the retry, with jitter.
	Wait   time.Duration
	Reason RetryReason
}

// RecordSuccess adds a successful request's fraction of a retry to the budget.
func (b *RetryBudget) RecordSuccess() {
	b.balance = min(b.balance+b.settings.Fraction, b.settings.Reserve)
}

// Decide reports whether a failed request is retried. It deducts an allowed retry from the budget.
func (b *RetryBudget) Decide(now time.Time, failed FailedAttempt) RetryDecision {
	if failed.Ran != fleet.NotRun && !failed.Repeatable {
		return RetryDecision{Reason: RetryMayHaveRun}
	}
	if failed.Attempts >= b.settings.MaxAttempts {
		return RetryDecision{Reason: RetryAttemptsExhausted}
	}
	wait := b.backoff(failed.Attempts, failed.Random)
	if !failed.Deadline.IsZero() && now.Add(wait).After(failed.Deadline) {
		return RetryDecision{Reason: RetryExceedsDeadline}
	}
	if b.balance < 1 {
		return RetryDecision{Reason: RetryBudgetExhausted}
	}
	b.balance--
	return RetryDecision{Allowed: true, Wait: wait, Reason: RetryAllowed}
}

// backoff returns a random wait between zero and the attempt's maximum wait ("full jitter").
func (b *RetryBudget) backoff(attempt int, random float64) time.Duration {
	maxWait := b.settings.BackoffBase
	for range attempt - 1 {
		maxWait = min(2*maxWait, b.settings.BackoffMax)
	}
	return time.Duration(random * float64(maxWait))
}
