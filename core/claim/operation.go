package claim

import (
	"time"

	"agateswitch/core/fleet"
)

// Condition requires that a store key has the given revision. Revision 0 means that the key is
// absent.
type Condition struct {
	Key      string
	Revision int64
}

// Write sets the value of a store key.
type Write struct {
	Key   string
	Value []byte
}

// Transaction applies all writes if all conditions hold; otherwise it reads the keys of all
// conditions. A transaction without writes is a read.
type Transaction struct {
	Conditions []Condition
	Writes     []Write
}

// Entry is the state of a store key. Revision 0 means that the key is absent.
type Entry struct {
	Value    []byte
	Revision int64
}

// Outcome is the store's response to a transaction.
type Outcome struct {
	// Lost is true when no response arrived. The transaction may have taken effect or may still
	// take effect later.
	Lost bool
	// Applied is true when all conditions held.
	Applied bool
	// Revision is the store's revision after an applied transaction.
	Revision int64
	// Found holds one entry per condition if a condition did not hold.
	Found []Entry
}

// OperationID identifies an operation within one shard.
type OperationID uint64

// Reply is the result of an operation.
type Reply struct {
	Operation OperationID
	// Result is the result of Begin.
	Result fleet.ClaimResult
	// Recorded is the result of Finish: whether the end of the call is durable.
	Recorded bool
}

// operation is a pending Begin or Finish of a call. It exists until it is durable or abandoned.
type operation struct {
	id    OperationID
	claim fleet.Claim
	// answer is nil for Begin.
	answer *fleet.ClaimAnswer
	key    string
	// revision is the revision that the key must have for the write to apply.
	revision int64
	// expired is the open record of a call whose outcome can no longer be learnt. The operation closes
	// it before a caller is told so; otherwise its holder could still release it for another call.
	expired *record
	// readFirst is true while the key must be read before it is written.
	readFirst bool
	// abandoned is true for an operation that gets no reply from HandleOutcome and is not
	// written again.
	abandoned bool
}

func (o *operation) condition() Condition { return Condition{Key: o.key, Revision: o.revision} }

func (o *operation) write(now time.Time) Write {
	if o.expired != nil {
		closed := *o.expired
		closed.Phase, closed.Answer = phaseEnded, &fleet.ClaimAnswer{Unknown: true}
		return Write{Key: o.key, Value: closed.encode()}
	}
	r := record{
		Phase: phaseOpen, BodyDigest: o.claim.BodyDigest, Holder: o.claim.Holder, Host: o.claim.Host, Begun: now,
	}
	if o.answer != nil {
		r.Begun = o.claim.Begun
		r.Phase, r.Answer = phaseEnded, o.answer
	}
	if o.answer != nil && o.answer.Unsent {
		r.Phase, r.Answer = phaseReleased, nil
	}
	return Write{Key: o.key, Value: r.encode()}
}

// appliedReply returns the reply to an operation whose write has taken effect.
func (o *operation) appliedReply(revision int64) Reply {
	switch {
	case o.answer != nil:
		return Reply{Operation: o.id, Recorded: true}
	case o.expired != nil:
		return o.unknownOutcome("the call may have run; the router that sent it was lost before it recorded an answer")
	}
	return Reply{Operation: o.id, Result: fleet.ClaimResult{State: fleet.ClaimGranted, Revision: revision}}
}

// resolve handles a key whose revision differs from the operation's condition. It returns false
// if the operation must be written again, conditional on the revision that was found.
func (o *operation) resolve(now time.Time, found Entry) (Reply, bool) {
	if found.Revision == 0 {
		return o.unknownOutcome("the claim's record is gone"), true
	}
	r, err := decodeRecord(found.Value)
	if err != nil {
		return o.unknownOutcome(err.Error()), true
	}
	o.revision, o.expired = found.Revision, nil
	if o.answer == nil && r.isExpired(now, o.claim) {
		o.expired = &r
		return Reply{}, false
	}
	if o.answer == nil {
		result := evaluate(now, o.claim, r, found.Revision)
		return Reply{Operation: o.id, Result: result}, result.State != ""
	}
	if r.Holder != o.claim.Holder {
		// Another holder has the record, so this holder's claim must have been released.
		return Reply{Operation: o.id, Recorded: o.answer.Unsent}, true
	}
	return Reply{Operation: o.id, Recorded: true}, r.Phase != phaseOpen
}

// unknownOutcome returns the reply to an operation whose outcome is unknown for the given cause.
func (o *operation) unknownOutcome(cause string) Reply {
	if o.answer != nil {
		return Reply{Operation: o.id}
	}
	return Reply{Operation: o.id, Result: refused(fleet.RefuseUnknown(fleet.CodeOutcomeUnknown, cause))}
}
