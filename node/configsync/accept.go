package configsync

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"agateswitch/core/configuration"
	"agateswitch/core/fleet"
	"agateswitch/port"

	"github.com/google/uuid"
	"github.com/juju/errors"
)

const (
	// storeRetryAfter is the Retry-After of refusals while the key-value service is down.
	storeRetryAfter = 5 * time.Second
	// acceptTimeout limits one call of Accept, including the resolution of a lost answer.
	acceptTimeout = 10 * time.Second
	// resolveInterval is the time between two attempts to resolve a lost answer.
	resolveInterval = 250 * time.Millisecond
	// maxCommitAttempts limits how often a change is tried when unrelated changes precede it.
	maxCommitAttempts = 10
)

// Change is an operator's change of one item.
type Change struct {
	Key configuration.Key
	// Value is the new value; nil deletes the item.
	Value json.RawMessage
	// Expected is the item's revision that the operator read; 0 means a new item. AnyRevision
	// means the revision that the store holds when the change is first attempted.
	Expected configuration.Revision
	// Check returns further problems, given the configuration in force. It may be nil.
	Check func(current *configuration.Snapshot) []configuration.Problem
}

// AnyRevision is a Change.Expected that accepts whatever revision the item has.
const AnyRevision configuration.Revision = -1

// Result is the outcome of a change.
type Result struct {
	// Revision is the fleet's revision at which the change was accepted.
	Revision configuration.Revision
	// Refusal is set when the change was not accepted, or when the outcome is unknown. Its Ran
	// field distinguishes the two.
	Refusal *fleet.Refusal
	// Problems lists the problems of a value that was not accepted.
	Problems []configuration.Problem
	// Found is the stored item when its revision differs from Expected.
	Found *configuration.Item
}

// acceptance is the state of one call of Accept.
type acceptance struct {
	service  *Service
	change   Change
	changeID string
}

// Accept validates a change and stores it durably. The change is accepted if and only if its
// transaction is confirmed; a lost answer is resolved by reading back. When an unrelated change
// is committed first, Accept tries again. When the same item was changed, Accept refuses and
// leaves the decision to the operator.
func (s *Service) Accept(ctx context.Context, change Change) Result {
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	a := &acceptance{service: s, change: change, changeID: uuid.NewString()}
	for range maxCommitAttempts {
		result, final := a.attempt(ctx)
		if final {
			s.logAcceptance(ctx, change, result)
			return result
		}
	}
	busy := fmt.Sprintf("other changes were accepted first, %d times in a row", maxCommitAttempts)
	result := Result{Refusal: fleet.Refuse(fleet.CodeConflict, busy, time.Second)}
	s.logAcceptance(ctx, change, result)
	return result
}

func (s *Service) logAcceptance(ctx context.Context, change Change, result Result) {
	if result.Refusal != nil {
		s.metrics.countRefusal(ctx, result.Refusal.Code)
		s.telemetry.Log.Info("configuration change refused", "item", change.Key.String(),
			"reason", result.Refusal.Code, "message", result.Refusal.Message, "problems", len(result.Problems))
		return
	}
	s.metrics.accepted.Add(ctx, 1)
	s.telemetry.Log.Info("configuration change accepted", "item", change.Key.String(), "revision", result.Revision)
}

// attempt tries to commit the change once. It returns final = false when another change was
// committed between its reads and its transaction.
func (a *acceptance) attempt(ctx context.Context) (result Result, final bool) {
	s := a.service
	headEntry, err := s.store.Get(ctx, headKey)
	if err != nil {
		return notAccepted(err), true
	}
	itemEntry, err := s.store.Get(ctx, itemKey(a.change.Key))
	if err != nil {
		return notAccepted(err), true
	}
	stored, err := decodeHead(headEntry.Value)
	if err != nil {
		return notAccepted(err), true
	}
	if refused := a.catchUp(ctx, stored); refused != nil {
		return *refused, true
	}
	found, err := decodeItem(itemEntry.Value)
	if err != nil {
		return notAccepted(err), true
	}
	if conflict := a.checkExpected(found.Item); conflict != nil {
		return *conflict, true
	}
	if problems := a.problems(s.Current()); len(problems) > 0 {
		refusal := fleet.Refuse(fleet.CodeInvalid, "the change has problems", 0)
		return Result{Refusal: refusal, Problems: problems}, true
	}
	return a.commit(ctx, stored, headEntry, itemEntry)
}

