package claim

import (
	"time"

	"agateswitch/core/fleet"
)

// Limits of a group.
const (
	// maxGroupOperations is below the 128 operations that etcd takes in a transaction.
	maxGroupOperations = 100
	// maxGroupBytes of values is below the megabyte that a request may hold.
	maxGroupBytes = 512 << 10
	// maxWaiting bounds the operations that wait in a shard.
	maxWaiting = 4096
)

// Rates of a shard.
const (
	// DefaultWritesPerSecond is the fleet's share of the store's writes for claims.
	DefaultWritesPerSecond = 100
	// commitBurst lets a lone call commit its claim and its answer without waiting.
	commitBurst = 2
	// retryMin and retryMax bound the pause after a lost answer, which doubles each time.
	retryMin = 50 * time.Millisecond
	retryMax = time.Second
)

// resendAge is the age of a key from which its call is taken for a resend, whose record is
// read before a write is tried.
const resendAge = 5 * time.Second

// storeDownRetryAfter is when a caller is told to come back in an outage of the store.
const storeDownRetryAfter = 5 * time.Second

// Shard groups the operations of one claim shard at one router. Several routers may run
// the same shard at once: the conditions of their writes keep them apart. It is not safe
// for concurrent use.
type Shard struct {
	rate     float64
	tokens   float64
	filled   time.Time
	retryAt  time.Time
	failures int

	lastID   OperationID
	waiting  []*operation
	inFlight []*operation
	writing  bool

	memory memory
}

// NewShard makes a shard that may write at its part of a fleet-wide rate.
func NewShard(now time.Time, writesPerSecond float64) *Shard {
	return &Shard{
		rate: writesPerSecond / Shards, tokens: commitBurst, filled: now, memory: newMemory(),
	}
}

// SetFirst tells the shard whether this router ranks first for it.
func (s *Shard) SetFirst(now time.Time, first bool) { s.memory.setFirst(now, first) }

// NoteForeign tells the shard that another router took claims of it.
func (s *Shard) NoteForeign(now time.Time) { s.memory.reset(now) }

// Begin takes a claim. The reply comes at once when ok is false, else later.
func (s *Shard) Begin(now time.Time, claim fleet.Claim) (id OperationID, reply Reply, ok bool) {
	s.lastID++
	if refusal := CheckKey(now, claim.Key); refusal != nil {
		return s.lastID, Reply{Operation: s.lastID, Result: refused(refusal)}, false
	}
	if len(s.waiting) >= maxWaiting {
		refusal := s.refuse(now, claim, fleet.CodeOverloaded, "too many non-idempotent calls wait for the store")
		return s.lastID, Reply{Operation: s.lastID, Result: refused(refusal)}, false
	}
	keyTime, _ := KeyTime(claim.Key)
	resend := s.memory.note(now, claim) || keyTime.Before(now.Add(-resendAge))
	s.waiting = append(s.waiting, &operation{
		id: s.lastID, claim: claim, key: storeKey(claim), readFirst: resend,
	})
	return s.lastID, Reply{}, true
}

// Finish takes the end of a call. Its claim carries the granted revision; an unsent call
// whose claim was never granted leaves a released record, which keeps out a late write.
func (s *Shard) Finish(now time.Time, claim fleet.Claim, answer fleet.ClaimAnswer) OperationID {
	s.lastID++
	if answer.Unsent {
		s.memory.forget(claim)
	}
	if len(answer.Body) > fleet.MaxRecordedBodyBytes {
		answer.Body, answer.BodyOmitted = nil, true
	}
	s.waiting = append(s.waiting, &operation{
		id: s.lastID, claim: claim, answer: &answer, key: storeKey(claim), revision: claim.Revision,
	})
	return s.lastID
}

// Abandon gives up an operation whose time has passed and returns its reply. A write in
// flight may still take effect: nobody sends because of it.
func (s *Shard) Abandon(now time.Time, id OperationID) Reply {
	for _, group := range [][]*operation{s.waiting, s.inFlight} {
		for _, o := range group {
			if o.id == id {
				o.abandoned = true
				return s.abandoned(now, o)
			}
		}
	}
	return Reply{Operation: id}
}

func (s *Shard) abandoned(now time.Time, o *operation) Reply {
	if o.answer != nil {
		return Reply{Operation: o.id}
	}
	refusal := s.refuse(now, o.claim, fleet.CodeStoreDown, "the claim could not be made durable in the key-value service")
	return Reply{Operation: o.id, Result: refused(refusal)}
}

