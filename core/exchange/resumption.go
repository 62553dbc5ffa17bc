package exchange

import "time"

// Bounds of resumptions.
const (
	// MaxUnanswered is how many resumptions in a row may go without an answer.
	MaxUnanswered = 5
	// MaxUnansweredUnproduced is the same while nothing of the answer has come: then
	// another upstream is the quicker way to it.
	MaxUnansweredUnproduced = 1
	// MaxResumptions is how many resumptions one router makes for a stream.
	MaxResumptions = 64
	// firstPause is the wait before the second unanswered resumption; it doubles from there.
	firstPause = 200 * time.Millisecond
)

// Resumptions counts the resumptions of one stream and bounds them.
type Resumptions struct {
	total      int
	unanswered int
}

// Next allows one more resumption after a pause, or refuses it. produced is true when a
// part of the answer has come.
func (r *Resumptions) Next(produced bool) (pause time.Duration, allowed bool) {
	limit := MaxUnanswered
	if !produced {
		limit = MaxUnansweredUnproduced
	}
	if r.total >= MaxResumptions || r.unanswered >= limit {
		return 0, false
	}
	if r.unanswered > 0 {
		pause = firstPause << (r.unanswered - 1)
	}
	r.total++
	r.unanswered++
	return pause, true
}

// Answered notes that the upstream answered a resumption.
func (r *Resumptions) Answered() { r.unanswered = 0 }

// Total returns how many resumptions were made.
func (r *Resumptions) Total() int { return r.total }
