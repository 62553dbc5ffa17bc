package rollout

import (
	"fmt"
	"math"
	"sort"
	"time"
)

// Limits of a cell, the unit of evidence that is added to the sequential tests.
const (
	// minCellTime is the minimum duration of a cell. A cell stays open longer, up to maxCellTime,
	// until it has requests of the new version and minCellRequests of the old one.
	minCellTime = time.Second
	maxCellTime = 10 * time.Second
	// minCellRequests is how many requests of the old version a cell waits for. With one or two, the
	// versions' shares of the cell's requests are too uncertain to show which version causes events.
	minCellRequests = 20
	// restartInterval is the time between two restarts of the tests, see sequentialTest.restarted.
	restartInterval = 10 * time.Second
)

// False positive rates. The leader rolls a good version back in at most 4 of 1,000 moves. Up to
// 1,000 routers that each evaluate only their own traffic do so together in at most 1 of 1,000.
const (
	leaderErrorRate = 0.004
	routerErrorRate = 0.001 / 1000
	// testCount is the number of tests in a move: up to nine routes, warm and cold, three signals,
	// paired and unpaired. The test of all routes together is within it, since failures are not split by
	// warm and cold.
	testCount = 9 * 2 * 3 * 2
)

// Limits within which a version is considered good.
const (
	// nullFailureRate is the failure rate that is tolerated in cells without requests of the old
	// version to compare with. Twice the old version's earlier rate is tolerated if that is higher.
	nullFailureRate = 0.02
	// nullSlowRate is the tolerated rate of slow answers in such cells.
	nullSlowRate = 0.1
	// An answer is slow if its latency is above the slowQuantile of the old version's latency,
	// raised by slowBucketMargin buckets (a factor of 1.4 to 1.7).
	slowQuantile     = 0.9
	slowBucketMargin = 3
	// minReferenceAnswers is how many answers of the old version that limit needs.
	minReferenceAnswers = 20
	// maxReferenceRequests is the number of old-version requests above which the reference's counts
	// are halved, so that recent ones weigh more.
	maxReferenceRequests = 4000
	// suspicionThreshold is the logarithm of the likelihood ratio from which on the next step has
	// to wait, and a short move is not reported as done. It is the logarithm of odds of 20 to 1.
	suspicionThreshold = 3.0
)

// Default limits of slow answers while the reference of the old version is too small: the latency
// targets of the first token and of the time between tokens.
const (
	defaultFirstToken = 1300 * time.Millisecond
	defaultInterval   = 66 * time.Millisecond
)

// signal is a kind of event that counts against a version.
type signal int

const (
	failures signal = iota
	slowFirstTokens
	slowIntervals
	signalCount
)

var signalNames = [signalCount]string{"failures", "slow first tokens", "slow tokens"}

// stratumState holds the tests of one stratum.
type stratumState struct {
	isShort   bool
	openCell  Pair
	openedAt  time.Time
	reference Tally
	// slowLimits are the histogram buckets above which first tokens and token intervals are slow.
	slowLimits [signalCount]uint8
	tests      [signalCount]sequentialTest
	// paired is true once a cell since the last restart held requests of both versions.
	paired bool
	// oldSum and newSum count the results of both versions in the step in force.
	oldSum, newSum Tally
}

// Detector evaluates the evidence of one move. It is not safe for concurrent use.
type Detector struct {
	move        MoveID
	step        int
	strata      map[Stratum]*stratumState
	restartedAt time.Time
	// isShort is true for short moves: failures are also tested over all routes together, and what is slow
	// follows from the old version's answers as soon as there are enough.
	isShort bool
	// newVersionOnly is true while the old version gets no traffic. Cells don't wait for it then.
	newVersionOnly  bool
	leaderThreshold float64
	routerThreshold float64
	// verdict caches the last evaluation. It is valid while isCurrent is true, which Add resets, and
	// for callers with the same role (leader or other router) as isLeaderVerdict.
	verdict         Verdict
	isCurrent       bool
	isLeaderVerdict bool
}

// Verdict is a detector's evaluation of the new version.
type Verdict struct {
	Bad bool
	// Reason describes the strongest evidence against the version, if any.
	Reason string
	// Strength is the logarithm of the likelihood ratio of the strongest test.
	Strength float64
	// Threshold is the strength from which on the version is bad.
	Threshold float64
}

// NewDetector returns the detector of a move. A longer move has more restarts of the tests and
// therefore a higher threshold, so that the false positive rate doesn't grow with its duration.
func NewDetector(move Move) *Detector {
	restarts := math.Max(1, float64(move.Deadline.Sub(move.Begun)/restartInterval))
	return &Detector{
		move: move.ID, step: -1, strata: map[Stratum]*stratumState{},
		leaderThreshold: math.Log(testCount * restarts / leaderErrorRate),
		routerThreshold: math.Log(testCount * restarts / routerErrorRate),
	}
}

// NewShortMoveDetector returns the detector of a short move. It has too few requests for a fault on all
// routes to show on each of them, so failures are also tested over all routes together. It has too little time to
// wait for the first cells, so their answers of the old version tell what is slow.
func NewShortMoveDetector(move Move) *Detector {
	d := NewDetector(move)
	d.isShort = true
	return d
}

