package capacity

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestFit(t *testing.T) {
	straight := Fit([]Point{{1, 5}, {2, 7}, {4, 11}})
	must.InDelta(t, 2, straight.Slope, 1e-9)
	must.InDelta(t, 23, straight.At(10), 1e-9)
	must.True(t, straight.IsStraight())
	must.False(t, Fit([]Point{{1, 1}, {10, 100}, {100, 10_000}}).IsStraight())
}
