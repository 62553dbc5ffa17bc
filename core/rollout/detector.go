package rollout

import (
	"fmt"
	"math"
	"sort"
	"time"
)

// Cells of the sequential tests.
const (
	// cellTime is the least time of a cell; it grows until both versions have requests.
	cellTime    = time.Second
	maxCellTime = 10 * time.Second
	// minCellRequests of the old version make the share of each version in a cell certain
	// enough; with one or two an event says little about which version it falls on.
	minCellRequests = 20
	// restartInterval is the time between two restarts of the tests.
	restartInterval = 10 * time.Second
)

// Error rates. A good version is rolled back by the leader in at most 4 of 1,000 moves,
// and by any of up to 1,000 routers that judge what passes through them in at most 1 of
// 1,000.
const (
	leaderErrorRate = 0.004
	routerErrorRate = 0.001 / 1000
	// testCount is the number of tests in a move: up to nine routes, warm and cold, three
	// signals, in pairs and without.
	testCount = 9 * 2 * 3 * 2
)

// Limits of a good version.
const (
	// nullFailureRate is a failure rate that is not held against a version without a pair.
	nullFailureRate = 0.02
	// nullSlowRate is the same for slow answers.
	nullSlowRate = 0.1
	// slowQuantile of the old version's latency, raised by slowBuckets (a factor of 1.4 to
	// 1.7), is the limit above which an answer is slow.
	slowQuantile = 0.9
	slowBuckets  = 3
	// minReference is how many answers of the old version that limit needs.
	minReference = 20
	// maxReference bounds the memory of the old version's latency.
	maxReference = 4000
	// suspicion is the value of a test, as a logarithm, above which no step is made: 20 to 1.
	suspicion = 3.0
)

// Default limits of slow answers, where the old version gives no measure: the target's
// first token and time between tokens.
const (
	defaultFirstToken = 1300 * time.Millisecond
	defaultInterval   = 66 * time.Millisecond
)

// signal is a kind of event.
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
	open      Pair
	opened    time.Time
	reference Tally
	// limits are the buckets above which first tokens and tokens are slow.
	limits [signalCount]uint8
	tests  [signalCount]sequentialTest
	// paired is true once a cell since the last restart held both versions.
	paired bool
	// oldSum and newSum are what both versions did in the step in force.
	oldSum, newSum Tally
}

// Detector judges the evidence of one move. It is not safe for concurrent use.
type Detector struct {
	move      MoveID
	step      int
	strata    map[Stratum]*stratumState
	restarted time.Time
	// alone is true while the old version gets no traffic, so that no cell waits for it.
	alone  bool
	leader float64
	router float64
	// verdict holds the last judgement while judged is true; evidence makes it false.
	verdict  Verdict
	judged   bool
	judgedAs bool
}

// Verdict is a detector's judgement of the new version.
type Verdict struct {
	Bad bool
	// Reason explains a bad verdict, or the strongest suspicion.
	Reason string
	// Strength is the logarithm of the likelihood ratio of the strongest test.
	Strength float64
	// Threshold is the strength from which on the verdict is bad.
	Threshold float64
}

// NewDetector makes the detector of a move. A longer move has more restarts, and with
// them a higher threshold.
func NewDetector(move Move) *Detector {
	restarts := math.Max(1, float64(move.By.Sub(move.Begun)/restartInterval))
	return &Detector{
		move: move.ID, step: -1, strata: map[Stratum]*stratumState{},
		leader: math.Log(testCount * restarts / leaderErrorRate),
		router: math.Log(testCount * restarts / routerErrorRate),
	}
}

// Move returns the id of the move that is judged.
func (d *Detector) Move() MoveID { return d.move }

// SetStep begins counting anew when the step in force changes. Share is that step's.
func (d *Detector) SetStep(step int, share float64) {
	d.alone = share >= 1
	if step == d.step {
		return
	}
	d.step = step
	for _, state := range d.strata {
		state.oldSum, state.newSum = Tally{}, Tally{}
	}
}

// Add takes pairs as they arrive.
func (d *Detector) Add(now time.Time, pairs []Pair) {
	d.judged = false
	if now.Sub(d.restarted) >= restartInterval {
		d.restart(now)
	}
	for _, pair := range pairs {
		if pair.Stratum.Cold {
			// Failures do not depend on the cache: they are judged for the whole route.
			whole := Pair{Stratum: Stratum{Route: pair.Stratum.Route}}
			whole.Old.Requests, whole.Old.Failures = pair.Old.Requests, pair.Old.Failures
			whole.New.Requests, whole.New.Failures = pair.New.Requests, pair.New.Failures
			d.addPair(now, whole)
			pair.Old.Requests, pair.Old.Failures, pair.New.Requests, pair.New.Failures = 0, 0, 0, 0
		}
		d.addPair(now, pair)
	}
}

func (d *Detector) addPair(now time.Time, pair Pair) {
	state := d.state(now, pair.Stratum)
	state.closeIfDue(now, d.alone)
	state.open.Old.merge(pair.Old)
	state.open.New.merge(pair.New)
	state.oldSum.merge(pair.Old)
	state.newSum.merge(pair.New)
}

func (d *Detector) restart(now time.Time) {
	d.restarted = now
	for _, state := range d.strata {
		for i := range state.tests {
			state.tests[i] = state.tests[i].restarted(d.alone, state.paired)
		}
		state.paired = false
	}
}

