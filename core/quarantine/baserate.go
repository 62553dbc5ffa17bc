package quarantine

import (
	"math"
	"slices"
	"time"

	"agateswitch/core/fleet"
)

// Limits of what the ends of engines prove against a part.
const (
	// MaxHoldShare is the largest share of a pool's requests that may be held back for one part, and for all parts together whose holds
	// are in doubt. A part that more requests have is in work wherever an engine ends.
	MaxHoldShare = 0.5
	// falseHoldRate bounds the probability that the ends of engines ever convict a sound part without a trial.
	falseHoldRate = 1e-4
	// calmFactor is the factor below which the ends leave doubts if no engine ended without the part.
	calmFactor = 5
	// maxFactor bounds Weight.Factor, and minRate the probability that a part is in work on an engine by chance.
	maxFactor, minRate = 1e12, 1e-9
	// confidence is the number of standard errors by which a share may differ from the one that was counted.
	confidence = 2
)

// addedRisks are the probabilities, each as likely before the first end, that a part which ends engines was in work on an engine
// which it would not have been in work on by chance.
var addedRisks = []float64{0.25, 0.5, 0.75, 0.95}

// Share is how many of the requests that routers sent lately to a pool had a part.
type Share struct {
	With int
	Of   int
}

func (s Share) plus(other Share) Share { return Share{With: s.With + other.With, Of: s.Of + other.Of} }

// Bounds returns the lowest and the highest share of all requests that fits the ones that were counted (Wilson's interval). It is 0 and 1
// if there were none.
func (s Share) Bounds() (low, high float64) {
	if s.Of <= 0 {
		return 0, 1
	}
	of := float64(s.Of)
	share := float64(min(s.With, s.Of)) / of
	scale := 1 + confidence*confidence/of
	middle := share + confidence*confidence/(2*of)
	margin := confidence * math.Sqrt(share*(1-share)/of+confidence*confidence/(4*of*of))
	return max(0, (middle-margin)/scale), min(1, (middle+margin)/scale)
}

// IsMost reports whether more requests have the part than may be held back.
func (s Share) IsMost() bool {
	low, _ := s.Bounds()
	return low > MaxHoldShare
}

// Weight is what the ends of engines prove against a part, compared with the ends that it would meet by chance.
type Weight struct {
	// Ends is how many times engines ended on which the part was in work, and PoolEnds how many times any ended meanwhile. Engines that
	// end at the same moment count once.
	Ends     int `json:"ends"`
	PoolEnds int `json:"pool_ends"`
	// With of Requests to the pool that were counted had the part.
	With     int `json:"with"`
	Requests int `json:"requests"`
	// BaseRate is the mean probability that a sound part with this share is in work on an engine that ends.
	BaseRate float64 `json:"base_rate"`
	// Factor is how many times as likely these ends are if the part ends engines. 1 means that they say nothing.
	Factor float64 `json:"factor"`
	// Doubtful is true if the ends may well have another cause.
	Doubtful bool `json:"doubtful,omitempty"`
}

// Convicts reports whether the ends prove the part guilty, at falseHoldRate.
func (w Weight) Convicts() bool { return w.Factor >= 1/falseHoldRate }

// Share returns the part's share of the pool's requests.
func (w Weight) Share() Share { return Share{With: w.With, Of: w.Requests} }

// moment is a time at which engines of a pool ended.
type moment struct {
	at time.Time
	// load is how many requests the engines worked on, and hasPart whether one of them had the part.
	load    int
	hasPart bool
}

// Weigh returns what the ends prove against a part.
//
// The factor is a ratio of likelihoods that is computed anew after each end, with the mean of several alternatives. For a sound part it
// exceeds 1/falseHoldRate at any time with a probability of at most falseHoldRate (Ville's inequality), however many engines end.
func (e *Evidence) Weigh(part Part) Weight {
	r, found := e.parts[part]
	if !found || len(r.ends) == 0 {
		return Weight{Factor: 1}
	}
	if r.weighedAt == e.changes {
		return r.weight
	}
	r.weight, r.weighedAt = e.weigh(r), e.changes
	return r.weight
}

func (e *Evidence) weigh(r *record) Weight {
	share := r.share()
	low, high := share.Bounds()
	moments := e.moments(r)
	w := Weight{PoolEnds: len(moments), With: share.With, Requests: share.Of}
	for _, m := range moments {
		w.BaseRate += m.rate(high) / float64(len(moments))
		if m.hasPart {
			w.Ends++
		}
	}
	w.Factor = factor(moments, high)
	isInWave := e.isInWave(r)
	isExpected := !w.Convicts()
	if w.Ends == w.PoolEnds && !isInWave {
		isExpected = factor(moments, low) < calmFactor
	}
	w.Doubtful = e.lacksOwnEnds(r) || (share.Of > 0 || isInWave) && isExpected
	return w
}

// rate returns the probability that a sound part with a share of the requests is in work on the engines.
func (m moment) rate(share float64) float64 { return 1 - math.Pow(1-share, float64(max(1, m.load))) }

// factor returns how many times as likely it is that a part was in work at just these moments if it ends engines.
func factor(moments []moment, share float64) float64 {
	logs := make([]float64, len(addedRisks))
	for _, m := range moments {
		rate := max(m.rate(share), minRate)
		for i, risk := range addedRisks {
			if m.hasPart {
				logs[i] += math.Log1p((1 - rate) * risk / rate)
			} else {
				logs[i] += math.Log1p(-risk)
			}
		}
	}
	mean := 0.0
	for _, sum := range logs {
		mean += math.Exp(min(sum, math.Log(maxFactor))) / float64(len(logs))
	}
	return mean
}

// moments returns when engines of the part's pool ended, from about the first to about the last end that counts against the part.
func (e *Evidence) moments(r *record) []moment {
	first, last := r.ends[0].at.Add(-companyWindow), r.ends[len(r.ends)-1].at.Add(companyWindow)
	pool := r.pool()
	counting := make(map[Engine]bool, len(r.ends))
	for _, end := range r.ends {
		counting[end.engine] = true
	}
	all := make([]moment, 0, len(e.ended))
	for engine, ended := range e.ended {
		if !ended.manner.IsInWork() || ended.at.Before(first) || ended.at.After(last) || pool != "" && ended.pool != "" && ended.pool != pool {
			continue
		}
		all = append(all, moment{at: ended.at, load: ended.load, hasPart: counting[engine]})
	}
	slices.SortFunc(all, func(a, b moment) int { return a.at.Compare(b.at) })
	var merged []moment
	for _, m := range all {
		if count := len(merged); count > 0 && m.at.Sub(merged[count-1].at) < sameCauseWindow {
			merged[count-1].load += m.load
			merged[count-1].hasPart = merged[count-1].hasPart || m.hasPart
			continue
		}
		merged = append(merged, m)
	}
	return merged
}

// TakesMost reports whether more of the pool's requests have a part than may be held back.
func (e *Evidence) TakesMost(part Part) bool {
	r, found := e.parts[part]
	return found && r.share().IsMost()
}

// Pool returns the pool of the engines that ended while they worked on a part; empty if it is unknown.
func (e *Evidence) Pool(part Part) fleet.PoolID {
	if r, found := e.parts[part]; found {
		return r.pool()
	}
	return ""
}
