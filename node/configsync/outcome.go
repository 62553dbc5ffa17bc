package configsync

import (
	"context"
	"fmt"
	"time"

	"agateswitch/core/configuration"
	"agateswitch/core/fleet"
	"agateswitch/port"

	"github.com/juju/errors"
)

// resolveOutcome determines the outcome of a transaction whose answer was lost, by committing it
// again. This is safe because the transaction is conditional on the head: it takes effect at most
// once, and after the second commit is refused the first can no longer take effect.
func (a *acceptance) resolveOutcome(ctx context.Context, transaction port.Transaction, next head, item configuration.Item) (Result, bool) {
	a.service.telemetry.Log.Warn("key-value service did not answer a configuration change; determining its outcome",
		"item", item.Key.String(), "revision", item.Revision)
	for {
		result, err := a.service.store.Commit(ctx, transaction)
		if err == nil && result.Applied {
			return a.accepted(next, item), true
		}
		if err == nil {
			entry, err := a.service.store.Get(ctx, itemKey(item.Key))
			if err == nil {
				return a.resolveFromItem(entry, next, item)
			}
		}
		if err != nil && !errors.Is(err, port.ErrUnavailable) {
			return a.unknownOutcome(item), true
		}
		select {
		case <-time.After(resolveInterval):
		case <-ctx.Done():
			return a.unknownOutcome(item), true
		}
	}
}

// resolveFromItem determines the outcome from the stored item, once the head has changed.
func (a *acceptance) resolveFromItem(entry port.Entry, next head, item configuration.Item) (Result, bool) {
	found, err := decodeItem(entry.Value)
	if err != nil {
		return a.unknownOutcome(item), true
	}
	switch {
	case found.ChangeID == a.changeID && found.Revision == item.Revision:
		return a.accepted(next, item), true
	case found.Revision < item.Revision:
		return Result{}, false
	case found.Revision == item.Revision:
		refusal := fleet.Refuse(fleet.CodeConflict, "another change of the item was accepted first", 0)
		return Result{Refusal: refusal, Found: &found.Item}, true
	default:
		// The item was changed again. Whether that change replaced this one can't be determined.
		result := a.unknownOutcome(item)
		result.Found = &found.Item
		return result, true
	}
}

// unknownOutcome returns the result for a change that may or may not have been accepted.
func (a *acceptance) unknownOutcome(item configuration.Item) Result {
	message := fmt.Sprintf("unknown whether the change was accepted: the key-value service gave no answer. Read %s: it is in place if its revision is %d",
		item.Key, item.Revision)
	refusal := fleet.RefuseUnknown(fleet.CodeOutcomeUnknown, message)
	refusal.RetryAfter = storeRetryAfter
	return Result{Refusal: refusal}
}
