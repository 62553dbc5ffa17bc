package rollout

import (
	"math"
	"sort"
	"time"

	"agateswitch/core/fleet"
)

// Bounds of a report's size.
const (
	// maxRoutes is how many routes are counted separately. Further ones are counted together.
	maxRoutes = 8
	// otherRoutes is the name under which routes above maxRoutes are counted.
	otherRoutes = "other"
	// allRoutes is the name under which a short move counts all routes together.
	allRoutes = "all routes"
	// bucketsPerOctave sets the width of latency buckets to a factor of 2^(1/4), or 19%.
	bucketsPerOctave = 4
	maxBucket        = 127
)

// Histogram counts durations in buckets of equal ratio, from 1 µs. Histograms can be merged.
type Histogram map[uint8]uint32

func bucketOf(duration time.Duration) uint8 {
	micros := float64(duration) / float64(time.Microsecond)
	if micros <= 1 {
		return 0
	}
	return uint8(min(math.Log2(micros)*bucketsPerOctave, maxBucket))
}

func (h Histogram) total() uint32 {
	var sum uint32
	for _, count := range h {
		sum += count
	}
	return sum
}

// above returns the number of durations in buckets above the given one.
func (h Histogram) above(bucket uint8) uint32 {
	var sum uint32
	for index, count := range h {
		if index > bucket {
			sum += count
		}
	}
	return sum
}

// quantile returns the bucket that holds the q-quantile, with q in (0, 1).
func (h Histogram) quantile(q float64) uint8 {
	buckets := make([]int, 0, len(h))
	for index := range h {
		buckets = append(buckets, int(index))
	}
	sort.Ints(buckets)
	remaining := q * float64(h.total())
	for _, index := range buckets {
		remaining -= float64(h[uint8(index)])
		if remaining <= 0 {
			return uint8(index)
		}
	}
	return maxBucket
}

// Tally counts the results of one version in one stratum.
type Tally struct {
	// Started counts the requests that were sent. Only short moves count it.
	Started uint32 `msgpack:"s,omitempty"`
	// Refused counts those of them that the upstream refused to run.
	Refused uint32 `msgpack:"x,omitempty"`
	// Requests counts those that ended.
	Requests uint32 `msgpack:"n,omitempty"`
	Failures uint32 `msgpack:"f,omitempty"`
	// FirstToken counts the times to the first byte, Interval the mean times between tokens.
	FirstToken Histogram `msgpack:"t,omitempty"`
	Interval   Histogram `msgpack:"i,omitempty"`
}

// hasRequests reports whether the tally holds any request. A cold tally may hold latencies only,
// since Detector.Add counts its requests and failures for the whole route.
func (t Tally) hasRequests() bool { return t.Requests > 0 || len(t.FirstToken) > 0 }

func (t *Tally) add(evidence fleet.Evidence) {
	t.Requests++
	if evidence.Failed {
		t.Failures++
		return
	}
	t.FirstToken = count(t.FirstToken, evidence.FirstToken)
	t.Interval = count(t.Interval, evidence.TokenInterval)
}

func count(histogram Histogram, duration time.Duration) Histogram {
	if duration <= 0 {
		return histogram
	}
	if histogram == nil {
		histogram = Histogram{}
	}
	histogram[bucketOf(duration)]++
	return histogram
}

func (t *Tally) merge(other Tally) {
	t.Started += other.Started
	t.Refused += other.Refused
	t.Requests += other.Requests
	t.Failures += other.Failures
	t.FirstToken = mergeHistograms(t.FirstToken, other.FirstToken)
	t.Interval = mergeHistograms(t.Interval, other.Interval)
}

func mergeHistograms(into, other Histogram) Histogram {
	if into == nil && len(other) > 0 {
		into = Histogram{}
	}
	for index, count := range other {
		into[index] += count
	}
	return into
}

// halve halves all counts, so that later observations weigh more.
func (h Histogram) halve() {
	for index, count := range h {
		h[index] = count / 2
	}
}

// Stratum identifies a set of similar requests. The versions are compared only within a stratum.
// Cold requests, whose prompt prefix is not expected to be cached, form strata of their own: each
// chat is cold at first after it moves to the new version, which slows its first token.
type Stratum struct {
	Route string `msgpack:"r"`
	Cold  bool   `msgpack:"c,omitempty"`
}

// Pair holds the results of both versions in the same period.
type Pair struct {
	Stratum Stratum `msgpack:"s"`
	Old     Tally   `msgpack:"o"`
	New     Tally   `msgpack:"n"`
}

// Evidence aggregates the results of one move's exchanges. It is not safe for concurrent use.
type Evidence struct {
	pairs map[Stratum]*Pair
}

// Add counts the result of an exchange. It ignores versions that are not part of the move.
func (e *Evidence) Add(move Move, evidence fleet.Evidence) {
	if tally := e.tally(move, evidence.Version, Stratum{Route: evidence.Route, Cold: evidence.Cold}); tally != nil {
		tally.add(evidence)
	}
}

// Start counts a request that was sent to an upstream of a version.
func (e *Evidence) Start(move Move, version fleet.Version, stratum Stratum) {
	if tally := e.tally(move, version, stratum); tally != nil {
		tally.Started++
	}
}

// Refuse counts a started request that an upstream refused to run. Refusals tell how busy the upstream is, not
// how good its version.
func (e *Evidence) Refuse(move Move, version fleet.Version, stratum Stratum) {
	if tally := e.tally(move, version, stratum); tally != nil {
		tally.Refused++
	}
}

// tally returns the tally of a version in a stratum. It is nil if the version is not part of the move.
func (e *Evidence) tally(move Move, version fleet.Version, stratum Stratum) *Tally {
	switch version {
	case move.To:
		return &e.pair(stratum).New
	case move.From:
		return &e.pair(stratum).Old
	}
	return nil
}

// Merge adds pairs that another router reports.
func (e *Evidence) Merge(pairs []Pair) {
	for _, other := range pairs {
		pair := e.pair(other.Stratum)
		pair.Old.merge(other.Old)
		pair.New.merge(other.New)
	}
}

func (e *Evidence) pair(stratum Stratum) *Pair {
	if e.pairs == nil {
		e.pairs = map[Stratum]*Pair{}
	}
	if pair, found := e.pairs[stratum]; found {
		return pair
	}
	// Each route has up to two strata, warm and cold.
	if len(e.pairs) >= 2*maxRoutes {
		stratum.Route = otherRoutes
		if pair, found := e.pairs[stratum]; found {
			return pair
		}
	}
	pair := &Pair{Stratum: stratum}
	e.pairs[stratum] = pair
	return pair
}

// Pairs returns a copy of the pairs, sorted by stratum.
func (e *Evidence) Pairs() []Pair {
	var copied Evidence
	for _, pair := range e.pairs {
		copied.Merge([]Pair{*pair})
	}
	return copied.Take()
}

// Empty reports whether nothing was added since the last Take.
func (e *Evidence) Empty() bool { return len(e.pairs) == 0 }

// Take returns the pairs, sorted by stratum, and empties the evidence.
func (e *Evidence) Take() []Pair {
	taken := make([]Pair, 0, len(e.pairs))
	for _, pair := range e.pairs {
		taken = append(taken, *pair)
	}
	sort.Slice(taken, func(i, j int) bool {
		left, right := taken[i].Stratum, taken[j].Stratum
		if left.Route != right.Route {
			return left.Route < right.Route
		}
		return !left.Cold && right.Cold
	})
	e.pairs = nil
	return taken
}
