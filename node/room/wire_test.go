package room

import (
	"testing"

	"agateswitch/internal/wiretest"
)

func TestMessagesOfEarlierVersionsAreUnderstood(t *testing.T) {
	wiretest.Check(t, map[string]any{
		"take-request":   &takeRequest{},
		"take-response":  &takeResponse{},
		"return":         &returnRequest{},
		"enter-request":  &enterRequest{},
		"enter-response": &enterResponse{},
		"grant-request":  &grantRequest{},
		"grant-response": &grantResponse{},
		"leave":          &leaveRequest{},
	})
}
