package fleet

import "time"

// Evidence is what one finished exchange tells about a version.
type Evidence struct {
	Pool     PoolID
	Version  Version
	Upstream UpstreamID
	// Route is the method and first path segments of the call.
	Route string
	// Failed is true when the upstream failed the exchange.
	Failed bool
	// FirstToken is the time to the first byte of the answer.
	FirstToken time.Duration
}
