package placement

import (
	"time"

	"agateswitch/core/fleet"
)

// A time to the first token above latencyJumpFactor times the usual value for its prompt, and of
// at least minLatencyJump, is a signal of a restart once minLatencySamples answers have been
// measured. The usual time is proportional to the uncached prompt plus basePromptTokens, which
// stand for the fixed cost of a request.
const (
	latencyJumpFactor = 4
	minLatencyJump    = 500 * time.Millisecond
	minLatencySamples = 8
	basePromptTokens  = 1000
)

// ColdStartCause is the reason for which an upstream is in a cold start.
type ColdStartCause string

// Causes of a cold start.
const (
	CauseStarted            ColdStartCause = "it started"
	CauseIncarnationChanged ColdStartCause = "its incarnation changed"
	CauseCacheEmptied       ColdStartCause = "its cache was emptied"
	CauseRequestFailed      ColdStartCause = "it failed a request"
	CauseSlowFirstToken     ColdStartCause = "its first token took far longer than usual"
)

// ramp limits the number of concurrent requests on an upstream. The limit starts at coldLimit,
// grows by one with each complete answer, and so doubles with each round of answers.
type ramp struct {
	coldLimit, warmLimit int
	allowed              int
	cause                ColdStartCause
	// nanosPerPromptToken is the smoothed time to the first token, divided by the number of
	// uncached prompt tokens plus basePromptTokens. samples is the number of answers measured.
	nanosPerPromptToken float64
	samples             int
}

func newRamp(settings Settings) ramp {
	r := ramp{coldLimit: max(1, settings.ColdConcurrency), warmLimit: max(1, settings.MaxConcurrency)}
	r.reset(CauseStarted)
	return r
}

// reset returns the upstream to a cold start.
func (r *ramp) reset(cause ColdStartCause) {
	r.allowed = min(r.coldLimit, r.warmLimit)
	r.cause = cause
	r.nanosPerPromptToken = 0
	r.samples = 0
}

// recordAnswer raises the limit after a complete answer, or resets it if the first token was far
// too slow. uncached is the expected uncached length of the prompt.
func (r *ramp) recordAnswer(firstToken time.Duration, prompt, uncached fleet.Work) {
	if r.isLatencyJump(firstToken, prompt) {
		r.reset(CauseSlowFirstToken)
		return
	}
	r.allowed = min(r.allowed+1, r.warmLimit)
	if firstToken <= 0 {
		return
	}
	r.samples++
	nanosPerPromptToken := float64(firstToken) / float64(uncached+basePromptTokens)
	if r.samples == 1 {
		r.nanosPerPromptToken = nanosPerPromptToken
		return
	}
	r.nanosPerPromptToken += smoothingFactor * (nanosPerPromptToken - r.nanosPerPromptToken)
}

// isLatencyJump reports whether the first token took far longer than usual. It compares with the
// usual time of the whole prompt, as the prefix may have been evicted from the cache.
func (r *ramp) isLatencyJump(firstToken time.Duration, prompt fleet.Work) bool {
	usual := r.nanosPerPromptToken * float64(prompt+basePromptTokens)
	return r.samples >= minLatencySamples && firstToken >= minLatencyJump && float64(firstToken) > latencyJumpFactor*usual
}

// raiseTo raises the limit to a number of requests that the upstream is known to have run.
func (r *ramp) raiseTo(running int) {
	r.allowed = min(max(r.allowed, running), r.warmLimit)
}

// isCold reports whether the limit is still below that of a warm upstream.
func (r *ramp) isCold() bool { return r.allowed < r.warmLimit }
