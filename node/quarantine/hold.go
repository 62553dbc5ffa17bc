package quarantine

import (
	"time"

	"agateswitch/core/quarantine"
)

// isTooCostly reports whether a hold that would be in doubt would, with the others in doubt, take most requests of the pool. The caller
// holds mu.
func (s *Service) isTooCostly(part quarantine.Part) bool {
	weight := s.evidence.Weigh(part)
	if !weight.Doubtful || weight.Requests == 0 {
		return false
	}
	now, pool := time.Now(), s.evidence.Pool(part)
	total, _ := weight.Share().Bounds()
	for _, h := range s.holds {
		if h.InForce(now) && h.Pool == pool && h.Part != part && h.Weight != nil && h.Weight.Doubtful {
			low, _ := h.Weight.Share().Bounds()
			total += low
		}
	}
	return total > quarantine.MaxHoldShare
}

// hold holds a part back. The caller holds mu.
func (s *Service) hold(part quarantine.Part, now time.Time) {
	weight := s.evidence.Weigh(part)
	h := quarantine.Hold{
		Part: part, Since: now, Router: s.self, Origin: s.evidence.Origin(part), Accompanied: s.evidence.Accompanied(part),
		Pool: s.evidence.Pool(part), Weight: &weight,
	}
	if earlier, found := s.holds[part]; found {
		h.Since = earlier.Next(now)
	}
	for _, engine := range s.evidence.Engines(part) {
		h.Engines = append(h.Engines, engine.ID)
	}
	s.log.Warn("part of a prompt or request held back because engines end that work on it", "part", part, "route", h.Route,
		"team", h.Team, "engines", h.Engines, "accompanied", h.Accompanied, "pool", h.Pool, "ends", weight.Ends, "pool_ends", weight.PoolEnds,
		"with", weight.With, "requests", weight.Requests, "base_rate", weight.BaseRate, "factor", weight.Factor, "doubtful", weight.Doubtful)
	s.change(h)
}

// change puts a new content of an entry in force, to be told to the other routers and written to the store. The
// caller holds mu.
func (s *Service) change(content quarantine.Hold) {
	current, found := s.holds[content.Part]
	if !found {
		s.makeRoom()
		current = &hold{}
		s.holds[content.Part] = current
	}
	current.set(content, time.Now())
	s.decided[content.State()]++
	s.news.holds = append(s.news.holds, content)
	s.notify()
}

// makeRoom forgets the oldest part if there are too many, and first those that are not held back. The caller holds mu.
func (s *Service) makeRoom() {
	if len(s.holds) < quarantine.MaxHolds {
		return
	}
	var oldest quarantine.Part
	for part, h := range s.holds {
		if oldest == "" || h.Released && !s.holds[oldest].Released || h.Released == s.holds[oldest].Released && h.Since.Before(s.holds[oldest].Since) {
			oldest = part
		}
	}
	s.log.Warn("too many parts are held back; forgetting the oldest", "part", oldest, "since", s.holds[oldest].Since)
	delete(s.holds, oldest)
}
