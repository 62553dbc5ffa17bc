package claim

import (
	"encoding/json"
	"fmt"
	"time"

	"agateswitch/core/fleet"
)

// Times of a claim, from its beginning.
const (
	// SendLimit is how long the holder of a claim may wait before it sends the call.
	SendLimit = 5 * time.Second
	// CallLimit is how long the holder waits for the complete answer.
	CallLimit = 60 * time.Second
	// endMargin is the time to record an answer, and for clocks that differ.
	endMargin = 15 * time.Second
	// openLimit is when a claim without an end counts as unknown. Its call has been sent or
	// never will be.
	openLimit = SendLimit + CallLimit + endMargin
)

// inProgressRetryAfter is when a caller of a call in progress is told to come back.
const inProgressRetryAfter = 2 * time.Second

// phase is the state of a record.
type phase string

const (
	// phaseOpen: the holder may send the call, is sending it, or died.
	phaseOpen phase = "open"
	// phaseReleased: the holder never sent the call and never will; another may take over.
	phaseReleased phase = "released"
	// phaseEnded: the call ended, as Answer tells.
	phaseEnded phase = "ended"
)

// record is the durable state of a claim.
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
		// Every field of a record has a JSON form, but for years above 9999.
		panic(fmt.Sprintf("claim record without a JSON form: %v", err))
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

// judge tells a caller what an existing record means for its claim. The result's state is
// empty when the claim may take the record over.
func judge(now time.Time, claim fleet.Claim, found record, revision int64) fleet.ClaimResult {
	switch {
	case found.BodyDigest != claim.BodyDigest:
		return refused(fleet.Refuse(fleet.CodeKeyReused, "the idempotency key was used with another request", 0))
	case found.Phase == phaseReleased && found.Holder == claim.Holder:
		return refused(fleet.Refuse(fleet.CodeStoreDown, "the call was given up before its claim was durable", inProgressRetryAfter))
	case found.Phase == phaseReleased:
		return fleet.ClaimResult{}
	case found.Phase == phaseEnded:
		return judgeAnswer(*found.Answer)
	case found.Holder == claim.Holder:
		return fleet.ClaimResult{State: fleet.ClaimGranted, Revision: revision}
	case now.Before(found.Begun.Add(openLimit)):
		return refused(&fleet.Refusal{
			Code: fleet.CodeInProgress, Message: "the same call is in progress",
			Ran: fleet.RanUnknown, RetryAfter: inProgressRetryAfter,
		})
	default:
		return refused(fleet.RefuseUnknown(fleet.CodeOutcomeUnknown,
			"the call may have run; the router that sent it was lost before it recorded an answer"))
	}
}

func judgeAnswer(answer fleet.ClaimAnswer) fleet.ClaimResult {
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
