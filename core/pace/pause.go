package pace

import "time"

// MaxPause bounds the pause that an upstream may ask for: a longer one would lose the upstream for
// what may be an error in its answer.
const MaxPause = 5 * time.Minute

// PauseReason states how an upstream's request for a pause was applied.
type PauseReason string

// Reasons of pauses.
const (
	PauseAsked   PauseReason = "asked"
	PauseLimited PauseReason = "limited"
	// PauseCovered means that a pause in force already lasts longer.
	PauseCovered PauseReason = "covered"
)

// Pause is the time during which an upstream gets no requests because it has asked for that. The zero
// value is no pause.
type Pause struct {
	until time.Time
}

// Ask extends the pause to a length from now, which is bounded by MaxPause. Overlapping pauses last
// until the later end.
func (p *Pause) Ask(now time.Time, length time.Duration) PauseReason {
	reason := PauseAsked
	if length > MaxPause {
		length, reason = MaxPause, PauseLimited
	}
	until := now.Add(length)
	if !until.After(p.until) {
		return PauseCovered
	}
	p.until = until
	return reason
}

// Until returns the end of the pause. It is in the past if there is none.
func (p *Pause) Until() time.Time { return p.until }

// Active reports whether the upstream may get no requests at now.
func (p *Pause) Active(now time.Time) bool { return now.Before(p.until) }

// returnSpread is the time over which callers return after the end of a pause, so that they do not
// fill at once an upstream that has just been overloaded.
const returnSpread = time.Second

// RetryAfterPause returns when a refused caller may return to upstreams that all pause, the first of
// them until the given time. random is uniform in [0, 1).
func RetryAfterPause(now, until time.Time, random float64) time.Duration {
	return max(0, until.Sub(now)) + time.Duration(random*float64(returnSpread))
}
