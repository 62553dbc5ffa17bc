// Package configsync accepts changes of the configuration through the platform's key-value
// service, and keeps the configuration in force up to date on every router.
//
// The key-value service holds one head key with the fleet's revision, and one key for each item.
// A change writes both in one transaction that is conditional on the head, so all changes have a
// total order, whichever router accepts them. A few routers watch the service; all others receive
// changes from their peers.
package configsync

import (
	"encoding/json"

	"agateswitch/core/configuration"
	"agateswitch/port"

	"github.com/juju/errors"
)

// Keys in the platform's key-value service.
const (
	headKey      = "agateswitch/config/head"
	itemPrefix   = "agateswitch/config/item/"
	configPrefix = "agateswitch/config/"
)

// head is the value of headKey: the fleet's revision, and the highest revision of a compacted
// tombstone.
type head struct {
	Revision configuration.Revision `json:"revision"`
	Floor    configuration.Revision `json:"floor,omitempty"`
}

// storedItem is the value of an item's key.
type storedItem struct {
	configuration.Item
	// ChangeID identifies the change that wrote the item. A router whose answer was lost
	// recognises its own write by it.
	ChangeID string `json:"change_id,omitempty"`
}

func itemKey(key configuration.Key) string {
	return itemPrefix + key.String()
}

func decodeHead(value []byte) (head, error) {
	var h head
	if len(value) == 0 {
		return h, nil
	}
	return h, errors.Annotate(json.Unmarshal(value, &h), "decoding the configuration head")
}

// decodeItem decodes an item's value. An absent item has revision 0.
func decodeItem(value []byte) (storedItem, error) {
	var item storedItem
	if len(value) == 0 {
		return item, nil
	}
	return item, errors.Annotate(json.Unmarshal(value, &item), "decoding a configuration item")
}

// decodeState decodes a listing of all keys into a full delta.
func decodeState(entries []port.Entry) (configuration.Delta, error) {
	state := configuration.Delta{Full: true}
	for _, entry := range entries {
		if entry.Key == headKey {
			h, err := decodeHead(entry.Value)
			if err != nil {
				return state, err
			}
			state.To, state.Floor = h.Revision, h.Floor
			continue
		}
		item, err := decodeItem(entry.Value)
		if err != nil {
			return state, err
		}
		state.Items = append(state.Items, item.Item)
	}
	return state, nil
}
