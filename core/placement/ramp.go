package placement

import (
	"time"

	"agateswitch/core/fleet"
)

// A first token that takes jumpFactor times what is usual for its prompt, and at least
// jumpFloor, counts as a sign of a restart once jumpSamples answers have shown what is usual.
// The usual time grows with the uncached prompt; promptBase tokens stand for what every
// request takes.
const (
	jumpFactor  = 4
	jumpFloor   = 500 * time.Millisecond
	jumpSamples = 8
	promptBase  = 1000
)

// ColdSign names what put an upstream into a cold start.
type ColdSign string

// Signs of a cold start.
const (
	SignStarted     ColdSign = "it started"
	SignIncarnation ColdSign = "its incarnation changed"
	SignCacheEmpty  ColdSign = "its cache was emptied"
	SignFailure     ColdSign = "it failed a request"
	SignLatency     ColdSign = "its first token took far longer than usual"
)

// ramp holds how many requests an upstream bears. The number starts at what it bears in a
// cold start, grows by one with each good answer, and so doubles with each round of answers.
type ramp struct {
	cold, limit int
	allowed     int
	sign        ColdSign
	// pace is the smoothed time to the first token for each token of uncached prompt and
	// promptBase, in nanoseconds, over samples answers.
	pace    float64
	samples int
}

func newRamp(settings Settings) ramp {
	r := ramp{cold: max(1, settings.ColdConcurrency), limit: max(1, settings.MaxConcurrency)}
	r.reset(SignStarted)
	return r
}

// reset puts the upstream back to a cold start.
func (r *ramp) reset(sign ColdSign) {
	r.allowed = min(r.cold, r.limit)
	r.sign = sign
	r.pace = 0
	r.samples = 0
}

// answered notes a complete answer. Uncached is the expected uncached part of the prompt.
func (r *ramp) answered(firstToken time.Duration, prompt, uncached fleet.Work) {
	if r.isJump(firstToken, prompt) {
		r.reset(SignLatency)
		return
	}
	r.allowed = min(r.allowed+1, r.limit)
	if firstToken <= 0 {
		return
	}
	r.samples++
	pace := float64(firstToken) / float64(uncached+promptBase)
	if r.samples == 1 {
		r.pace = pace
		return
	}
	r.pace += smoothing * (pace - r.pace)
}

// isJump compares with the usual time of the whole prompt, as its prefix may have left the
// cache.
func (r *ramp) isJump(firstToken time.Duration, prompt fleet.Work) bool {
	usual := r.pace * float64(prompt+promptBase)
	return r.samples >= jumpSamples && firstToken >= jumpFloor && float64(firstToken) > jumpFactor*usual
}

// prove raises the number to what the upstream is known to have borne.
func (r *ramp) prove(borne int) {
	r.allowed = min(max(r.allowed, borne), r.limit)
}

func (r *ramp) isCold() bool { return r.allowed < r.limit }
