package port

import (
	"context"
	"encoding/json"

	"agateswitch/core/configuration"
	"agateswitch/core/fleet"
)

// ConfigurationWriter makes changes of configuration durable.
type ConfigurationWriter interface {
	// WriteItem replaces an item by compare-and-swap: expected is the revision at which the
	// item was read, 0 for a new one. A refusal whose Ran is not NotRun may have taken effect.
	WriteItem(ctx context.Context, key configuration.Key, value json.RawMessage,
		expected configuration.Revision) (configuration.Revision, *fleet.Refusal)
}
