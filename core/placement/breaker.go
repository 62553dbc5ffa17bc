package placement

import "time"

// The breaker's open time doubles with each further failure, so that a dead upstream fails only
// an occasional request.
const (
	minOpenDuration = 500 * time.Millisecond
	maxOpenDuration = 8 * time.Second
)

// failuresToOpen is the number of consecutive failed requests that opens the breaker. A failed
// connection attempt opens it at once, as no request can be the cause of that.
const failuresToOpen = 3

// circuitBreaker stops new requests to one failing upstream.
type circuitBreaker struct {
	// failures counts failed requests since the last complete answer.
	failures     int
	openDuration time.Duration
	openUntil    time.Time
}

// recordFailure records a failed request and opens the breaker if needed.
func (b *circuitBreaker) recordFailure(now time.Time, unreachable bool) {
	b.failures++
	if !unreachable && b.failures < failuresToOpen {
		return
	}
	if now.Before(b.openUntil) {
		// The request was already running when the breaker opened, so its failure is no new evidence.
		return
	}
	b.openDuration = min(max(2*b.openDuration, minOpenDuration), maxOpenDuration)
	b.openUntil = now.Add(b.openDuration)
}

// recordSuccess closes the breaker after a complete answer.
func (b *circuitBreaker) recordSuccess() { *b = circuitBreaker{} }

// isOpen reports whether the upstream receives no new request.
func (b *circuitBreaker) isOpen(now time.Time) bool { return now.Before(b.openUntil) }

// isProbing reports whether the breaker has opened and no request has completed since. Once it is
// no longer open, single requests probe the upstream.
func (b *circuitBreaker) isProbing() bool { return b.openDuration > 0 }
