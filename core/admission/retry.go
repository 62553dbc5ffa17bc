package admission

import (
	"time"

	"agateswitch/core/fleet"
)

// RetrySettings set a retry budget.
type RetrySettings struct {
	// Fraction is how many retries each successful request pays for.
	Fraction float64
	// Reserve is the most retries that are saved up, and what a new budget starts with.
	Reserve float64
	// MaxAttempts is how many times one request is sent at most, the first included.
	MaxAttempts int
	// BackoffBase is the longest wait before the first retry; it doubles with each further one.
	BackoffBase time.Duration
	// BackoffMax bounds the wait before any retry.
	BackoffMax time.Duration
}

// DefaultRetrySettings returns the settings of a router.
func DefaultRetrySettings() RetrySettings {
	return RetrySettings{
		Fraction: 0.1, Reserve: 10, MaxAttempts: 3,
		BackoffBase: 50 * time.Millisecond, BackoffMax: time.Second,
	}
}

// RetryBudget permits retries as a fraction of successful traffic, so that retries cannot
// multiply the load of a failing pool. Keep one for each pool. It is not safe for concurrent use.
type RetryBudget struct {
	settings RetrySettings
	balance  float64
}

// NewRetryBudget makes a budget that holds its reserve.
func NewRetryBudget(settings RetrySettings) *RetryBudget {
	return &RetryBudget{settings: settings, balance: settings.Reserve}
}

// RetryQuestion describes a failed attempt.
type RetryQuestion struct {
	// Attempt counts the attempts made so far; the first failure asks with 1.
	Attempt int
	// Ran tells whether the failed attempt can have run.
	Ran fleet.Ran
	// Repeatable is true when the request may run more than once.
	Repeatable bool
	// Deadline is when the first byte of an answer is due.
	Deadline time.Time
	// Random is in [0, 1) and draws the jitter of the wait.
	Random float64
}

// RetryReason explains a retry decision, for logs and metrics.
type RetryReason string

// Reasons of retry decisions.
const (
	RetryAllowed        RetryReason = "allowed"
	RetryMayHaveRun     RetryReason = "the request may have run and may not be repeated"
	RetryTooMany        RetryReason = "the request was sent as often as allowed"
	RetryBudgetSpent    RetryReason = "the retry budget is spent"
	RetryPassesDeadline RetryReason = "the wait would pass the deadline"
)

// RetryDecision is the answer to a RetryQuestion.
type RetryDecision struct {
	Allowed bool
	// Wait is the time to wait before the retry, with jitter.
	Wait   time.Duration
	Reason RetryReason
}

// Succeed notes a successful request, which pays for a fraction of a retry.
func (b *RetryBudget) Succeed() {
	b.balance = min(b.balance+b.settings.Fraction, b.settings.Reserve)
}

// Decide tells whether a failed request is tried again, and takes an allowed retry from the budget.
func (b *RetryBudget) Decide(now time.Time, question RetryQuestion) RetryDecision {
	if question.Ran != fleet.NotRun && !question.Repeatable {
		return RetryDecision{Reason: RetryMayHaveRun}
	}
	if question.Attempt >= b.settings.MaxAttempts {
		return RetryDecision{Reason: RetryTooMany}
	}
	wait := b.backoff(question.Attempt, question.Random)
	if !question.Deadline.IsZero() && now.Add(wait).After(question.Deadline) {
		return RetryDecision{Reason: RetryPassesDeadline}
	}
	if b.balance < 1 {
		return RetryDecision{Reason: RetryBudgetSpent}
	}
	b.balance--
	return RetryDecision{Allowed: true, Wait: wait, Reason: RetryAllowed}
}

// backoff returns a wait between nothing and the attempt's longest wait ("full jitter").
func (b *RetryBudget) backoff(attempt int, random float64) time.Duration {
	longest := b.settings.BackoffBase
	for range attempt - 1 {
		longest = min(2*longest, b.settings.BackoffMax)
	}
	return time.Duration(random * float64(longest))
}
