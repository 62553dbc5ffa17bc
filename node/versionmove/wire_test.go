package versionmove

import (
	"testing"

	"agateswitch/internal/wiretest"
)

func TestMessagesOfEarlierVersionsAreUnderstood(t *testing.T) {
	wiretest.Check(t, map[string]any{
		"move":      &moveMessage{},
		"published": &publishResponse{},
	})
}
