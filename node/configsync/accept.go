package configsync

import (
	"context"
	"encoding/json"
	"time"

	"agateswitch/core/configuration"
	"agateswitch/core/fleet"
	"agateswitch/port"

	"github.com/juju/errors"
)

// storeRetryAfter is what operators are told when the key-value service is down.
const storeRetryAfter = 5 * time.Second

// Change is an operator's change of one item.
type Change struct {
	Key configuration.Key
	// Value is the new value; nil deletes the item.
	Value json.RawMessage
	// Expected is the item's revision that the operator saw; 0 means a new item, and
	// AnyRevision skips the check.
	Expected configuration.Revision
}

// AnyRevision accepts a change whatever the item's revision is.
const AnyRevision configuration.Revision = -1

// Result tells what became of a change.
type Result struct {
	// Revision is the fleet's revision at which the change was accepted.
	Revision configuration.Revision
	// Refusal is set when the change was not accepted.
	Refusal *fleet.Refusal
	// Problems holds the faults of a value that was not accepted.
	Problems []configuration.Problem
	// Found is the item in place when Expected did not match.
	Found *configuration.Item
}

// Accept validates a change and makes it durable. It is accepted exactly when the
// transaction is confirmed; a lost answer is settled by reading back.
func (s *Service) Accept(ctx context.Context, change Change) Result {
	if change.Value != nil {
		problems := configuration.ValidateItem(change.Key, change.Value, s.Current())
		if len(problems) > 0 {
			return Result{Problems: problems, Refusal: fleet.Refuse(fleet.CodeInvalid, "the value has problems", 0)}
		}
	}
	headEntry, err := s.store.Get(ctx, headKey)
	if err != nil {
		return storeDown(err)
	}
	itemEntry, err := s.store.Get(ctx, itemKey(change.Key))
	if err != nil {
		return storeDown(err)
	}
	current, err := decodeHead(headEntry.Value)
	if err != nil {
		return storeDown(err)
	}
	if conflict := checkExpected(change, itemEntry); conflict != nil {
		return *conflict
	}
	item := configuration.Item{
		Key: change.Key, Revision: current.Revision + 1, Deleted: change.Value == nil, Value: change.Value,
	}
	return s.commit(ctx, item, headEntry, itemEntry)
}

func checkExpected(change Change, found port.Entry) *Result {
	if change.Expected == AnyRevision {
		return nil
	}
	var item configuration.Item
	if found.Revision != 0 {
		decoded, err := decodeItem(found.Value)
		if err != nil {
			result := storeDown(err)
			return &result
		}
		item = decoded
	}
	if item.Revision == change.Expected || (item.Deleted && change.Expected == 0) {
		return nil
	}
	refusal := fleet.Refuse(fleet.CodeConflict, "the item has changed since it was read", 0)
	return &Result{Refusal: refusal, Found: &item}
}

func (s *Service) commit(ctx context.Context, item configuration.Item, headEntry, itemEntry port.Entry) Result {
	headValue, err := json.Marshal(head{Revision: item.Revision})
	if err != nil {
		return storeDown(err)
	}
	itemValue, err := json.Marshal(item)
	if err != nil {
		return storeDown(err)
	}
	result, err := s.store.Commit(ctx, port.Transaction{
		Conditions: []port.Condition{
			{Key: headKey, Revision: headEntry.Revision},
			{Key: itemKey(item.Key), Revision: itemEntry.Revision},
		},
		Writes: []port.Write{
			{Key: headKey, Value: headValue},
			{Key: itemKey(item.Key), Value: itemValue},
		},
	})
	if err != nil {
		return storeDown(err)
	}
	if !result.Applied {
		return Result{Refusal: fleet.Refuse(fleet.CodeConflict, "another change was accepted first", time.Second)}
	}
	s.telemetry.Log.Info("configuration accepted", "item", item.Key.String(), "revision", item.Revision)
	return Result{Revision: item.Revision}
}

func storeDown(err error) Result {
	if errors.Is(err, port.ErrUnavailable) {
		return Result{Refusal: &fleet.Refusal{
			Code: fleet.CodeStoreDown, Message: "the key-value service gave no answer",
			Ran: fleet.RanUnknown, RetryAfter: storeRetryAfter,
		}}
	}
	return Result{Refusal: fleet.RefuseUnknown(fleet.CodeInternal, err.Error())}
}
