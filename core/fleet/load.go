package fleet

// LoadReport is the load that an upstream reports. It lags behind the actual load.
type LoadReport struct {
	// Incarnation changes with each start of the upstream.
	Incarnation string
	// Running is the number of requests that are running or queued on the upstream.
	Running int
	// Work is the remaining uncached prefill and expected decode of those requests. Zero while
	// Running is above zero means that the upstream does not report its work.
	Work Work
	// Completed is the number of complete answers since the start.
	Completed int64
	// CacheEntries is the number of prefixes in the cache.
	CacheEntries int
}