// refuse gives up a claim that was not granted. "Not run" is said only when no earlier
// call with the key can have run.
func (s *Shard) refuse(now time.Time, claim fleet.Claim, code fleet.Code, message string) *fleet.Refusal {
	refusal := fleet.Refuse(code, message+"; the call was not sent", storeDownRetryAfter)
	if !s.memory.isFirstCall(now, claim) {
		refusal.Ran = fleet.RanUnknown
		refusal.Message = message + "; this call was not sent, an earlier one with its key may have run"
	}
	return refusal
}

// Next returns the transaction to make now, if there is one. Done must follow.
func (s *Shard) Next(now time.Time) (Transaction, bool) {
	s.dropAbandoned()
	if s.inFlight != nil || len(s.waiting) == 0 || now.Before(s.retryAt) {
		return Transaction{}, false
	}
	s.fill(now)
	if group := s.take(true); len(group) > 0 {
		s.inFlight, s.writing = group, false
		return Transaction{Conditions: conditions(group)}, true
	}
	if s.tokens < 1 {
		return Transaction{}, false
	}
	s.tokens--
	s.inFlight, s.writing = s.take(false), true
	transaction := Transaction{Conditions: conditions(s.inFlight)}
	for _, o := range s.inFlight {
		transaction.Writes = append(transaction.Writes, o.write(now))
	}
	return transaction, true
}

// WakeAt returns when Next may have a transaction. It returns false when that needs
// another operation, or Done, first.
func (s *Shard) WakeAt(now time.Time) (time.Time, bool) {
	s.dropAbandoned()
	if s.inFlight != nil || len(s.waiting) == 0 {
		return time.Time{}, false
	}
	s.fill(now)
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

// fill adds the write tokens of the time since the last call.
func (s *Shard) fill(now time.Time) {
	s.tokens = min(commitBurst, s.tokens+now.Sub(s.filled).Seconds()*s.rate)
	s.filled = now
}

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

// take removes a group of reads or writes from the waiting operations. A store key comes
// once in a transaction.
func (s *Shard) take(reads bool) []*operation {
	var group []*operation
	kept := s.waiting[:0]
	taken := map[string]bool{}
	size := 0
	for _, o := range s.waiting {
		fits := len(group) < maxGroupOperations && size+o.size() <= maxGroupBytes
		if o.readFirst != reads || taken[o.key] || !fits {
			kept = append(kept, o)
			continue
		}
		taken[o.key] = true
		size += o.size()
		group = append(group, o)
	}
	clear(s.waiting[len(kept):])
	s.waiting = kept
	return group
}

// recordOverhead is an upper bound of a record's bytes beside its answer's body.
const recordOverhead = 1 << 10

// size is about the bytes of the operation's write. JSON holds a body in base64.
func (o *operation) size() int {
	if o.answer == nil {
		return recordOverhead
	}
	return recordOverhead + len(o.answer.Body)*4/3
}

func conditions(group []*operation) []Condition {
	list := make([]Condition, 0, len(group))
	for _, o := range group {
		list = append(list, o.condition())
	}
	return list
}

// Done takes the store's answer to the transaction of Next.
func (s *Shard) Done(now time.Time, outcome Outcome) []Reply {
	group, writing := s.inFlight, s.writing
	s.inFlight = nil
	if outcome.Lost {
		s.lost(now, group)
		return nil
	}
	s.failures, s.retryAt = 0, time.Time{}
	var replies []Reply
	var again []*operation
	for i, o := range group {
		reply, settled := Reply{}, false
		switch {
		case !outcome.Applied && outcome.Found[i].Revision != o.revision:
			reply, settled = o.settle(now, outcome.Found[i])
		case outcome.Applied && writing:
			reply, settled = o.applied(outcome.Revision), true
		}
		o.readFirst = false
		switch {
		case !settled:
			again = append(again, o)
		case !o.abandoned:
			replies = append(replies, reply)
		}
	}
	s.waiting = append(again, s.waiting...)
	return replies
}

// lost keeps a group whose answer did not come. Its writes may have taken effect, so its
// keys are read before anything is written again.
func (s *Shard) lost(now time.Time, group []*operation) {
	pause := min(retryMax, retryMin<<min(s.failures, 10))
	s.failures++
	s.retryAt = now.Add(pause)
	for _, o := range group {
		o.readFirst = true
	}
	s.waiting = append(group, s.waiting...)
}

// IsIdle tells whether no operation waits or is in flight.
func (s *Shard) IsIdle() bool { return s.inFlight == nil && len(s.waiting) == 0 }
