package port

import (
	"context"
	"encoding/json"

	"agateswitch/core/configuration"
	"agateswitch/core/fleet"
)

// ConfigurationWriter stores changes of the configuration durably.
type ConfigurationWriter interface {
	// WriteItem replaces an item by compare-and-swap and returns its new revision. expected is
	// the revision at which the item was read, 0 for a new one. After a refusal whose Ran is not
	// NotRun the write may have taken effect.
	WriteItem(ctx context.Context, key configuration.Key, value json.RawMessage,
		expected configuration.Revision) (configuration.Revision, *fleet.Refusal)
}
