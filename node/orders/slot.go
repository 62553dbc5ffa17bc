package orders

import (
	"context"
	"encoding/json"
	"time"

	"agateswitch/core/order"
	"agateswitch/port"

	"github.com/juju/errors"
)

const slotKey = "agateswitch/orders/slot"

// slot is when the weight store may be read next. It is kept in the key-value service, so
// that the rate holds from one holder of the lease to the next.
type slot struct {
	Next     time.Time `json:"next"`
	revision int64
}

func readSlot(ctx context.Context, store port.Store) (slot, error) {
	entry, err := store.Get(ctx, slotKey)
	if err != nil {
		return slot{}, err
	}
	read := slot{revision: entry.Revision}
	if len(entry.Value) == 0 {
		return read, nil
	}
	return read, errors.Annotate(json.Unmarshal(entry.Value, &read), "decoding the slot of the weight store")
}

// take uses the slot up. A lost answer counts as an error: the slot may be used up, which
// costs time only.
func (s slot) take(ctx context.Context, store port.Store, now time.Time) error {
	value, err := json.Marshal(slot{Next: now.Add(order.SlotInterval)})
	if err != nil {
		return errors.Trace(err)
	}
	result, err := store.Commit(ctx, port.Transaction{
		Conditions: []port.Condition{{Key: slotKey, Revision: s.revision}},
		Writes:     []port.Write{{Key: slotKey, Value: value}},
	})
	if err == nil && !result.Applied {
		return errors.New("another holder has taken it")
	}
	return err
}
