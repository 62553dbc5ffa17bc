package claim

import (
	"time"

	"agateswitch/core/fleet"
)

// Condition holds when the revision of a store key is the one given; 0 means absent.
type Condition struct {
	Key      string
	Revision int64
}

// Write puts a value at a store key.
type Write struct {
	Key   string
	Value []byte
}

// Transaction makes all writes if all conditions hold, and else reads all condition keys.
// Without writes it is a read.
type Transaction struct {
	Conditions []Condition
	Writes     []Write
}

// Entry is a store key as found. Revision 0 means absent.
type Entry struct {
	Value    []byte
	Revision int64
}

// Outcome is the store's answer to a transaction.
type Outcome struct {
	// Lost is true when no answer came: the transaction may take effect, now or later.
	Lost bool
	// Applied is true when all conditions held.
	Applied bool
	// Revision is the store's revision after an applied transaction.
	Revision int64
	// Found holds one entry a condition when a condition did not hold.
	Found []Entry
}

// OperationID tells the operations of one shard apart.
type OperationID uint64

// Reply ends an operation.
type Reply struct {
	Operation OperationID
	// Result answers a beginning.
	Result fleet.ClaimResult
	// Recorded answers an end: whether the end is durable.
	Recorded bool
}

// operation is one beginning or end of a call, until it is durable or given up.
type operation struct {
	id    OperationID
	claim fleet.Claim
	// answer is nil for a beginning.
	answer *fleet.ClaimAnswer
	key    string
	// revision is the condition of the write.
	revision int64
	// readFirst is true while the operation's key is to be read before it is written.
	readFirst bool
	// abandoned operations get no reply and are not written again.
	abandoned bool
}

func (o *operation) condition() Condition { return Condition{Key: o.key, Revision: o.revision} }

func (o *operation) write(now time.Time) Write {
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

// applied is the reply to an operation whose write is known to have taken effect.
func (o *operation) applied(revision int64) Reply {
	if o.answer != nil {
		return Reply{Operation: o.id, Recorded: true}
	}
	return Reply{Operation: o.id, Result: fleet.ClaimResult{State: fleet.ClaimGranted, Revision: revision}}
}

// settle handles a key that was found changed. It returns false when the operation is to
// be written again, on the condition of what was found.
func (o *operation) settle(now time.Time, found Entry) (Reply, bool) {
	if found.Revision == 0 {
		return o.unsettled("the claim's record is gone"), true
	}
	r, err := decodeRecord(found.Value)
	if err != nil {
		return o.unsettled(err.Error()), true
	}
	o.revision = found.Revision
	if o.answer == nil {
		result := judge(now, o.claim, r, found.Revision)
		return Reply{Operation: o.id, Result: result}, result.State != ""
	}
	if r.Holder != o.claim.Holder {
		// The record went to another holder, which can only follow a release of this one.
		return Reply{Operation: o.id, Recorded: o.answer.Unsent}, true
	}
	return Reply{Operation: o.id, Recorded: true}, r.Phase != phaseOpen
}

func (o *operation) unsettled(cause string) Reply {
	if o.answer != nil {
		return Reply{Operation: o.id}
	}
	return Reply{Operation: o.id, Result: refused(fleet.RefuseUnknown(fleet.CodeOutcomeUnknown, cause))}
}
