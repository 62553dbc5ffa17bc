package balance

import (
	"math"
	"testing"

	"github.com/shoenig/test/must"
)

// A long prompt that no engine has cached goes to its home though that reads another one, a short one does not; the second long one
// is the last.
func TestLongReadsArePackedWhileLoadsAreStale(t *testing.T) {
	long := Prompt{Key: "key", Tokens: 9000, CostGranularity: StaleLoadCostGranularity, PacksLongReads: true}
	candidates := pool(9)
	home := ByPrompt(long, candidates, math.Inf(1)).Order[0]
	first := func(prompt Prompt, pending float64) int {
		for i := range candidates {
			candidates[i].Uncached = prompt.Tokens
		}
		candidates[home].PendingPrefill = pending
		return ByPrompt(prompt, candidates, math.Inf(1)).Order[0]
	}
	must.Eq(t, home, first(long, 9000))
	must.NotEq(t, home, first(long, 18000))
	spread, fresh, short := long, long, long
	spread.PacksLongReads, fresh.CostGranularity, short.Tokens = false, 0, 700
	must.NotEq(t, home, first(spread, 9000))
	must.NotEq(t, home, first(fresh, 9000))
	must.NotEq(t, home, first(short, 9000))
}
