package configsync

import (
	"context"
	"encoding/json"

	"agateswitch/core/configuration"
	"agateswitch/core/fleet"
)

// WriteItem implements port.ConfigurationWriter.
func (s *Service) WriteItem(ctx context.Context, key configuration.Key, value json.RawMessage,
	expected configuration.Revision) (configuration.Revision, *fleet.Refusal) {
	result := s.Accept(ctx, Change{Key: key, Value: value, Expected: expected})
	return result.Revision, result.Refusal
}
