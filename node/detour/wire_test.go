package detour

import (
	"testing"

	"agateswitch/internal/wiretest"
)

func TestMessagesOfEarlierVersionsAreUnderstood(t *testing.T) {
	wiretest.Check(t, map[string]any{
		"renew-request":  &renewRequest{},
		"renew-response": &renewResponse{},
		"stop-request":   &stopRequest{},
	})
}
