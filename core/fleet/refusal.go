package fleet

import "time"

// Ran states whether a request may have run on an upstream.
type Ran string

// Values of Ran.
const (
	// NotRun means that no part of the request reached an upstream.
	NotRun Ran = "not_run"
	// DidRun means that an upstream ran the request.
	DidRun Ran = "run"
	// RanUnknown means that the request may have run.
	RanUnknown Ran = "unknown"
)

// Code is the machine-readable cause of a refusal.
type Code string

// Codes of refusals.
const (
	CodeUnauthorized     Code = "unauthorized"
	CodeForbidden        Code = "forbidden"
	CodeBadRequest       Code = "bad_request"
	CodeTooLarge         Code = "too_large"
	CodeHeaderTooLarge   Code = "header_too_large"
	CodeNotFound         Code = "not_found"
	CodeRateLimited      Code = "rate_limited"
	CodeOverloaded       Code = "overloaded"
	CodeNoUpstream       Code = "no_upstream"
	CodeDeadline         Code = "deadline"
	CodeUpstreamFailed   Code = "upstream_failed"
	CodeOutcomeUnknown   Code = "outcome_unknown"
	CodeInProgress       Code = "in_progress"
	CodeKeyReused        Code = "idempotency_key_reused"
	CodeKeyMissing       Code = "idempotency_key_missing"
	CodeStoreDown        Code = "store_down"
	CodeAnswerOmitted    Code = "answer_not_recorded"
	CodeConflict         Code = "conflict"
	CodeInvalid          Code = "invalid"
	CodeStarting         Code = "starting"
	CodeLeaving          Code = "leaving"
	CodeResumeImpossible Code = "resume_impossible"
	CodeQuarantined      Code = "quarantined"
	CodeInternal         Code = "internal"
)

// Refusal is a final answer that the router gives instead of an upstream. It is a value and
// not a failure of the router: it is sent to the caller unchanged.
type Refusal struct {
	Code    Code
	Message string
	Ran     Ran
	// RetryAfter is how long the caller should wait before a retry. Zero means that a retry
	// does not help.
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string {
	return string(r.Code) + ": " + r.Message
}

// Refuse returns a refusal of a request that has not run.
func Refuse(code Code, message string, retryAfter time.Duration) *Refusal {
	return &Refusal{Code: code, Message: message, Ran: NotRun, RetryAfter: retryAfter}
}

// RefuseUnknown returns a refusal of a request that may have run.
func RefuseUnknown(code Code, message string) *Refusal {
	return &Refusal{Code: code, Message: message, Ran: RanUnknown}
}
