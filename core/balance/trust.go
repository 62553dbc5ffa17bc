package balance

import (
	"math"
	"time"

	"agateswitch/core/fleet"
)

// Parameters of trust in statements.
const (
	// minJudged is how many answers it takes to distrust an upstream.
	minJudged = 6
	// upstreamErrorWeight and poolErrorWeight are the weights of a new answer in the mean errors.
	upstreamErrorWeight, poolErrorWeight = 1.0 / 8, 1.0 / 64
	// minPredictedTokens keeps prompts that are nearly read from being judged by the time of the network.
	minPredictedTokens = 1024
)

// Mean errors, as logarithms of a ratio: trust is lost above lostError, and returns below regainedError.
var lostError, regainedError = math.Log(2), math.Log(1.4)

// trust is how well the statements of one upstream agree with the times of its answers.
type trust struct {
	meanError float64
	judged    int
	isLost    bool
}

// Judge compares what an upstream stated with the time that it took until the first token of a request of so many expected
// tokens. An upstream that differs from the mean of all of them by more than twice has no say until its statements agree again; it
// is then ranked like one of the usual speed. It reports whether that has changed.
func (w *WorkTimes) Judge(upstream fleet.UpstreamID, percent, expectedTokens float64, took time.Duration) (changed, isLost bool) {
	known, found := w.known[upstream]
	if !found || !(percent > 0) || expectedTokens < minPredictedTokens || took <= 0 {
		return false, false
	}
	deviation := math.Log(float64(took) / (expectedTokens * percent))
	if w.meanError == 0 {
		w.meanError = deviation
	}
	w.meanError += poolErrorWeight * (deviation - w.meanError)
	t := &known.trust
	t.judged++
	t.meanError += max(upstreamErrorWeight, 1/float64(t.judged)) * (deviation - w.meanError - t.meanError)
	wasLost := t.isLost
	switch size := math.Abs(t.meanError); {
	case t.judged >= minJudged && size > lostError:
		t.isLost = true
	case size < regainedError:
		t.isLost = false
	}
	return t.isLost != wasLost, t.isLost
}
