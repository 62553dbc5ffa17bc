package exchange

import "time"

// Limits of resumptions.
const (
	// MaxUnanswered is the maximum number of consecutive resumptions without an answer.
	MaxUnanswered = 5
	// MaxUnansweredBeforeAnswer applies while no part of the answer has arrived. It is lower,
	// because a retry on another upstream is then faster.
	MaxUnansweredBeforeAnswer = 1
	// MaxResumptions is the maximum number of resumptions that one router makes for a stream.
	MaxResumptions = 64
	// baseBackoff is the wait before the second unanswered resumption. It doubles with each
	// further one.
	baseBackoff = 200 * time.Millisecond
)

// Resumptions counts and limits the resumptions of one stream.
type Resumptions struct {
	total      int
	unanswered int
}

// Next reports whether one more resumption is allowed, and after which pause. partialAnswer is
// true when a part of the answer has arrived.
func (r *Resumptions) Next(partialAnswer bool) (pause time.Duration, allowed bool) {
	limit := MaxUnanswered
	if !partialAnswer {
		limit = MaxUnansweredBeforeAnswer
	}
	if r.total >= MaxResumptions || r.unanswered >= limit {
		return 0, false
	}
	if r.unanswered > 0 {
		pause = baseBackoff << (r.unanswered - 1)
	}
	r.total++
	r.unanswered++
	return pause, true
}

// RecordAnswer records that the upstream answered a resumption.
func (r *Resumptions) RecordAnswer() { r.unanswered = 0 }

// Total returns the number of resumptions so far.
func (r *Resumptions) Total() int { return r.total }
