package gateway

import (
	"testing"

	"github.com/shoenig/test/must"
)

// A pool with many slots would ask more of its keeper than a host can answer, and one with several for each router needs none.
func TestOnlyPoolsWithFewSlotsHaveAQueue(t *testing.T) {
	bounds := SmallPool{SlotsPerRouter: 2, MaxSlots: 64}
	must.True(t, bounds.holds(18, 60))
	must.True(t, bounds.holds(64, 295))
	must.False(t, bounds.holds(65, 295))
	must.False(t, bounds.holds(47, 23))
	must.False(t, SmallPool{}.holds(6, 60))
}
