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

// settle finds out what became of a transaction whose answer was lost. Sending it again
// is safe, since it is conditional on the head: it takes effect at most once, and once it
// is refused the first one cannot take effect any more either.
func (a *acceptance) settle(ctx context.Context, transaction port.Transaction, next head, item configuration.Item) (Result, bool) {
	a.service.telemetry.Log.Warn("answer to a configuration change lost, reading back",
		"item", item.Key.String(), "revision", item.Revision)
	for {
		result, err := a.service.store.Commit(ctx, transaction)
		if err == nil && result.Applied {
			return a.accepted(next, item), true
		}
		if err == nil {
			entry, err := a.service.store.Get(ctx, itemKey(item.Key))
			if err == nil {
				return a.readBack(entry, next, item)
			}
		}
		if err != nil && !errors.Is(err, port.ErrUnavailable) {
			return a.unknown(item), true
		}
		select {
		case <-time.After(settleInterval):
		case <-ctx.Done():
			return a.unknown(item), true
		}
	}
}

// readBack judges by the item in place, after the head has moved.
func (a *acceptance) readBack(entry port.Entry, next head, item configuration.Item) (Result, bool) {
	found, err := decodeItem(entry.Value)
	if err != nil {
		return a.unknown(item), true
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
		// The item was changed once more; whether that change replaced this one cannot be seen.
		result := a.unknown(item)
		result.Found = &found.Item
		return result, true
	}
}

func (a *acceptance) unknown(item configuration.Item) Result {
	message := fmt.Sprintf("unknown whether the change was accepted: the key-value service gave no answer. Read %s: it is in place if its revision is %d",
		item.Key, item.Revision)
	refusal := fleet.RefuseUnknown(fleet.CodeOutcomeUnknown, message)
	refusal.RetryAfter = storeRetryAfter
	return Result{Refusal: refusal}
}
