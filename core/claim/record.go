package claim

import (
	"encoding/json"
	"fmt"
	"time"

	"agateswitch/core/fleet"
)

// Time limits of a claim, counted from its beginning.
const (
	// SendLimit is how long the holder of a claim may wait before it sends the call.
	SendLimit = 5 * time.Second
	// CallLimit is how long the holder waits for the complete answer.
	CallLimit = 60 * time.Second
	// recordMargin allows for recording the answer and for clock skew between routers.
	recordMargin = 15 * time.Second
	// openLimit is the age from which the outcome of an open claim is unknown. By then the call
	// has been sent or never will be.
	openLimit = SendLimit + CallLimit + recordMargin
)

// inProgressRetryAfter is the Retry-After value for a resend while the call is in progress.
const inProgressRetryAfter = 2 * time.Second

// phase is the state of a claim's record.
type phase string

const (
	// phaseOpen means that the holder may send the call, is sending it, or has crashed.
	phaseOpen phase = "open"
	// phaseReleased means that the holder has not sent the call and never will. Another request
	// may acquire the claim.
	phaseReleased phase = "released"
	// phaseEnded means that the call ended with the record's Answer.
	phaseEnded phase = "ended"
)

// record is the durable state of a claim, stored as JSON.
type record struct {
	Phase      phase              `json:"phase"`
	BodyDigest string             `json:"body_digest"`
	Holder     fleet.RequestID    `json:"holder"`
	Host       fleet.HostID       `json:"host"`
	Begun      time.Time          `json:"begun"`
	Answer     *fleet.ClaimAnswer `json:"answer,omitempty"`
}

func (r record) encode() []byte {
	value, err := json.Marshal(r)
	if err != nil {
		// Only a time with a year above 9999 has no JSON encoding.
		panic(fmt.Sprintf("encode claim record: %v", err))
	}
	return value
}

func decodeRecord(value []byte) (record, error) {
	var r record
	if err := json.Unmarshal(value, &r); err != nil {
		return record{}, fmt.Errorf("claim record: %w", err)
	}
	known := r.Phase == phaseOpen || r.Phase == phaseReleased || r.Phase == phaseEnded
	if !known || (r.Phase == phaseEnded) != (r.Answer != nil) {
		return record{}, fmt.Errorf("claim record of phase %q is broken", r.Phase)
	}
	return r, nil
}

// evaluate returns the result of a claim whose key already has a record that is not expired. The
// result's state is empty when the claim may replace the record.
func evaluate(now time.Time, claim fleet.Claim, found record, revision int64) fleet.ClaimResult {
	switch {
	case found.BodyDigest != claim.BodyDigest:
		return refused(fleet.Refuse(fleet.CodeKeyReused, "the idempotency key was used with another request", 0))
	case found.Phase == phaseReleased && found.Holder == claim.Holder:
		return refused(fleet.Refuse(fleet.CodeStoreDown, "the call was given up before its claim was durable", inProgressRetryAfter))
	case found.Phase == phaseReleased:
		return fleet.ClaimResult{}
	case found.Phase == phaseEnded:
		return evaluateAnswer(*found.Answer)
	case found.Holder == claim.Holder:
		return fleet.ClaimResult{State: fleet.ClaimGranted, Revision: revision}
	default:
		return refused(&fleet.Refusal{
			Code: fleet.CodeInProgress, Message: "the same call is in progress",
			Ran: fleet.RanUnknown, RetryAfter: inProgressRetryAfter,
		})
	}
}

// isExpired reports whether a claim found the open record of another holder that has had the time to
// send its call and to record the answer.
func (r record) isExpired(now time.Time, claim fleet.Claim) bool {
	return r.Phase == phaseOpen && r.Holder != claim.Holder && r.BodyDigest == claim.BodyDigest &&
		!now.Before(r.Begun.Add(openLimit))
}

// evaluateAnswer returns the result of a claim whose call has already ended.
func evaluateAnswer(answer fleet.ClaimAnswer) fleet.ClaimResult {
	switch {
	case answer.Unknown:
		return refused(fleet.RefuseUnknown(fleet.CodeOutcomeUnknown, "the call may have run and its answer is lost"))
	case answer.BodyOmitted:
		message := fmt.Sprintf("the call ran with status %d; its answer was too large to be recorded", answer.Status)
		return refused(&fleet.Refusal{Code: fleet.CodeAnswerOmitted, Message: message, Ran: fleet.DidRun})
	default:
		return fleet.ClaimResult{State: fleet.ClaimRecorded, Answer: answer}
	}
}

func refused(refusal *fleet.Refusal) fleet.ClaimResult {
	return fleet.ClaimResult{State: fleet.ClaimRefused, Refusal: refusal}
}