// Move returns the id of the move under evaluation.
func (d *Detector) Move() MoveID { return d.move }

// SetStep sets the step in force and its share. A new step resets the counts per step.
func (d *Detector) SetStep(step int, share float64) {
	d.newVersionOnly = share >= 1
	if step == d.step {
		return
	}
	d.step = step
	for _, state := range d.strata {
		state.oldSum, state.newSum = Tally{}, Tally{}
	}
}

// Add adds pairs of evidence that arrived at now.
func (d *Detector) Add(now time.Time, pairs []Pair) {
	d.isCurrent = false
	if now.Sub(d.restartedAt) >= restartInterval {
		d.restart(now)
	}
	for _, pair := range pairs {
		if pair.Stratum.Cold {
			// Failures don't depend on the cache, so they are counted per route.
			routePair := Pair{Stratum: Stratum{Route: pair.Stratum.Route}}
			routePair.Old.Requests, routePair.Old.Failures = pair.Old.Requests, pair.Old.Failures
			routePair.New.Requests, routePair.New.Failures = pair.New.Requests, pair.New.Failures
			d.addPair(now, routePair)
			d.addToAllRoutes(now, routePair)
			pair.Old.Requests, pair.Old.Failures, pair.New.Requests, pair.New.Failures = 0, 0, 0, 0
		}
		d.addPair(now, pair)
		d.addToAllRoutes(now, pair)
	}
}

// addToAllRoutes adds the failures of a pair to the stratum of all routes.
func (d *Detector) addToAllRoutes(now time.Time, pair Pair) {
	if !d.isShort || pair.Old.Requests+pair.New.Requests == 0 {
		return
	}
	d.addPair(now, Pair{
		Stratum: Stratum{Route: allRoutes},
		Old:     Tally{Requests: pair.Old.Requests, Failures: pair.Old.Failures},
		New:     Tally{Requests: pair.New.Requests, Failures: pair.New.Failures},
	})
}

func (d *Detector) addPair(now time.Time, pair Pair) {
	state := d.state(now, pair.Stratum)
	state.maybeCloseCell(now, d.newVersionOnly)
	state.openCell.Old.merge(pair.Old)
	state.openCell.New.merge(pair.New)
	state.oldSum.merge(pair.Old)
	state.newSum.merge(pair.New)
}

func (d *Detector) restart(now time.Time) {
	d.restartedAt = now
	for _, state := range d.strata {
		for i := range state.tests {
			state.tests[i] = state.tests[i].restarted(d.newVersionOnly, state.paired)
		}
		state.paired = false
	}
}

// state returns the state of a stratum. If there are too many strata, it is that of otherRoutes.
func (d *Detector) state(now time.Time, stratum Stratum) *stratumState {
	state, found := d.strata[stratum]
	if !found && len(d.strata) >= 2*maxRoutes {
		stratum.Route = otherRoutes
		state, found = d.strata[stratum]
	}
	if !found {
		state = &stratumState{openedAt: now, isShort: d.isShort}
		state.updateSlowLimits()
		d.strata[stratum] = state
	}
	return state
}

// maybeCloseCell adds the open cell to the tests if it has enough requests or has reached its maximum
// duration. The condition must not depend on events, since optional stopping would bias the tests.
func (s *stratumState) maybeCloseCell(now time.Time, newVersionOnly bool) {
	age := now.Sub(s.openedAt)
	both := s.openCell.Old.hasRequests() && s.openCell.New.hasRequests()
	enough := both && max(s.openCell.Old.Requests, s.openCell.Old.FirstToken.total()) >= minCellRequests
	if age < minCellTime || (!enough && !newVersionOnly && age < maxCellTime) {
		return
	}
	for kind := range s.tests {
		s.tests[kind] = s.withOpenCell(signal(kind))
	}
	s.reference.merge(s.openCell.Old)
	if max(s.reference.Requests, s.reference.FirstToken.total()) > maxReferenceRequests {
		s.reference.Requests /= 2
		s.reference.Failures /= 2
		s.reference.FirstToken.halve()
		s.reference.Interval.halve()
	}
	s.updateSlowLimits()
	s.paired = s.paired || both
	s.openCell = Pair{}
	s.openedAt = now
}

// updateSlowLimits computes the buckets above which answers are slow from the reference.
func (s *stratumState) updateSlowLimits() {
	s.slowLimits[slowFirstTokens] = slowLimit(s.reference.FirstToken, defaultFirstToken)
	s.slowLimits[slowIntervals] = slowLimit(s.reference.Interval, defaultInterval)
}

// slowLimit returns the bucket above which answers are slow.
func slowLimit(reference Histogram, fallback time.Duration) uint8 {
	if reference.total() < minReferenceAnswers {
		return bucketOf(fallback)
	}
	return reference.quantile(slowQuantile) + slowBucketMargin
}

// withOpenCell returns the test of a signal with the open cell added.
func (s *stratumState) withOpenCell(kind signal) sequentialTest {
	c, nullRate := s.cell(kind)
	return s.tests[kind].withCell(c, nullRate)
}

