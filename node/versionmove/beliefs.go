package versionmove

import (
	"fmt"
	"time"

	"agateswitch/core/evidence"
	"agateswitch/core/rollout"
)

// Beliefs returns what this router believes of the versions that orders name, and of those that get no requests.
func (s *Service) Beliefs() []evidence.Belief {
	s.mu.Lock()
	defer s.mu.Unlock()
	beliefs := []evidence.Belief{}
	for pool, m := range s.moves {
		beliefs = append(beliefs, s.belief(m))
		for version := range s.withdrawn[pool] {
			if version != m.order.Target {
				beliefs = append(beliefs, evidence.Belief{Kind: evidence.Version, Subject: fmt.Sprint(pool, " ", version), State: "withdrawn", Why: "no order names it"})
			}
		}
	}
	return beliefs
}

// belief returns what this router believes of a move's new version. Callers hold mu.
func (s *Service) belief(m *move) evidence.Belief {
	verdict := m.detector.Verdict(true)
	belief := evidence.Belief{
		Kind: evidence.Version, Subject: fmt.Sprint(m.order.Pool, " ", m.order.Target), Observations: int(m.progress.Answered), Against: int(m.progress.Failed),
		Observers: m.history.Observers(), AgeMs: m.observedAgo().Milliseconds(), Why: fmt.Sprintf("%s (strength %.1f of %.1f)", verdict.Reason, verdict.Strength, verdict.Threshold),
	}
	switch {
	case m.state == rollout.StatusRolledBack:
		belief.State = "rolled back"
	case m.state == rollout.StatusDone:
		belief.State = "succeeded"
	case m.inheritance != nil:
		belief.State = "learning"
	default:
		belief.State = string(s.phase(m))
	}
	if m.reason != "" {
		belief.Why = m.reason
	}
	if m.isPartial {
		belief.Why += "; what routers saw before this one started is not known"
	}
	return belief
}

// observedAgo returns the time since the latest evidence, or since the move's order without any.
func (m *move) observedAgo() time.Duration {
	if m.observedAt.IsZero() {
		return time.Since(m.began)
	}
	return time.Since(m.observedAt)
}
