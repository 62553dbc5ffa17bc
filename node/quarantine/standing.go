package quarantine

import (
	"time"

	"agateswitch/core/fleet"
	"agateswitch/core/quarantine"
)

// standing returns the standing of a part and how many ends count against it. Without an entry no part is held back: a part may lose
// its explanation when the next one goes on trial, or its entry to others. Its next end holds it back.
func (s *Service) standing(part quarantine.Part, isRepeat bool) (quarantine.Standing, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ends := s.evidence.Ends(part)
	if s.isHeld(part) {
		return quarantine.Held, ends
	}
	if s.isOnTrial(part) {
		return quarantine.Suspect, ends
	}
	standing := s.evidence.Standing(part, isRepeat)
	if standing == quarantine.Held && s.isTooCostly(part) {
		return quarantine.Clear, ends
	}
	return min(standing, quarantine.Suspect), ends
}

// isHeld reports whether a part is held back. The caller holds mu.
func (s *Service) isHeld(part quarantine.Part) bool {
	h, found := s.holds[part]
	return found && h.InForce(time.Now())
}

// HasEnded reports whether an engine has ended and answered no request since.
func (s *Service) HasEnded(engine quarantine.Engine) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.evidence.HasEnded(engine)
}

// MaySend reports whether none of a request's parts is held back.
func (s *Service) MaySend(parts []quarantine.Part) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, part := range parts {
		if s.isHeld(part) {
			return false
		}
	}
	return true
}

// Lost records that an engine has ended as a router sees it without a request in work there. Each router sees that by itself.
func (s *Service) Lost(engine quarantine.Engine, pool fleet.PoolID, manner quarantine.Manner) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.evidence.AddEnding(quarantine.End{Engine: engine, At: time.Now(), Pool: pool, Manner: manner}) {
		s.log.Info("engine ended", "manner", manner, "pool", pool, "upstream", engine.ID, "incarnation", engine.Incarnation)
	}
}