// cell returns the open cell's counts of a signal, and the event rate that is tolerated without
// requests of the old version.
func (s *stratumState) cell(kind signal) (cell, float64) {
	if kind == failures {
		oldRate := float64(s.reference.Failures) / math.Max(1, float64(s.reference.Requests))
		return cell{
			oldRequests: float64(s.openCell.Old.Requests), oldEvents: float64(s.openCell.Old.Failures),
			newRequests: float64(s.openCell.New.Requests), newEvents: float64(s.openCell.New.Failures),
		}, math.Max(nullFailureRate, 2*oldRate)
	}
	older, newer := s.openCell.Old.FirstToken, s.openCell.New.FirstToken
	if kind == slowIntervals {
		older, newer = s.openCell.Old.Interval, s.openCell.New.Interval
	}
	limit := s.slowLimit(kind, older)
	return cell{
		oldRequests: float64(older.total()), oldEvents: float64(older.above(limit)),
		newRequests: float64(newer.total()), newEvents: float64(newer.above(limit)),
	}, nullSlowRate
}

// slowLimit returns the bucket above which answers are slow, given those of the old version in the open cell.
func (s *stratumState) slowLimit(kind signal, older Histogram) uint8 {
	reference, fallback := s.reference.FirstToken, defaultFirstToken
	if kind == slowIntervals {
		reference, fallback = s.reference.Interval, defaultInterval
	}
	if !s.isShort || reference.total() >= minReferenceAnswers {
		return s.slowLimits[kind]
	}
	return slowLimit(mergeHistograms(mergeHistograms(nil, reference), older), fallback)
}

// Verdict evaluates the evidence added so far. Leader is true for the router that receives the
// evidence of all routers. The others need stronger evidence, since there are many of them and each
// may be wrong.
func (d *Detector) Verdict(leader bool) Verdict {
	if d.isCurrent && d.isLeaderVerdict == leader {
		return d.verdict
	}
	d.verdict, d.isCurrent, d.isLeaderVerdict = d.evaluate(leader), true, leader
	return d.verdict
}

func (d *Detector) evaluate(leader bool) Verdict {
	threshold := d.routerThreshold
	if leader {
		threshold = d.leaderThreshold
	}
	worst := Verdict{Threshold: threshold, Reason: "no evidence against the new version"}
	var worstStratum Stratum
	var worstKind signal
	for _, stratum := range d.sortedStrata() {
		state := d.strata[stratum]
		for kind := range state.tests {
			strength := state.withOpenCell(signal(kind)).strength()
			if strength > worst.Strength && (strength >= threshold || !d.isExpected(stratum, signal(kind))) {
				worst.Strength, worstStratum, worstKind = strength, stratum, signal(kind)
			}
		}
	}
	worst.Bad = worst.Strength >= threshold
	if worst.Strength >= suspicionThreshold {
		worst.Reason = d.strata[worstStratum].explain(worstStratum, worstKind, worst.Strength)
		return worst
	}
	if reason := d.shortMoveDoubt(); reason != "" {
		worst.Strength, worst.Reason = suspicionThreshold, reason
	}
	return worst
}

// isExpected reports whether a sound version shows some of a signal, too: the engines of a short move have just
// started, and their empty caches delay first tokens.
func (d *Detector) isExpected(stratum Stratum, kind signal) bool {
	return d.isShort && stratum.Cold && kind == slowFirstTokens
}

// sortedStrata returns the strata by route, warm before cold.
func (d *Detector) sortedStrata() []Stratum {
	order := make([]Stratum, 0, len(d.strata))
	for stratum := range d.strata {
		order = append(order, stratum)
	}
	sort.Slice(order, func(i, j int) bool {
		if order[i].Route != order[j].Route {
			return order[i].Route < order[j].Route
		}
		return !order[i].Cold && order[j].Cold
	})
	return order
}

func (s *stratumState) explain(stratum Stratum, kind signal, strength float64) string {
	if kind == failures {
		return fmt.Sprintf("%s on %q, odds e^%.1f; in this step the new version failed %d of %d, the old one %d of %d",
			signalNames[kind], stratum.Route, strength,
			s.newSum.Failures, s.newSum.Requests, s.oldSum.Failures, s.oldSum.Requests)
	}
	cache := "warm"
	if stratum.Cold {
		cache = "cold"
	}
	return fmt.Sprintf("%s on %q (%s cache), odds e^%.1f; median first token %s against %s, between tokens %s against %s",
		signalNames[kind], stratum.Route, cache, strength,
		s.newSum.FirstToken.median(), s.oldSum.FirstToken.median(), s.newSum.Interval.median(), s.oldSum.Interval.median())
}

// median returns the lower bound of the median's bucket.
func (h Histogram) median() time.Duration {
	if h.total() == 0 {
		return 0
	}
	micros := math.Exp2(float64(h.quantile(0.5)) / bucketsPerOctave)
	return time.Duration(micros * float64(time.Microsecond)).Round(100 * time.Microsecond)
}
