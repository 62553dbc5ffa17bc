package claim

import (
	"time"

	"agateswitch/core/fleet"
)

// Size limits of transactions and queues.
const (
	// maxGroupOperations is below etcd's limit of 128 operations per transaction.
	maxGroupOperations = 100
	// maxGroupBytes limits the values of a transaction, below the store's request limit of 1 MB.
	maxGroupBytes = 512 << 10
	// maxWaitingOperations bounds the queue of a shard.
	maxWaitingOperations = 4096
)

// Write rate and retry delays of a shard.
const (
	// DefaultWritesPerSecond is the fleet-wide limit of claim writes to the store.
	DefaultWritesPerSecond = 100
	// commitBurst lets a single call commit its claim and its answer without waiting.
	commitBurst = 2
	// minRetryDelay and maxRetryDelay bound the exponential backoff after a lost response.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = time.Second
)

// resendKeyAge is the age of a key from which its call is assumed to be a resend. The record of
// a resend is read before a write is attempted.
const resendKeyAge = 5 * time.Second

// storeDownRetryAfter is the Retry-After value of a refusal during a store outage or overload.
const storeDownRetryAfter = 5 * time.Second

// Shard groups the operations of one claim shard on one router. Several routers may run the
// same shard at once; the conditions on their writes resolve conflicts. A Shard is not safe for
// concurrent use.
type Shard struct {
	// rate is in writes a second.
	rate       float64
	tokens     float64
	refilledAt time.Time
	retryAt    time.Time
	failures   int

	lastID   OperationID
	waiting  []*operation
	inFlight []*operation
	writing  bool

	history history
}

// NewShard returns a shard that may write at its share of a fleet-wide rate.
func NewShard(now time.Time, writesPerSecond float64) *Shard {
	return &Shard{
		rate: writesPerSecond / ShardCount, tokens: commitBurst, refilledAt: now, history: newHistory(),
	}
}

// SetRankedFirst records whether this router ranks first among the shard's owners.
func (s *Shard) SetRankedFirst(now time.Time, rankedFirst bool) {
	s.history.setRankedFirst(now, rankedFirst)
}

// RecordForeignClaims records that another router has accepted claims of this shard.
func (s *Shard) RecordForeignClaims(now time.Time) { s.history.reset(now) }

// Begin queues a claim. If queued is false, the claim is refused and reply is final; otherwise
// HandleOutcome or Abandon returns the reply later.
func (s *Shard) Begin(now time.Time, claim fleet.Claim) (id OperationID, reply Reply, queued bool) {
	s.lastID++
	if refusal := CheckKey(now, claim.Key); refusal != nil {
		return s.lastID, Reply{Operation: s.lastID, Result: refused(refusal)}, false
	}
	if len(s.waiting) >= maxWaitingOperations {
		refusal := s.refuse(now, claim, fleet.CodeOverloaded, "too many non-idempotent calls wait for the store")
		return s.lastID, Reply{Operation: s.lastID, Result: refused(refusal)}, false
	}
	keyTime, _ := KeyTime(claim.Key)
	resend := s.history.add(now, claim) || keyTime.Before(now.Add(-resendKeyAge))
	s.waiting = append(s.waiting, &operation{
		id: s.lastID, claim: claim, key: storeKey(claim), readFirst: resend,
	})
	return s.lastID, Reply{}, true
}

// Finish queues the end of a call. The claim carries the granted revision. For an unsent call
// whose claim was never granted it writes a released record, which blocks a delayed write of the
// claim.
func (s *Shard) Finish(now time.Time, claim fleet.Claim, answer fleet.ClaimAnswer) OperationID {
	s.lastID++
	if answer.Unsent {
		s.history.removeHolder(claim)
	}
	if len(answer.Body) > fleet.MaxRecordedBodyBytes {
		answer.Body, answer.BodyOmitted = nil, true
	}
	s.waiting = append(s.waiting, &operation{
		id: s.lastID, claim: claim, answer: &answer, key: storeKey(claim), revision: claim.Revision,
	})
	return s.lastID
}

// Abandon cancels an operation that has timed out and returns its reply. A write in flight may
// still take effect, but no request sends its call because of it.
func (s *Shard) Abandon(now time.Time, id OperationID) Reply {
	for _, group := range [][]*operation{s.waiting, s.inFlight} {
		for _, o := range group {
			if o.id == id {
				o.abandoned = true
				return s.abandonedReply(now, o)
			}
		}
	}
	return Reply{Operation: id}
}

// abandonedReply returns the reply to an abandoned operation.
func (s *Shard) abandonedReply(now time.Time, o *operation) Reply {
	if o.answer != nil {
		return Reply{Operation: o.id}
	}
	refusal := s.refuse(now, o.claim, fleet.CodeStoreDown, "the claim could not be made durable in the key-value service")
	return Reply{Operation: o.id, Result: refused(refusal)}
}

// refuse returns the refusal of a claim that was not granted. It states that the call has not
// run only if no earlier call with the key can have run.
func (s *Shard) refuse(now time.Time, claim fleet.Claim, code fleet.Code, message string) *fleet.Refusal {
	refusal := fleet.Refuse(code, message+"; the call was not sent", storeDownRetryAfter)
	if !s.history.isFirstCall(now, claim) {
		refusal.Ran = fleet.RanUnknown
		refusal.Message = message + "; this call was not sent, an earlier one with its key may have run"
	}
	return refusal
}

