package capacity

import (
	"testing"

	"github.com/shoenig/test/must"
)

func TestFit(t *testing.T) {
	linear := Fit([]Point{{1, 5}, {2, 7}, {4, 11}})
	must.InDelta(t, 2, linear.Slope, 1e-9)
	must.InDelta(t, 23, linear.At(10), 1e-9)
	must.True(t, linear.IsLinear())
	must.False(t, Fit([]Point{{1, 1}, {10, 100}, {100, 10_000}}).IsLinear())
}
