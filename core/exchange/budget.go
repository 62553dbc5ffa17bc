package exchange

// Bounds of retries on other upstreams.
const (
	// RequestsPerRetry is how many requests allow one retry.
	RequestsPerRetry = 10
	// RetryBurst is how many retries may come at once.
	RetryBurst = 10
	// MaxAttempts is how many upstreams one request is sent to.
	MaxAttempts = 3
)

// RetryBudget keeps retries a share of requests, so that failing upstreams do not
// multiply the load on the others. It is not safe for concurrent use.
type RetryBudget struct {
	// earned counts requests that no retry has used.
	earned int
}

// NewRetryBudget makes a budget that allows a burst.
func NewRetryBudget() *RetryBudget { return &RetryBudget{earned: RetryBurst * RequestsPerRetry} }

// Request notes a request.
func (b *RetryBudget) Request() {
	b.earned = min(RetryBurst*RequestsPerRetry, b.earned+1)
}

// Retry takes one retry from the budget, if it has one.
func (b *RetryBudget) Retry() bool {
	if b.earned < RequestsPerRetry {
		return false
	}
	b.earned -= RequestsPerRetry
	return true
}
