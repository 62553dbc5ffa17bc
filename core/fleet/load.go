package fleet

// LoadReport is what an upstream tells of its load. It lags behind the truth.
type LoadReport struct {
	// Incarnation changes with each start of the upstream.
	Incarnation string
	// Running is the number of requests that the upstream runs or has queued.
	Running int
	// Work is the uncached prefill and expected decode that those requests have left. Zero
	// while Running is not means that the upstream does not tell.
	Work Work
	// Completed is the number of complete answers since the start.
	Completed int64
	// CacheEntries is the number of prefixes in the cache.
	CacheEntries int
}
