package placement

import "time"

// Times for which a failing upstream gets nothing new. The time doubles with each further
// failure, so that a dead upstream costs one request now and then.
const (
	holdMin = 500 * time.Millisecond
	holdMax = 8 * time.Second
)

// failuresForHold is how many requests in a row an upstream fails before it is held off. One
// that takes no connection is held off at once: no request can be the cause of that.
const failuresForHold = 3

// holdoff is the circuit breaker of one upstream.
type holdoff struct {
	// failures counts the failed requests since the last complete answer.
	failures int
	duration time.Duration
	until    time.Time
}

// failed notes a failed request.
func (h *holdoff) failed(now time.Time, unreachable bool) {
	h.failures++
	if !unreachable && h.failures < failuresForHold {
		return
	}
	if now.Before(h.until) {
		// Requests that were running when the upstream failed tell nothing new.
		return
	}
	h.duration = min(max(2*h.duration, holdMin), holdMax)
	h.until = now.Add(h.duration)
}

// answered notes a complete answer.
func (h *holdoff) answered() { *h = holdoff{} }

// isHeld is true while the upstream gets nothing new.
func (h *holdoff) isHeld(now time.Time) bool { return now.Before(h.until) }

// isProbing is true when the next request shows whether the upstream works again.
func (h *holdoff) isProbing() bool { return h.duration > 0 }
