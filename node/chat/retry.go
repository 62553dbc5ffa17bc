package chat

import (
	"sync"

	"agateswitch/core/exchange"
)

// sharedBudget is a RetryBudget of all requests of a router.
type sharedBudget struct {
	// mu guards budget, which requests of all teams use at the same time.
	mu     sync.Mutex
	budget *exchange.RetryBudget
}

// NewRetryBudget makes a full budget.
func NewRetryBudget() RetryBudget {
	return &sharedBudget{budget: exchange.NewRetryBudget()}
}

// Request implements RetryBudget.
func (s *sharedBudget) Request() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.budget.Request()
}

// Retry implements RetryBudget.
func (s *sharedBudget) Retry() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.budget.Retry()
}
