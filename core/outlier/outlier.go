// Package outlier judges an upstream by the results of the calls that it got: one that fails
// much more than it should gets fewer calls, or none for a while.
package outlier

import (
	"math"
	"time"
)

// Figures of the judgement.
const (
	// halfLife is the time in which a result loses half of its weight. An upstream that fails
	// part of its calls shows within a second at a few calls a second.
	halfLife = 2 * time.Second
	// unreachableStrikes is how many connection failures in a row eject an upstream.
	unreachableStrikes = 2
	// baseEjection is the length of the first ejection. Further ones are longer.
	baseEjection = 500 * time.Millisecond
	// maxEjection bounds an ejection, so that a healed upstream is found soon.
	maxEjection = 4 * time.Second
)

// Result is the end of one call.
type Result int

// Results of calls.
const (
	// Success is a complete answer.
	Success Result = iota
	// Failure is a failed, broken or missing answer.
	Failure
	// Unreachable means that no connection could be made.
	Unreachable
)

// Tracker follows one upstream. It is not safe for concurrent use.
type Tracker struct {
	failures, calls float64
	updated         time.Time
	strikes         int
	ejections       int
	ejectedUntil    time.Time
}

// Observe counts a result.
func (t *Tracker) Observe(now time.Time, result Result) {
	t.decay(now)
	t.calls++
	switch result {
	case Success:
		t.strikes = 0
		if t.ejections > 0 && !t.Ejected(now) {
			t.ejections--
		}
		return
	case Unreachable:
		t.strikes++
		if t.strikes >= unreachableStrikes {
			t.eject(now)
		}
	}
	t.failures++
}

func (t *Tracker) eject(now time.Time) {
	if t.Ejected(now) {
		return
	}
	length := time.Duration(float64(baseEjection) * math.Pow(2, float64(t.ejections)))
	t.ejectedUntil = now.Add(min(length, maxEjection))
	t.ejections++
}

// Ejected tells whether the upstream gets no calls at now.
func (t *Tracker) Ejected(now time.Time) bool { return now.Before(t.ejectedUntil) }

// Suspect tells whether connections to the upstream failed and none has succeeded since.
func (t *Tracker) Suspect() bool { return t.strikes > 0 }

// FailureRate returns the weighted share of failures. Prior calls that all succeeded are
// counted in, so that a single failure says little.
func (t *Tracker) FailureRate(now time.Time) float64 {
	const prior = 4
	t.decay(now)
	return t.failures / (t.calls + prior)
}

func (t *Tracker) decay(now time.Time) {
	if t.updated.IsZero() {
		t.updated = now
	}
	factor := math.Exp2(-float64(now.Sub(t.updated)) / float64(halfLife))
	t.failures *= factor
	t.calls *= factor
	t.updated = now
}
