package ratelimit

import (
	"fmt"

	"agateswitch/core/evidence"
)

// Beliefs returns what this router believes of the rate limits of upstreams.
func (s *Service) Beliefs() []evidence.Belief {
	beliefs := []evidence.Belief{}
	for _, limit := range s.List() {
		beliefs = append(beliefs, evidence.Belief{
			Kind: evidence.RateLimit, Subject: string(limit.Upstream), State: fmt.Sprintf("%.3g per second", limit.PerSecond), Observations: 1, Against: 1,
			AgeMs: limit.StatedAgoMs, Why: fmt.Sprintf("stated in an answer of incarnation %d; tokens are with %s", limit.Incarnation, limit.Keeper),
		})
	}
	return beliefs
}
