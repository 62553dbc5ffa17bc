package rollout

import "math"

// The sequential test asks whether events (failures, or slow answers) fall on the new
// version more often than its part of the requests explains.
//
// Within a cell, which holds requests of the same seconds, let n0 and n1 be the requests
// of the old and new version. If both are alike, an event falls on the new one with
// probability n1/(n0+n1), whatever the common rate is: noise that hits both versions
// cancels out. If the new one has k times the rate, it is k*n1/(n0+k*n1). The likelihood
// ratio of the two, averaged over several k, has the expectation 1 while both are alike
// (a mixture sequential probability ratio test; Wald 1945, Robbins 1970).
//
// A fault may come late, so each ratio is raised to 1 again at each restart (Page's
// CUSUM). By Doob's inequality the probability of ever passing a threshold c is then at
// most the number of restarts divided by c.
//
// Where the old version has no requests in a cell, the new one's events are tested
// against the most that a good version may show.

// ratios are the alternatives k for events in pairs.
var ratios = [...]float64{2, 5, 20, 100}

// rates are the alternatives for events without a pair.
var rates = [...]float64{0.3, 0.6, 0.95}

// maxUnpaired is the most that one cell without a pair adds. Without the old version beside
// it a short disturbance looks like a fault, so that only a lasting one may count. Lowering
// a ratio keeps its expectation below 1.
const maxUnpaired = 2.0

// cell holds requests and events of both versions in the same seconds.
type cell struct {
	oldRequests, oldEvents float64
	newRequests, newEvents float64
}

// sequentialTest holds the logarithms of the likelihood ratios.
type sequentialTest struct {
	paired   [len(ratios)]float64
	unpaired [len(rates)]float64
}

// after returns the test with a cell added. NullRate is the most event rate of a good
// version where there is no pair.
func (t sequentialTest) after(c cell, nullRate float64) sequentialTest {
	switch {
	case c.newRequests == 0:
	case c.oldRequests > 0:
		alike := c.newRequests / (c.newRequests + c.oldRequests)
		for i, ratio := range ratios {
			worse := ratio * c.newRequests / (ratio*c.newRequests + c.oldRequests)
			t.paired[i] += c.newEvents*math.Log(worse/alike) + c.oldEvents*math.Log((1-worse)/(1-alike))
		}
	default:
		whole := c.newRequests - c.newEvents
		for i, rate := range rates {
			if rate > nullRate {
				ratio := c.newEvents*math.Log(rate/nullRate) + whole*math.Log((1-rate)/(1-nullRate))
				t.unpaired[i] += min(ratio, maxUnpaired)
			}
		}
	}
	return t
}

// fade is the power to which ratios are raised at each restart, so that a chance streak on
// a rarely used route does not hold a move for long. A power below 1 keeps the expectation
// below 1. idleFade is that of ratios that cannot change any more: those of pairs while
// the new version is alone, and the others once there are pairs again.
const (
	fade     = 0.95
	idleFade = 0.5
)

// restarted returns the test with every ratio raised to at least 1 and faded.
func (t sequentialTest) restarted(alone, paired bool) sequentialTest {
	pairedFade, unpairedFade := fade, fade
	if alone {
		pairedFade = idleFade
	}
	if paired {
		unpairedFade = idleFade
	}
	for i := range t.paired {
		t.paired[i] = pairedFade * max(t.paired[i], 0)
	}
	for i := range t.unpaired {
		t.unpaired[i] = unpairedFade * max(t.unpaired[i], 0)
	}
	return t
}

// value returns the logarithm of the larger mixture.
func (t sequentialTest) value() float64 {
	return max(logMean(t.paired[:]), logMean(t.unpaired[:]))
}

// logMean returns the logarithm of the mean of exponentials.
func logMean(logs []float64) float64 {
	peak := math.Inf(-1)
	for _, value := range logs {
		peak = max(peak, value)
	}
	sum := 0.0
	for _, value := range logs {
		sum += math.Exp(value - peak)
	}
	return peak + math.Log(sum/float64(len(logs)))
}
