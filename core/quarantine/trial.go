package quarantine

import (
	"slices"
	"time"

	"agateswitch/core/fleet"
)

// Limits of the trials of parts that are held back.
const (
	// DefaultTrials is how many engines an hour the trials of a part may cost, unless settings say otherwise.
	DefaultTrials = 2
	// MaxTrials is the largest number that settings may state.
	MaxTrials = 60
	// maxTrialInterval bounds the time between two trials of a part.
	maxTrialInterval = 8 * time.Hour
	// disturbedInterval is the time to the next trial after one that says little, as other engines ended beside it.
	disturbedInterval = 5 * time.Second
	// maxFailedTrials bounds the failed trials that are remembered of a part.
	maxFailedTrials = MaxTrials
)

// Schedule says when parts that are held back are tried.
type Schedule struct {
	// TrialsPerHour is how many engines an hour the trials of a part may cost. 0 means DefaultTrials.
	TrialsPerHour int
}

// Next returns when a hold is tried: one in doubt at once, as there is hardly anything against the part; others some time after they
// began, and further apart each time that an engine ends. A trial beside a wave of ends is soon followed by another one, within the
// bound for an hour.
func (s Schedule) Next(h Hold, isDoubtful bool) time.Time {
	perHour := min(s.TrialsPerHour, MaxTrials)
	if perHour <= 0 {
		perHour = DefaultTrials
	}
	interval := time.Hour / time.Duration(perHour)
	failed := h.failures()
	switch {
	case len(failed) == 0 && isDoubtful:
		return h.Since
	case len(failed) == 0:
		return h.Since.Add(interval)
	}
	last := failed[len(failed)-1]
	recent := 0
	for _, at := range failed {
		if last.Sub(at) < time.Hour {
			recent++
		}
	}
	if h.Disturbed && recent < perHour {
		return last.Add(disturbedInterval)
	}
	for range min(len(failed)-1, 10) {
		interval *= 2
	}
	return last.Add(min(interval, max(maxTrialInterval, time.Hour)))
}

// failures returns when engines ended on trial. Routers of earlier builds don't tell them: they tried a part once, and the hold
// since then is the later one.
func (h Hold) failures() []time.Time {
	if len(h.FailedTrials) == 0 && h.Tried {
		return []time.Time{h.Since}
	}
	return h.FailedTrials
}

// Try returns the entry of a part that is held back and now on trial.
func (h Hold) Try() Hold {
	h.Released, h.OnTrial, h.Reason = true, true, "on trial"
	return h
}

// Convict returns the entry of a part that was on trial when an engine ended, for a hold by a router since now.
func (h Hold) Convict(engine fleet.UpstreamID, router fleet.HostID, now time.Time) Hold {
	h.FailedTrials = append(slices.Clip(h.failures()), h.Next(now))
	h.FailedTrials = h.FailedTrials[max(0, len(h.FailedTrials)-maxFailedTrials):]
	h.Engines = append(slices.Clip(h.Engines), engine)
	h.Engines = h.Engines[max(0, len(h.Engines)-maxEnds):]
	h.Since, h.Router, h.Tried = h.Next(now), router, true
	h.Released, h.OnTrial, h.Disturbed, h.Reason = false, false, false, ""
	return h
}

// IsDoubtful reports whether what is kept of the evidence leaves the hold in doubt. Without any, as in entries of earlier builds,
// nothing is against the part but the hold itself.
func (h Hold) IsDoubtful() bool { return h.Weight == nil || h.Weight.Doubtful }