// Next returns the next transaction to commit, if there is one. The caller must pass its outcome
// to HandleOutcome.
func (s *Shard) Next(now time.Time) (Transaction, bool) {
	s.dropAbandoned()
	if s.inFlight != nil || len(s.waiting) == 0 || now.Before(s.retryAt) {
		return Transaction{}, false
	}
	s.refillTokens(now)
	if group := s.dequeueGroup(true); len(group) > 0 {
		s.inFlight, s.writing = group, false
		return Transaction{Conditions: conditions(group)}, true
	}
	if s.tokens < 1 {
		return Transaction{}, false
	}
	s.tokens--
	s.inFlight, s.writing = s.dequeueGroup(false), true
	transaction := Transaction{Conditions: conditions(s.inFlight)}
	for _, o := range s.inFlight {
		transaction.Writes = append(transaction.Writes, o.write(now))
	}
	return transaction, true
}

// WakeAt returns when Next may have a transaction. It returns false if another operation must
// be queued, or HandleOutcome called, first.
func (s *Shard) WakeAt(now time.Time) (time.Time, bool) {
	s.dropAbandoned()
	if s.inFlight != nil || len(s.waiting) == 0 {
		return time.Time{}, false
	}
	s.refillTokens(now)
	wake := now
	if !s.hasReads() && s.tokens < 1 {
		wake = now.Add(time.Duration((1-s.tokens)/s.rate*float64(time.Second)) + time.Nanosecond)
	}
	if wake.Before(s.retryAt) {
		wake = s.retryAt
	}
	return wake, true
}

func (s *Shard) hasReads() bool {
	for _, o := range s.waiting {
		if o.readFirst {
			return true
		}
	}
	return false
}

// refillTokens adds the write tokens for the time since the last call.
func (s *Shard) refillTokens(now time.Time) {
	s.tokens = min(commitBurst, s.tokens+now.Sub(s.refilledAt).Seconds()*s.rate)
	s.refilledAt = now
}

// dropAbandoned removes abandoned operations from the queue.
func (s *Shard) dropAbandoned() {
	kept := s.waiting[:0]
	for _, o := range s.waiting {
		if !o.abandoned {
			kept = append(kept, o)
		}
	}
	clear(s.waiting[len(kept):])
	s.waiting = kept
}

// dequeueGroup removes a group of reads or of writes from the queue. A transaction contains each
// store key at most once.
func (s *Shard) dequeueGroup(reads bool) []*operation {
	var group []*operation
	kept := s.waiting[:0]
	included := map[string]bool{}
	size := 0
	for _, o := range s.waiting {
		fits := len(group) < maxGroupOperations && size+o.size() <= maxGroupBytes
		if o.readFirst != reads || included[o.key] || !fits {
			kept = append(kept, o)
			continue
		}
		included[o.key] = true
		size += o.size()
		group = append(group, o)
	}
	clear(s.waiting[len(kept):])
	s.waiting = kept
	return group
}

// recordOverheadBytes is an upper bound of a record's size without its answer's body.
const recordOverheadBytes = 1 << 10

// size estimates the bytes of the operation's write. JSON encodes a body in base64.
func (o *operation) size() int {
	if o.answer == nil {
		return recordOverheadBytes
	}
	return recordOverheadBytes + len(o.answer.Body)*4/3
}

func conditions(group []*operation) []Condition {
	list := make([]Condition, 0, len(group))
	for _, o := range group {
		list = append(list, o.condition())
	}
	return list
}

// HandleOutcome handles the store's response to the transaction that Next returned. It returns
// the replies to the operations that it completed.
func (s *Shard) HandleOutcome(now time.Time, outcome Outcome) []Reply {
	group, writing := s.inFlight, s.writing
	s.inFlight = nil
	if outcome.Lost {
		s.requeueLost(now, group)
		return nil
	}
	s.failures, s.retryAt = 0, time.Time{}
	var replies []Reply
	var unresolved []*operation
	for i, o := range group {
		reply, resolved := Reply{}, false
		switch {
		case !outcome.Applied && outcome.Found[i].Revision != o.revision:
			reply, resolved = o.resolve(now, outcome.Found[i])
		case outcome.Applied && writing:
			reply, resolved = o.appliedReply(outcome.Revision), true
		}
		o.readFirst = false
		switch {
		case !resolved:
			unresolved = append(unresolved, o)
		case !o.abandoned:
			replies = append(replies, reply)
		}
	}
	s.waiting = append(unresolved, s.waiting...)
	return replies
}

// requeueLost requeues a group whose transaction got no response. Its writes may have taken
// effect, so its keys are read before they are written again.
func (s *Shard) requeueLost(now time.Time, group []*operation) {
	delay := min(maxRetryDelay, minRetryDelay<<min(s.failures, 10))
	s.failures++
	s.retryAt = now.Add(delay)
	for _, o := range group {
		o.readFirst = true
	}
	s.waiting = append(group, s.waiting...)
}

// IsIdle reports whether no operation is queued or in flight.
func (s *Shard) IsIdle() bool { return s.inFlight == nil && len(s.waiting) == 0 }
