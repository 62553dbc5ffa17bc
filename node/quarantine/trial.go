package quarantine

import (
	"maps"
	"time"

	"agateswitch/core/quarantine"
)

// trialPatience is how long a trial that is due waits for the end of a wave of ends, which would end the trial, too.
const trialPatience = 30 * time.Second

// minWanted is how many requests a router must have had for their shares to be those of the pool.
const minWanted = 20

// isOnTrial reports whether a part is on trial. The caller holds mu.
func (s *Service) isOnTrial(part quarantine.Part) bool {
	h, found := s.holds[part]
	return found && h.IsOnTrial(time.Now())
}

// isInDoubt reports whether a part is held back with little against it. Ends that become known after the hold may show that it is, or that
// it is not: an engine seemed to end without the part until the router that had the part in work there has told it. The caller holds mu.
func (s *Service) isInDoubt(h *hold) bool {
	isDoubtful := h.IsDoubtful()
	if s.evidence.HasCounted(h.Hold) {
		isDoubtful = s.evidence.IsDoubtful(h.Part)
	}
	return isDoubtful || s.sharesMost(h)
}

// sharesMost reports whether most requests of the pool are refused because of a hold, whatever it was when the hold began. The caller holds mu.
func (s *Service) sharesMost(h *hold) bool {
	share := s.wanted.Share(h.Pool, h.Part, time.Now())
	return h.Pool != "" && share.Of >= minWanted && share.IsMost()
}

// nextTrial returns when a hold is tried, if hardly any engines end then. The caller holds mu.
func (s *Service) nextTrial(h *hold) time.Time { return s.schedule.Next(h.Hold, s.isInDoubt(h)) }

// awaitTrial returns how long a part that is held back waits for its next trial, and whether that comes once engines have stopped to end.
// A refused request counts as one that is wanted.
func (s *Service) awaitTrial(part quarantine.Part) (soon bool, wait time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h, found := s.holds[part]
	if !found {
		return false, 0
	}
	now := time.Now()
	if h.Pool != "" {
		s.wanted.Add(h.Pool, []quarantine.Part{part}, now)
	}
	wait = max(0, s.nextTrial(h).Sub(now))
	return wait == 0, wait
}

// beginTrials puts the parts on trial that are due, once the ends of engines are over. The router with the lowest rank for a
// part does so first.
func (s *Service) beginTrials() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.holds) == 0 {
		return
	}
	now := time.Now()
	quiet := now.Sub(s.evidence.QuietSince())
	needed := s.evidence.QuietTime()
	for part, h := range s.holds {
		if !h.InForce(now) || quiet < needed && now.Sub(h.learnedAt) < trialPatience {
			continue
		}
		since := min(now.Sub(s.nextTrial(h)), now.Sub(h.learnedAt))
		if since < trialPatience {
			since = min(since, quiet-needed)
		}
		if since < 0 || since < time.Duration(s.fleet.Rank(KeyPrefix+string(part)))*takeoverDelay {
			continue
		}
		s.beginTrial(h, now, quiet)
	}
}

// beginTrial puts a part on trial. The caller holds mu.
func (s *Service) beginTrial(h *hold, now time.Time, quiet time.Duration) {
	content := h.Try()
	if accompanied := s.evidence.Accompanied(h.Part); accompanied > 0 {
		content.Accompanied = accompanied
	}
	s.log.Warn("part of a prompt or request on trial", "part", h.Part, "route", h.Route, "team", h.Team, "engines", h.Engines,
		"ends", s.evidence.Ends(h.Part), "accompanied", content.Accompanied, "held_for", now.Sub(h.Since).Round(time.Millisecond),
		"failed_trials", len(h.FailedTrials), "doubtful", s.isInDoubt(h), "quiet_for", quiet.Round(time.Millisecond))
	s.evidence.AddAnswer([]quarantine.Part{h.Part}, now)
	s.change(content)
}

// endTrial holds a part back again after the end of an engine that worked on it on trial. The caller holds mu.
func (s *Service) endTrial(end quarantine.End, now time.Time) {
	h := s.holds[end.Part]
	if !end.At.After(h.trialSince) {
		return
	}
	content := h.Convict(end.Engine.ID, s.self, now)
	content.Disturbed = s.evidence.IsWave(end)
	s.log.Warn("part of a prompt or request held back again because an engine ended on trial", "part", content.Part, "route", content.Route,
		"team", content.Team, "upstream", end.Engine.ID, "incarnation", end.Engine.Incarnation, "engines", content.Engines,
		"failed_trials", len(content.FailedTrials), "disturbed", content.Disturbed, "next_trial", s.schedule.Next(content, false))
	s.change(content)
}

// Decided returns how often this router has held parts back, tried, held back after a trial, and released them.
func (s *Service) Decided() map[string]int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.decided)
}

// SetSchedule sets how many engines an hour the trials of a part may cost.
func (s *Service) SetSchedule(schedule quarantine.Schedule) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.schedule = schedule
}
