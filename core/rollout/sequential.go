package rollout

import "math"

// The sequential test decides whether events (failures or slow answers) occur on the new version
// more often than its share of the requests explains.
//
// A cell holds requests of the same period. Let n0 and n1 be its requests of the old and the new
// version. If the versions have the same event rate, an event occurs on the new one with probability
// n1/(n0+n1), whatever that rate is: noise that affects both versions cancels out. If the new one
// has k times the rate, the probability is k*n1/(n0+k*n1). The likelihood ratio of the two, averaged
// over several k, has the expectation 1 while the rates are the same (a mixture sequential
// probability ratio test; Wald 1945, Robbins 1970).
//
// A fault may appear late in a move. Each ratio below 1 is therefore raised to 1 at each restart
// (Page's CUSUM). By Doob's inequality, the probability of ever exceeding a threshold c is then at
// most the number of restarts divided by c.
//
// Where the old version has no requests in a cell, the new one's events are tested against the
// highest event rate of a good version.

// pairedRatios are the alternatives k for cells with requests of both versions.
var pairedRatios = [...]float64{2, 5, 20, 100}

// unpairedRates are the alternative event rates for cells without requests of the old version.
var unpairedRates = [...]float64{0.3, 0.6, 0.95}

// maxUnpairedIncrease is the most that one unpaired cell adds to a test. Without the old version to
// compare with, a short disturbance looks like a fault, so that only a lasting one may pass the
// threshold. A lower ratio keeps the expectation below 1.
const maxUnpairedIncrease = 2.0

// cell holds the requests and events of both versions in the same period.
type cell struct {
	oldRequests, oldEvents float64
	newRequests, newEvents float64
}

// sequentialTest holds the logarithms of the likelihood ratios, one for each alternative.
type sequentialTest struct {
	paired   [len(pairedRatios)]float64
	unpaired [len(unpairedRates)]float64
}

// withCell returns the test with a cell added. NullRate is the highest event rate of a good version,
// for cells without requests of the old version.
func (t sequentialTest) withCell(c cell, nullRate float64) sequentialTest {
	switch {
	case c.newRequests == 0:
	case c.oldRequests > 0:
		nullShare := c.newRequests / (c.newRequests + c.oldRequests)
		for i, ratio := range pairedRatios {
			worseShare := ratio * c.newRequests / (ratio*c.newRequests + c.oldRequests)
			t.paired[i] += c.newEvents*math.Log(worseShare/nullShare) + c.oldEvents*math.Log((1-worseShare)/(1-nullShare))
		}
	default:
		successes := c.newRequests - c.newEvents
		for i, rate := range unpairedRates {
			if rate > nullRate {
				ratio := c.newEvents*math.Log(rate/nullRate) + successes*math.Log((1-rate)/(1-nullRate))
				t.unpaired[i] += min(ratio, maxUnpairedIncrease)
			}
		}
	}
	return t
}

// fade is the exponent that is applied to ratios at each restart, so that a random streak on a rarely
// used route doesn't delay a move for long. An exponent below 1 keeps the expectation below 1.
// idleFade is the exponent for ratios that get no new cells: the paired ones while the new version
// gets all requests, and the unpaired ones while there are cells with both versions.
const (
	fade     = 0.95
	idleFade = 0.5
)

// restarted returns the test with every ratio raised to at least 1 and then faded.
func (t sequentialTest) restarted(newVersionOnly, paired bool) sequentialTest {
	pairedFade, unpairedFade := fade, fade
	if newVersionOnly {
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

// strength returns the logarithm of the larger of the two mixtures.
func (t sequentialTest) strength() float64 {
	return max(logMean(t.paired[:]), logMean(t.unpaired[:]))
}

// logMean returns the logarithm of the mean of the exponentials of logs.
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
