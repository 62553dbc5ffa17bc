package retry

import (
	"sync"
	"testing"

	"agateswitch/core/admission"
	"agateswitch/core/fleet"

	"github.com/shoenig/test/must"
)

// countAllowed returns how many of a number of first retries are allowed.
func countAllowed(b *Budgets, pool fleet.PoolID, tries int) int {
	allowed := 0
	for range tries {
		if b.Decide(pool, 1, fleet.NotRun, true).Allowed {
			allowed++
		}
	}
	return allowed
}

// Each pool has a budget of its own: the failures of one take no retries from another.
func TestPoolsShareNoBudget(t *testing.T) {
	reserve := int(admission.DefaultRetrySettings().Reserve)
	b := New()
	must.Eq(t, reserve, countAllowed(b, "lm", 10*reserve))
	must.Eq(t, reserve, countAllowed(b, "app", 10*reserve))
}

// Successes add a fraction of a retry each, and never more than the reserve.
func TestSuccessesRefillABudget(t *testing.T) {
	settings := admission.DefaultRetrySettings()
	b := New()
	countAllowed(b, "lm", 100)
	for range int(3 / settings.Fraction) {
		b.RecordSuccess("lm")
	}
	must.Between(t, 2, countAllowed(b, "lm", 100), 3)
	for range int(100 * settings.Reserve / settings.Fraction) {
		b.RecordSuccess("lm")
	}
	must.Eq(t, int(settings.Reserve), countAllowed(b, "lm", 100))
}

// A call that may have run and may not be repeated is never tried again, and takes nothing from the budget.
func TestUnrepeatableCallTakesNoRetry(t *testing.T) {
	b := New()
	for range 100 {
		must.False(t, b.Decide("app", 1, fleet.RanUnknown, false).Allowed)
	}
	must.Eq(t, int(admission.DefaultRetrySettings().Reserve), countAllowed(b, "app", 100))
}

func TestBudgetsAreSafeForConcurrentUse(t *testing.T) {
	b := New()
	var callers sync.WaitGroup
	var mu sync.Mutex
	allowed := 0
	for range 20 {
		callers.Go(func() {
			count := countAllowed(b, "lm", 20)
			mu.Lock()
			defer mu.Unlock()
			allowed += count
		})
	}
	callers.Wait()
	must.Eq(t, int(admission.DefaultRetrySettings().Reserve), allowed)
}
