package quarantine

import (
	"fmt"
	"strings"
	"time"

	"agateswitch/core/evidence"
	"agateswitch/core/fleet"
	"agateswitch/core/quarantine"
)

// Beliefs returns what this router believes of parts of prompts and requests that are suspected, held back or on trial.
func (s *Service) Beliefs() []evidence.Belief {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	beliefs := []evidence.Belief{}
	for part, h := range s.holds {
		switch {
		case h.IsOnTrial(now):
			beliefs = append(beliefs, beliefOf(h.Hold, "on trial", h.Since, now))
		case h.InForce(now) && h.Tried:
			beliefs = append(beliefs, beliefOf(h.Hold, "held after a trial", h.Since, now))
		case h.InForce(now):
			beliefs = append(beliefs, beliefOf(h.Hold, "held", s.evidence.LastEnd(part), now))
		}
	}
	for _, part := range s.evidence.Suspects() {
		if s.isHeld(part) || s.isOnTrial(part) {
			continue
		}
		suspected := quarantine.Hold{Part: part, Origin: s.evidence.Origin(part), Accompanied: s.evidence.Accompanied(part)}
		for _, engine := range s.evidence.Engines(part) {
			suspected.Engines = append(suspected.Engines, engine.ID)
		}
		beliefs = append(beliefs, beliefOf(suspected, "suspect", s.evidence.LastEnd(part), now))
	}
	return beliefs
}

// beliefOf describes a part with the ends of engines that count against it. A router that started after the last one knows when the
// part was held back.
func beliefOf(h quarantine.Hold, state string, lastEnd, now time.Time) evidence.Belief {
	if lastEnd.IsZero() {
		lastEnd = h.Since
	}
	belief := evidence.Belief{
		Kind: evidence.Part, Subject: string(h.Part), State: state, Observations: len(h.Engines), Against: len(h.Engines), AgeMs: max(0, now.Sub(lastEnd).Milliseconds()),
		Why: fmt.Sprintf("ended on it: %s; %d of them in company", join(h.Engines), h.Accompanied),
	}
	if h.Part.IsWholeRequest() {
		belief.Kind = evidence.Request
	}
	if h.Route != "" {
		belief.Why += fmt.Sprintf("; route %s, team %s", h.Route, h.Team)
	}
	return belief
}

func join(engines []fleet.UpstreamID) string {
	names := make([]string, 0, len(engines))
	for _, engine := range engines {
		names = append(names, string(engine))
	}
	return strings.Join(names, ", ")
}
