package fleet

import "time"

// Evidence holds the measurements of one finished exchange, by which its version is evaluated.
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
	// TokenInterval is the mean time between tokens; zero when there were fewer than two.
	TokenInterval time.Duration
	// Cold is true when the chat's prefix was not expected in the upstream's cache.
	Cold bool
}
