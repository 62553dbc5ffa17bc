package orders

import (
	"context"
	"encoding/json"
	"time"

	"agateswitch/core/order"
	"agateswitch/core/revision"
	"agateswitch/port"

	"github.com/juju/errors"
)

// slotKey is the key of the slot in the key-value service.
const slotKey = "agateswitch/orders/slot"

// slot is the earliest time of the next read from the weight store. It is stored in the key-value
// service, so that the rate limit applies across successive lease holders.
type slot struct {
	Next     time.Time `json:"next"`
	revision revision.Revision
}

// readSlot reads the slot from the store; a missing slot is free.
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

// reserve reserves the slot by a compare-and-swap. It returns an error if the answer is lost, although
// the slot may then be reserved; this only delays the next order.
func (s slot) reserve(ctx context.Context, store port.Store, now time.Time) error {
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
