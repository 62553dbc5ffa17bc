package placement

import "time"

// Settings of a shard, from its pool.
type Settings struct {
	// BoundFactor is the most load of an upstream as a multiple of the mean.
	BoundFactor float64
	// ColdConcurrency is how many requests an upstream bears in a cold start.
	ColdConcurrency int
	// MaxConcurrency is how many requests an upstream bears when warm.
	MaxConcurrency int
	// GrantLife is how long a grant counts without a completion or a renewal.
	GrantLife time.Duration
	// Reports is true when the pool's upstreams report their load.
	Reports bool
}

// Times of an owner.
const (
	// LearnWindow is how long an owner grants little on an upstream that has not reported.
	LearnWindow = time.Second
	// FreezeLimit is the gap between two events after which an owner's state is not trusted.
	FreezeLimit = 2 * time.Second
	// WaiterLife is how long a waiting request counts after its router last asked for it.
	WaiterLife = time.Second
	// flightTime is the longest time from a grant until its request shows in load reports.
	flightTime = 50 * time.Millisecond
	// reportLife is how long foreign load counts after the report that showed it.
	reportLife = 5 * time.Second
	// ageStep is the wait that raises a request's priority by one.
	ageStep = time.Second
	// defaultService is the assumed time of a request before any has ended.
	defaultService = time.Second
	// defaultPatience is the longest wait of a request without a deadline.
	defaultPatience = 10 * time.Second
)

// Bounds of the time that a refusal tells a caller to wait.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// boundHeadroom is the part of the bound factor above 1 that decisions use.
const boundHeadroom = 0.8

// Bounds of memory.
const (
	maxWaiters     = 1024
	maxRemembered  = 1 << 16
	smoothing      = 0.1
	jitterFraction = 0.5
)
