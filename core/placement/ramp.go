package placement

import "time"

// A first token that takes jumpFactor times the usual time, and at least jumpFloor, counts as
// a sign of a restart once jumpSamples answers have shown what is usual.
const (
	jumpFactor  = 4
	jumpFloor   = 500 * time.Millisecond
	jumpSamples = 8
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
	// firstToken is the smoothed time to the first token over samples answers.
	firstToken time.Duration
	samples    int
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
	r.firstToken = 0
	r.samples = 0
}

// answered notes a whole answer.
func (r *ramp) answered(firstToken time.Duration) {
	if r.isJump(firstToken) {
		r.reset(SignLatency)
		return
	}
	r.allowed = min(r.allowed+1, r.limit)
	if firstToken <= 0 {
		return
	}
	r.samples++
	if r.samples == 1 {
		r.firstToken = firstToken
		return
	}
	r.firstToken += time.Duration(smoothing * float64(firstToken-r.firstToken))
}

func (r *ramp) isJump(firstToken time.Duration) bool {
	return r.samples >= jumpSamples && firstToken >= jumpFloor && firstToken > jumpFactor*r.firstToken
}

// prove raises the number to what the upstream is known to have borne.
func (r *ramp) prove(borne int) {
	r.allowed = min(max(r.allowed, borne), r.limit)
}

func (r *ramp) isCold() bool { return r.allowed < r.limit }