// catchUp updates this router to the store's head, since a change must be validated against the
// revision on which it is committed. It returns a refusal if the head is below the revision in
// force.
func (a *acceptance) catchUp(ctx context.Context, stored head) *Result {
	s := a.service
	if s.refuseLowerHead(stored) {
		message := fmt.Sprintf("the key-value service holds configuration revision %d, but %d is in force: it was replaced or wiped; restore it first",
			stored.Revision, s.Current().Revision())
		return &Result{Refusal: fleet.Refuse(fleet.CodeConflict, message, 0)}
	}
	if stored.Revision == s.Current().Revision() {
		return nil
	}
	if _, err := s.readAll(ctx); err != nil {
		result := notAccepted(err)
		return &result
	}
	return nil
}

// problems returns all problems of the change against the configuration in force.
func (a *acceptance) problems(current *configuration.Snapshot) []configuration.Problem {
	var problems []configuration.Problem
	if a.change.Value == nil {
		problems = configuration.ValidateDelete(a.change.Key, current)
	} else {
		problems = configuration.ValidateItem(a.change.Key, a.change.Value, current)
	}
	if a.change.Check != nil {
		problems = append(problems, a.change.Check(current)...)
	}
	return problems
}

// checkExpected compares the stored item's revision with the expected one. For AnyRevision, the
// revision read by the first attempt becomes the expected one, so only one of two racing
// operators succeeds.
func (a *acceptance) checkExpected(found configuration.Item) *Result {
	if a.change.Expected == AnyRevision {
		a.change.Expected = found.Revision
		return nil
	}
	if found.Revision == a.change.Expected || (found.Deleted && a.change.Expected == 0) {
		return nil
	}
	refusal := fleet.Refuse(fleet.CodeConflict, "the item has changed since it was read", 0)
	return &Result{Refusal: refusal, Found: &found}
}

// commit writes the change to the store. Its results are those of attempt.
func (a *acceptance) commit(ctx context.Context, stored head, headEntry, itemEntry port.Entry) (Result, bool) {
	item := configuration.Item{
		Key: a.change.Key, Revision: stored.Revision + 1, Deleted: a.change.Value == nil, Value: a.change.Value,
	}
	next := head{Revision: item.Revision, Floor: stored.Floor}
	compacted := a.service.compactable(a.change.Key)
	for _, tombstone := range compacted {
		next.Floor = max(next.Floor, tombstone.Revision)
	}
	transaction, err := a.transaction(next, item, headEntry, itemEntry, compacted)
	if err != nil {
		return notAccepted(err), true
	}
	result, err := a.service.store.Commit(ctx, transaction)
	switch {
	case errors.Is(err, port.ErrUnavailable):
		return a.resolveOutcome(ctx, transaction, next, item)
	case err != nil:
		return notAccepted(err), true
	case !result.Applied:
		return Result{}, false
	default:
		return a.accepted(next, item), true
	}
}

// transaction returns the transaction that writes the item and the head and deletes the compacted
// tombstones, provided that neither the head nor the item has changed.
func (a *acceptance) transaction(next head, item configuration.Item, headEntry, itemEntry port.Entry,
	compacted []configuration.Item) (port.Transaction, error) {
	headValue, err := json.Marshal(next)
	if err != nil {
		return port.Transaction{}, errors.Trace(err)
	}
	itemValue, err := json.Marshal(storedItem{Item: item, ChangeID: a.changeID})
	if err != nil {
		return port.Transaction{}, errors.Trace(err)
	}
	transaction := port.Transaction{
		Conditions: []port.Condition{
			{Key: headKey, Revision: headEntry.Revision},
			{Key: itemKey(item.Key), Revision: itemEntry.Revision},
		},
		// The head is written last, so a watcher has received the item when it reads the revision.
		Writes: []port.Write{{Key: itemKey(item.Key), Value: itemValue}},
	}
	for _, tombstone := range compacted {
		transaction.Writes = append(transaction.Writes, port.Write{Key: itemKey(tombstone.Key), Delete: true})
	}
	transaction.Writes = append(transaction.Writes, port.Write{Key: headKey, Value: headValue})
	return transaction, nil
}

// accepted applies the change on this router at once. Pushes and exchanges deliver it to the
// others.
func (a *acceptance) accepted(next head, item configuration.Item) Result {
	delta := configuration.Delta{
		From: item.Revision - 1, To: item.Revision, Floor: next.Floor, Items: []configuration.Item{item},
	}
	a.service.apply(delta, "accepted here")
	return Result{Revision: item.Revision}
}

// notAccepted returns the refusal for a failure before anything was written.
func notAccepted(err error) Result {
	if errors.Is(err, port.ErrUnavailable) {
		return Result{Refusal: fleet.Refuse(fleet.CodeStoreDown, "the key-value service gave no answer; nothing was changed", storeRetryAfter)}
	}
	return Result{Refusal: fleet.Refuse(fleet.CodeInternal, err.Error(), 0)}
}
