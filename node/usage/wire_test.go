package usage

import (
	"testing"

	"agateswitch/internal/wiretest"
)

func TestMessagesOfEarlierVersionsAreUnderstood(t *testing.T) {
	wiretest.Check(t, map[string]any{
		"tell-request":  &tellRequest{},
		"tell-response": &tellResponse{},
		"known-request": &knownRequest{},
	})
}
