package placement

import "time"

// Settings are the settings of a shard, derived from its pool.
type Settings struct {
	// BoundFactor is the maximum load of an upstream as a multiple of the mean.
	BoundFactor float64
	// ColdConcurrency is the maximum number of requests on an upstream at a cold start.
	ColdConcurrency int
	// MaxConcurrency is the maximum number of requests on a warm upstream.
	MaxConcurrency int
	// GrantTTL is how long a grant counts without a completion or a renewal.
	GrantTTL time.Duration
	// Reports is set when the pool's upstreams report their load.
	Reports bool
}

// Timeouts and defaults of an owner.
const (
	// FirstReportTimeout is how long an owner waits for an upstream's first load report. Until then
	// it limits the upstream to the cold-start concurrency plus adopted grants.
	FirstReportTimeout = time.Second
	// MaxEventGap is the gap between two events above which an owner considers its process paused
	// and discards its state.
	MaxEventGap = 2 * time.Second
	// WaiterTimeout is how long a request stays in the queue after its router last polled for it.
	WaiterTimeout = time.Second
	// maxReportLag is the maximum time from a grant until load reports include its request.
	maxReportLag = 50 * time.Millisecond
	// maxReportAge is how long foreign load counts after the report that showed it.
	maxReportAge = 5 * time.Second
	// priorityAgingInterval is the wait that raises a request's priority by one.
	priorityAgingInterval = time.Second
	// defaultServiceTime is the assumed duration of a request before any has completed.
	defaultServiceTime = time.Second
	// defaultMaxWait is the longest wait of a request without a deadline.
	defaultMaxWait = 10 * time.Second
)

// Limits of the retry delay in a refusal.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// usableBoundFraction is the fraction of BoundFactor − 1 that decisions use. The rest is headroom,
// as the mean falls between two decisions.
const usableBoundFraction = 0.8

// maxWaiters and maxRememberedChats bound the memory of an owner. smoothingFactor is the weight
// of a new sample in moving averages. jitterFraction is the maximum jitter of a retry delay, as a
// fraction of the wait.
const (
	maxWaiters         = 1024
	maxRememberedChats = 1 << 16
	smoothingFactor    = 0.1
	jitterFraction     = 0.5
)
