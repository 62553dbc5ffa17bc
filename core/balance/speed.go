package balance

import (
	"cmp"
	"math"
	"slices"
	"time"

	"agateswitch/core/fleet"
)

// Parameters of work times.
const (
	// workTimeMemory is the age at which a statement has no weight left, and is no longer told to other routers. Engines that share a
	// machine state another figure several times a second.
	workTimeMemory = 500 * time.Millisecond
	// minWorkTime and maxWorkTime bound what a statement can do to the place of an upstream.
	minWorkTime, maxWorkTime = 0.5, 8.0
	// usualMargin is how far from the usual time a work time may be to count as usual.
	usualMargin = 0.1
	// MaxWorkTimesPerMessage bounds the statements in one message, at about 16 bytes each.
	MaxWorkTimesPerMessage = 64
	// maxWorkTimes bounds the upstreams with a statement.
	maxWorkTimes = 4096
)

// WorkTimeMark is what an upstream last stated of its work time, as one router tells it to others.
type WorkTimeMark struct {
	//lint:ignore U1000 The msgpack library reads this tag.
	_msgpack struct{} `msgpack:",as_array"`
	Upstream fleet.UpstreamID
	// Percent is how long work takes there, in percent of the usual time.
	Percent int
	// AgeMs is the time since the answer that states it arrived.
	AgeMs int
}

// WorkTimes holds how long work takes at upstreams that state it in their answers, relative to the usual time. It is made for engines
// that share their machines: their speed changes several times a second, and one router of many gets an answer of each engine only
// every few seconds. A statement loses weight with its age, so that no upstream is without work for long for what it once said.
// It is not safe for concurrent use. The zero value is empty.
type WorkTimes struct {
	known map[fleet.UpstreamID]*workTime
	// meanError is the mean error of all statements, see judge.
	meanError float64
}

// workTime is the newest statement of one upstream.
type workTime struct {
	ratio    float64
	statedAt time.Time
	// unusualAt is when it last stated a time that is not the usual one.
	unusualAt time.Time
	isNews    bool
	trust     trust
}

// State records what an upstream states in an answer that arrived at now, in percent. Percentages of 0 or less are ignored. It reports
// whether that is news for other routers.
func (w *WorkTimes) State(upstream fleet.UpstreamID, percent float64, now time.Time) bool {
	return w.record(upstream, percent/100, now, now, true)
}

// Merge records what another router told at now. With passOn it is also news for others.
func (w *WorkTimes) Merge(mark WorkTimeMark, now time.Time, passOn bool) bool {
	age := time.Duration(max(0, mark.AgeMs)) * time.Millisecond
	return w.record(mark.Upstream, float64(mark.Percent)/100, now.Add(-age), now, passOn)
}

func (w *WorkTimes) record(upstream fleet.UpstreamID, ratio float64, statedAt, now time.Time, tell bool) bool {
	if !(ratio > 0) || now.Sub(statedAt) > workTimeMemory {
		return false
	}
	known, found := w.known[upstream]
	if !found {
		if w.known == nil {
			w.known = map[fleet.UpstreamID]*workTime{}
		}
		if len(w.known) >= maxWorkTimes {
			w.forget(now)
		}
		known = &workTime{}
		w.known[upstream] = known
	}
	if !known.statedAt.Before(statedAt) {
		return false
	}
	known.ratio, known.statedAt = min(max(ratio, minWorkTime), maxWorkTime), statedAt
	if math.Abs(known.ratio-1) <= usualMargin {
		known.ratio = 1
	} else {
		known.unusualAt = statedAt
	}
	known.isNews = tell && known.isRecentlyUnusual(now)
	return known.isNews
}

// isRecentlyUnusual reports whether other routers may assume another time than the usual one.
func (k *workTime) isRecentlyUnusual(now time.Time) bool {
	return now.Sub(k.unusualAt) <= workTimeMemory
}

// forget removes statements that have no weight any more, and all if each has some.
func (w *WorkTimes) forget(now time.Time) {
	for id, known := range w.known {
		if now.Sub(known.statedAt) > workTimeMemory {
			delete(w.known, id)
		}
	}
	if len(w.known) >= maxWorkTimes {
		clear(w.known)
	}
}

// WorkTime returns how long work is expected to take at an upstream, relative to the usual time. It is 0 if the upstream has never
// stated it. It approaches 1 with the age of the statement, and is 1 if the times of answers contradict the statements.
func (w *WorkTimes) WorkTime(upstream fleet.UpstreamID, now time.Time) float64 {
	known, found := w.known[upstream]
	if !found {
		return 0
	}
	age := now.Sub(known.statedAt)
	if age > workTimeMemory || known.trust.isLost {
		return 1
	}
	weight := 1 - float64(max(0, age))/float64(workTimeMemory)
	return 1 + weight*(known.ratio-1)
}

// TakeNews returns the newest statements that other routers have not been told.
func (w *WorkTimes) TakeNews(now time.Time) []WorkTimeMark {
	marks := w.marks(now, func(known *workTime) bool { return known.isNews })
	for _, mark := range marks {
		w.known[mark.Upstream].isNews = false
	}
	return marks
}

// Recent returns the newest statements that differ from what routers assume without them, for those that ask at intervals.
func (w *WorkTimes) Recent(now time.Time) []WorkTimeMark {
	return w.marks(now, func(known *workTime) bool { return known.isRecentlyUnusual(now) })
}

// marks returns statements that still have weight, the newest first.
func (w *WorkTimes) marks(now time.Time, include func(*workTime) bool) []WorkTimeMark {
	var marks []WorkTimeMark
	for id, known := range w.known {
		age := now.Sub(known.statedAt)
		if age <= workTimeMemory && include(known) {
			marks = append(marks, WorkTimeMark{Upstream: id, Percent: int(math.Round(100 * known.ratio)), AgeMs: int(age.Milliseconds())})
		}
	}
	if len(marks) > MaxWorkTimesPerMessage {
		slices.SortFunc(marks, func(a, b WorkTimeMark) int { return cmp.Compare(a.AgeMs, b.AgeMs) })
		marks = marks[:MaxWorkTimesPerMessage]
	}
	return marks
}
