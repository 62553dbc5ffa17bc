package dissemination

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// Confirmations reach each router before its copy counts as too old, and its own watch answers in time if they don't.
func TestFreshnessKeepsTheDeadline(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		deadline := time.Duration(rapid.Int64Range(int64(MinDeadline), int64(time.Minute)).Draw(t, "deadline"))
		plan := PlanFreshness(deadline)
		must.LessEq(t, deadline, plan.MaxCopyAge+ownWatchTime)
		must.LessEq(t, plan.MaxCopyAge, plan.ConfirmInterval+pullHops*pullTime)
		must.Between(t, 600*time.Millisecond, plan.ConfirmInterval, maxConfirmInterval)
	})
}
