// Package configsync accepts changes of configuration through the platform's key-value
// service and keeps the configuration in force up to date.
//
// The service holds one head key with the fleet's revision, and one key an item. A
// change writes both in one transaction that is conditional on the head, so that
// changes have one order, whichever router accepts them.
package configsync

import (
	"encoding/json"

	"agateswitch/core/configuration"

	"github.com/juju/errors"
)

// Keys in the platform's key-value service.
const (
	headKey    = "agateswitch/config/head"
	itemPrefix = "agateswitch/config/item/"
	prefix     = "agateswitch/config/"
)

// head is the value of headKey.
type head struct {
	Revision configuration.Revision `json:"revision"`
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

func decodeItem(value []byte) (configuration.Item, error) {
	var item configuration.Item
	err := json.Unmarshal(value, &item)
	return item, errors.Annotate(err, "decoding a configuration item")
}
