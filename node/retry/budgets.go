// Package retry keeps a router's retry budgets, one for each pool.
package retry

import (
	"math/rand/v2"
	"sync"
	"time"

	"agateswitch/core/admission"
	"agateswitch/core/fleet"
)

// Budgets holds the retry budgets of all pools. It is safe for concurrent use.
type Budgets struct {
	settings admission.RetrySettings

	// mu guards pools and the budgets in it, which requests of a pool share.
	mu    sync.Mutex
	pools map[fleet.PoolID]*admission.RetryBudget
}

// New returns budgets whose reserve is full.
func New() *Budgets {
	return &Budgets{settings: admission.DefaultRetrySettings(), pools: map[fleet.PoolID]*admission.RetryBudget{}}
}

// RecordSuccess records a successful request of a pool.
func (b *Budgets) RecordSuccess(pool fleet.PoolID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget(pool).RecordSuccess()
}

// Decide decides whether a failed request is sent to another upstream, and deducts an allowed retry
// from the pool's budget. attempts is the number of attempts so far.
func (b *Budgets) Decide(pool fleet.PoolID, attempts int, ran fleet.Ran, repeatable bool) admission.RetryDecision {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget(pool).Decide(time.Now(), admission.FailedAttempt{
		Attempts: attempts, Ran: ran, Repeatable: repeatable, Random: rand.Float64(),
	})
}

// budget returns the budget of a pool. The caller holds mu.
func (b *Budgets) budget(pool fleet.PoolID) *admission.RetryBudget {
	budget, found := b.pools[pool]
	if !found {
		budget = admission.NewRetryBudget(b.settings)
		b.pools[pool] = budget
	}
	return budget
}
