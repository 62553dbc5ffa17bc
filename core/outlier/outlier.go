// Package outlier detects failing upstreams by the results of their calls: it computes a failure rate,
// by which a failing upstream gets fewer calls, and ejects an unreachable one for a while.
package outlier

import (
	"math"
	"time"
)

// Parameters of the detection.
const (
	// halfLife is the time in which a result loses half of its weight. At a few calls per second, an
	// upstream that fails part of them is detected within a second.
	halfLife = 2 * time.Second
	// ejectionThreshold is how many connection failures without a success in between eject an upstream.
	ejectionThreshold = 2
	// baseEjection is the duration of the first ejection. Further ones double up to maxEjection.
	baseEjection = 500 * time.Millisecond
	// maxEjection bounds the duration of an ejection, so that a recovered upstream is used again soon.
	maxEjection = 4 * time.Second
)

// Result is the result of one call.
type Result int

// Results of calls.
const (
	// Success is a complete answer.
	Success Result = iota
	// Failure is a failed, corrupted, incomplete or missing answer.
	Failure
	// Unreachable means that no connection could be established.
	Unreachable
)

// Tracker tracks the results of one upstream. It is not safe for concurrent use.
type Tracker struct {
	failures, calls    float64
	updated            time.Time
	connectionFailures int
	ejections          int
	ejectedUntil       time.Time
}

// Observe counts a result.
func (t *Tracker) Observe(now time.Time, result Result) {
	t.decay(now)
	t.calls++
	switch result {
	case Success:
		t.connectionFailures = 0
		if t.ejections > 0 && !t.Ejected(now) {
			t.ejections--
		}
		return
	case Unreachable:
		t.connectionFailures++
		if t.connectionFailures >= ejectionThreshold {
			t.eject(now)
		}
	}
	t.failures++
}

// ObserveConnection records that a connection was established. It ends an ejection.
func (t *Tracker) ObserveConnection() {
	t.connectionFailures, t.ejections, t.ejectedUntil = 0, 0, time.Time{}
}

func (t *Tracker) eject(now time.Time) {
	if t.Ejected(now) {
		return
	}
	length := time.Duration(float64(baseEjection) * math.Pow(2, float64(t.ejections)))
	t.ejectedUntil = now.Add(min(length, maxEjection))
	t.ejections++
}

// Ejected reports whether the upstream is ejected at now.
func (t *Tracker) Ejected(now time.Time) bool { return now.Before(t.ejectedUntil) }

// ConnectionsFailing reports whether a connection to the upstream failed and no call has succeeded
// since.
func (t *Tracker) ConnectionsFailing() bool { return t.connectionFailures > 0 }

// FailureRate returns the weighted share of calls that failed. It adds a few assumed successes to the
// calls, so that a single failure has little effect.
func (t *Tracker) FailureRate(now time.Time) float64 {
	const prior = 4
	t.decay(now)
	return t.failures / (t.calls + prior)
}

// decay reduces the weight of earlier results to their weight at now.
func (t *Tracker) decay(now time.Time) {
	if t.updated.IsZero() {
		t.updated = now
	}
	factor := math.Exp2(-float64(now.Sub(t.updated)) / float64(halfLife))
	t.failures *= factor
	t.calls *= factor
	t.updated = now
}