func (d *Detector) state(now time.Time, stratum Stratum) *stratumState {
	state, found := d.strata[stratum]
	if !found && len(d.strata) >= 2*maxRoutes {
		stratum.Route = otherRoutes
		state, found = d.strata[stratum]
	}
	if !found {
		state = &stratumState{opened: now}
		state.setLimits()
		d.strata[stratum] = state
	}
	return state
}

// closeIfDue adds the open cell to the tests. When it closes depends on times and counts
// of requests, never on events, so that the tests stay fair.
func (s *stratumState) closeIfDue(now time.Time, alone bool) {
	age := now.Sub(s.opened)
	both := s.open.Old.seen() && s.open.New.seen()
	enough := both && max(s.open.Old.Requests, s.open.Old.FirstToken.total()) >= minCellRequests
	if age < cellTime || (!enough && !alone && age < maxCellTime) {
		return
	}
	for kind := range s.tests {
		s.tests[kind] = s.peek(signal(kind))
	}
	s.reference.merge(s.open.Old)
	if max(s.reference.Requests, s.reference.FirstToken.total()) > maxReference {
		s.reference.Requests /= 2
		s.reference.Failures /= 2
		s.reference.FirstToken.halve()
		s.reference.Interval.halve()
	}
	s.setLimits()
	s.paired = s.paired || both
	s.open = Pair{}
	s.opened = now
}

// setLimits finds from which bucket on answers are slow.
func (s *stratumState) setLimits() {
	s.limits[slowFirstTokens] = slowLimit(s.reference.FirstToken, defaultFirstToken)
	s.limits[slowIntervals] = slowLimit(s.reference.Interval, defaultInterval)
}

func slowLimit(reference Histogram, fallback time.Duration) uint8 {
	if reference.total() < minReference {
		return bucketOf(fallback)
	}
	return reference.quantile(slowQuantile) + slowBuckets
}

// peek returns a test with the open cell added.
func (s *stratumState) peek(kind signal) sequentialTest {
	c, nullRate := s.cell(kind)
	return s.tests[kind].after(c, nullRate)
}

func (s *stratumState) cell(kind signal) (cell, float64) {
	if kind == failures {
		known := float64(s.reference.Failures) / math.Max(1, float64(s.reference.Requests))
		return cell{
			oldRequests: float64(s.open.Old.Requests), oldEvents: float64(s.open.Old.Failures),
			newRequests: float64(s.open.New.Requests), newEvents: float64(s.open.New.Failures),
		}, math.Max(nullFailureRate, 2*known)
	}
	older, newer := s.open.Old.FirstToken, s.open.New.FirstToken
	if kind == slowIntervals {
		older, newer = s.open.Old.Interval, s.open.New.Interval
	}
	limit := s.limits[kind]
	return cell{
		oldRequests: float64(older.total()), oldEvents: float64(older.above(limit)),
		newRequests: float64(newer.total()), newEvents: float64(newer.above(limit)),
	}, nullSlowRate
}

// Verdict judges what has arrived. Leader tells whether all routers' evidence comes here;
// others need stronger evidence, since there are many of them.
func (d *Detector) Verdict(leader bool) Verdict {
	if d.judged && d.judgedAs == leader {
		return d.verdict
	}
	d.verdict, d.judged, d.judgedAs = d.judge(leader), true, leader
	return d.verdict
}

func (d *Detector) judge(leader bool) Verdict {
	threshold := d.router
	if leader {
		threshold = d.leader
	}
	worst := Verdict{Threshold: threshold, Reason: "no evidence against the new version"}
	var worstStratum Stratum
	var worstKind signal
	for _, stratum := range d.order() {
		state := d.strata[stratum]
		for kind := range state.tests {
			if value := state.peek(signal(kind)).value(); value > worst.Strength {
				worst.Strength, worstStratum, worstKind = value, stratum, signal(kind)
			}
		}
	}
	worst.Bad = worst.Strength >= threshold
	if worst.Strength >= suspicion {
		worst.Reason = d.strata[worstStratum].explain(worstStratum, worstKind, worst.Strength)
	}
	return worst
}

func (d *Detector) order() []Stratum {
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

func (s *stratumState) explain(stratum Stratum, kind signal, value float64) string {
	if kind == failures {
		return fmt.Sprintf("%s on %q, odds e^%.1f; in this step the new version failed %d of %d, the old one %d of %d",
			signalNames[kind], stratum.Route, value,
			s.newSum.Failures, s.newSum.Requests, s.oldSum.Failures, s.oldSum.Requests)
	}
	cache := "warm"
	if stratum.Cold {
		cache = "cold"
	}
	return fmt.Sprintf("%s on %q (%s cache), odds e^%.1f; median first token %s against %s, between tokens %s against %s",
		signalNames[kind], stratum.Route, cache, value,
		s.newSum.FirstToken.median(), s.oldSum.FirstToken.median(), s.newSum.Interval.median(), s.oldSum.Interval.median())
}

func (h Histogram) median() time.Duration {
	if h.total() == 0 {
		return 0
	}
	micros := math.Exp2(float64(h.quantile(0.5)) / bucketsPerOctave)
	return time.Duration(micros * float64(time.Microsecond)).Round(100 * time.Microsecond)
}
