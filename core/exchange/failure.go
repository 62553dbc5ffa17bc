// Package exchange holds the decisions about one exchange with an upstream: what a
// failure says about whether the request ran, which events of a stream go on to the
// caller, when a connection counts as silent, and when a stream is given up.
package exchange

import "agateswitch/core/fleet"

// Fault names the way in which an exchange failed.
type Fault string

// Faults of exchanges.
const (
	// FaultUnreachable means that no connection was made.
	FaultUnreachable Fault = "unreachable"
	// FaultLost means that the connection ended before the answer's header.
	FaultLost Fault = "lost"
	// FaultSilent means that nothing came within the silence limit.
	FaultSilent Fault = "silent"
	// FaultStalled means that the connection lived, but no event came within the stall limit.
	FaultStalled Fault = "stalled"
	// FaultMismatched means that the answer carried another request's id.
	FaultMismatched Fault = "mismatched"
	// FaultTruncated means that the answer ended before its end.
	FaultTruncated Fault = "truncated"
	// FaultUnframed means that the answer's end cannot be told from a lost connection.
	FaultUnframed Fault = "unframed"
	// FaultGap means that an event of a stream is missing.
	FaultGap Fault = "gap"
	// FaultMalformed means that the answer is not in its format.
	FaultMalformed Fault = "malformed"
	// FaultTooLarge means that the answer is larger than what is passed on.
	FaultTooLarge Fault = "too_large"
	// FaultForgotten means that the upstream does not know the request any more.
	FaultForgotten Fault = "forgotten"
	// FaultRejected means that the upstream answered with an error of its own.
	FaultRejected Fault = "rejected"
	// FaultCancelled means that the caller went away.
	FaultCancelled Fault = "cancelled"
)

// Failure is how an exchange failed.
type Failure struct {
	Fault Fault
	// Sent is false only when no byte of the request can have reached the upstream.
	Sent bool
	// Produced is true when a part of the request's answer came back.
	Produced bool
}

// Ran tells whether the request can have run. It is NotRun only when nothing was sent,
// and DidRun only when a part of the answer proves it.
func (f Failure) Ran() fleet.Ran {
	switch {
	case f.Produced:
		return fleet.DidRun
	case f.Sent:
		return fleet.RanUnknown
	default:
		return fleet.NotRun
	}
}

// IsResumable tells whether the same answer may be had over a new connection to the
// same upstream, which has the request from an earlier one.
func (f Failure) IsResumable() bool {
	switch f.Fault {
	case FaultUnreachable, FaultLost, FaultSilent, FaultMismatched, FaultTruncated, FaultUnframed, FaultGap, FaultMalformed:
		return f.Sent
	default:
		return false
	}
}

// IsRetryable tells whether the request may be sent to another upstream. A request
// whose answer has reached the caller in part may not: another upstream's text differs.
func (f Failure) IsRetryable(idempotent bool) bool {
	if f.Produced || f.Fault == FaultCancelled || f.Fault == FaultTooLarge {
		return false
	}
	return idempotent || !f.Sent
}

// Code returns the code of the refusal that tells the caller of the failure.
func (f Failure) Code() fleet.Code {
	switch {
	case f.Produced:
		return fleet.CodeResumeImpossible
	case f.Sent:
		return fleet.CodeOutcomeUnknown
	default:
		return fleet.CodeUpstreamFailed
	}
}
