// Package exchange makes the decisions about one exchange with an upstream: whether a failed
// request may have run, which events of a stream are delivered to the caller, when a connection is
// replaced because it delivers nothing, and when a stream is given up.
package exchange

import "agateswitch/core/fleet"

// Fault names the way in which an exchange failed.
type Fault string

// Faults of exchanges.
const (
	// FaultUnreachable means that no connection was established.
	FaultUnreachable Fault = "unreachable"
	// FaultLost means that the connection closed before the answer's header arrived.
	FaultLost Fault = "lost"
	// FaultSilent means that no byte arrived within the silence limit, or no event within the
	// keep-alive limit.
	FaultSilent Fault = "silent"
	// FaultStalled means that no event arrived within the stall limit, over all connections.
	FaultStalled Fault = "stalled"
	// FaultMismatched means that the answer carries another request's id.
	FaultMismatched Fault = "mismatched"
	// FaultTruncated means that the answer ended before it was complete.
	FaultTruncated Fault = "truncated"
	// FaultUnframed means that the answer has no framing, so that its end cannot be distinguished
	// from a lost connection.
	FaultUnframed Fault = "unframed"
	// FaultGap means that an event of a stream is missing.
	FaultGap Fault = "gap"
	// FaultMalformed means that the answer violates its format.
	FaultMalformed Fault = "malformed"
	// FaultTooLarge means that the answer exceeds the size limit.
	FaultTooLarge Fault = "too_large"
	// FaultRequestUnknown means that the upstream no longer has the request.
	FaultRequestUnknown Fault = "forgotten"
	// FaultRejected means that the upstream responded with an error.
	FaultRejected Fault = "rejected"
	// FaultWithdrawn means that the call was withdrawn before any byte of it was sent.
	FaultWithdrawn Fault = "withdrawn"
	// FaultCancelled means that the caller disconnected.
	FaultCancelled Fault = "cancelled"
)

// Failure describes a failed exchange.
type Failure struct {
	Fault Fault
	// Sent is false only when no byte of the request can have reached the upstream.
	Sent bool
	// PartialAnswer is true when a part of the request's answer arrived.
	PartialAnswer bool
}

// Ran returns whether the request may have run. It returns NotRun only if nothing was sent, and
// DidRun only if a part of the answer arrived.
func (f Failure) Ran() fleet.Ran {
	switch {
	case f.PartialAnswer:
		return fleet.DidRun
	case f.Sent:
		return fleet.RanUnknown
	default:
		return fleet.NotRun
	}
}

// IsResumable reports whether a new connection to the same upstream, which already has the
// request, may return the same answer.
func (f Failure) IsResumable() bool {
	switch f.Fault {
	case FaultUnreachable, FaultLost, FaultSilent, FaultMismatched, FaultTruncated, FaultUnframed, FaultGap, FaultMalformed:
		return f.Sent
	default:
		return false
	}
}

// IsRetryable reports whether the request may be sent to another upstream. A request with a
// partial answer may not, because another upstream returns a different text.
func (f Failure) IsRetryable(idempotent bool) bool {
	if f.PartialAnswer || f.Fault == FaultCancelled || f.Fault == FaultTooLarge {
		return false
	}
	return idempotent || !f.Sent
}

// Code returns the code of the refusal that the caller receives for the failure.
func (f Failure) Code() fleet.Code {
	switch {
	case f.PartialAnswer:
		return fleet.CodeResumeImpossible
	case f.Sent:
		return fleet.CodeOutcomeUnknown
	default:
		return fleet.CodeUpstreamFailed
	}
}
