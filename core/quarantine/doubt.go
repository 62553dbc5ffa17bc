package quarantine

import (
	"slices"
	"time"
)

// companyWindow is the time around the end of an engine in which another engine that ends, too, makes it likely that both
// ended for another reason than what they worked on.
const companyWindow = time.Second

// waveEnds is how many engines make a wave when they end at about the same time.
const waveEnds = 2

// Limits of the time without a wave of ends. waveLength is the time over which the ends of a wave are compared.
const (
	minQuietTime = time.Second
	maxQuietTime = 5 * time.Second
	quietGaps    = 3
	waveLength   = 10 * time.Second
)

// Accompanied returns how many of the ends that count against a part had company: an engine on which the part was not in
// work ended at about the same time.
func (e *Evidence) Accompanied(part Part) int {
	r, found := e.parts[part]
	if !found {
		return 0
	}
	accompanied := 0
	for _, end := range r.ends {
		if e.hasCompany(r, end.at) {
			accompanied++
		}
	}
	return accompanied
}

// hasCompany reports whether an engine that is not in the record ended at about a time.
func (e *Evidence) hasCompany(r *record, at time.Time) bool {
	for engine, ended := range e.ended {
		if ended.manner.IsInWork() && ended.at.Sub(at).Abs() <= companyWindow && !r.has(engine) {
			return true
		}
	}
	return false
}

// IsDoubtful reports whether the ends that count against a part may well have another cause: those without company would not even
// make it a suspect, or a sound part with its share of the requests may meet as many. In a wave of ends a sound part that is in use
// meets as many as a guilty one.
func (e *Evidence) IsDoubtful(part Part) bool { return e.Weigh(part).Doubtful }

// HasCounted reports whether all ends for which a part was held back count still. They are unknown to a router that has started since.
func (e *Evidence) HasCounted(h Hold) bool {
	return len(h.Engines) > 0 && h.Weight != nil && len(e.Engines(h.Part)) >= len(h.Engines)
}

// lacksOwnEnds reports whether the ends without company would not make the part a suspect.
func (e *Evidence) lacksOwnEnds(r *record) bool {
	own := 0
	for _, end := range r.ends {
		if !e.hasCompany(r, end.at) {
			own++
		}
	}
	return own < suspectEnds
}

// isInWave reports whether engines of the pool ended without the part shortly before its first end or after its last one. Ends in a row
// on which the part was in work prove little then, as they were picked from a wave, and a part that is held back ends none.
func (e *Evidence) isInWave(r *record) bool {
	if len(r.ends) >= maxEnds {
		return false
	}
	first, last, pool := r.ends[0].at, r.ends[len(r.ends)-1].at, r.pool()
	var before, after []time.Time
	for engine, ended := range e.ended {
		switch {
		case !ended.manner.IsInWork() || pool != "" && ended.pool != "" && ended.pool != pool || r.has(engine):
		case ended.at.Before(first) && first.Sub(ended.at) <= waveLength:
			before = append(before, ended.at)
		case ended.at.After(last) && ended.at.Sub(last) <= waveLength:
			after = append(after, ended.at)
		}
	}
	return countMoments(before) >= waveEnds || countMoments(after) >= waveEnds
}

// countMoments counts ends, and those at the same moment once. It sorts the times.
func countMoments(times []time.Time) int {
	slices.SortFunc(times, time.Time.Compare)
	return len(slices.CompactFunc(times, func(a, b time.Time) bool { return a.Sub(b).Abs() < sameCauseWindow }))
}

// QuietTime returns how long hardly any engine must have ended before a wave of ends counts as over: several times the usual time between two
// ends of the wave.
func (e *Evidence) QuietTime() time.Duration {
	var last time.Time
	times := make([]time.Time, 0, len(e.ended))
	for _, ended := range e.ended {
		times = append(times, ended.at)
		if ended.at.After(last) {
			last = ended.at
		}
	}
	times = slices.DeleteFunc(times, func(at time.Time) bool { return last.Sub(at) > waveLength })
	slices.SortFunc(times, time.Time.Compare)
	times = slices.CompactFunc(times, func(a, b time.Time) bool { return a.Sub(b).Abs() < sameCauseWindow })
	if len(times) <= waveEnds {
		return minQuietTime
	}
	gap := times[len(times)-1].Sub(times[0]) / time.Duration(len(times)-1)
	return min(max(quietGaps*gap, minQuietTime), maxQuietTime)
}

// IsWave reports whether the end of an engine is one of a wave of ends, whatever the others worked on.
func (e *Evidence) IsWave(end End) bool {
	window, others := e.QuietTime(), 0
	for engine, ended := range e.ended {
		if ended.manner.IsInWork() && engine != end.Engine && ended.at.Sub(end.At).Abs() <= window {
			others++
		}
	}
	return others >= waveEnds
}

// QuietSince returns since when no engine, or a single one, has ended.
func (e *Evidence) QuietSince() time.Time {
	var last, beforeLast time.Time
	for _, ended := range e.ended {
		switch {
		case ended.at.After(last):
			last, beforeLast = ended.at, last
		case ended.at.After(beforeLast):
			beforeLast = ended.at
		}
	}
	return beforeLast
}
