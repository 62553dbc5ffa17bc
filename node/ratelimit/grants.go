package ratelimit

import (
	"slices"
	"time"

	"agateswitch/core/fleet"
)

const (
	// chargeTime is how long a token is remembered, to be charged to a keeper that takes over, and maxGrants bounds
	// those of one upstream.
	chargeTime = 4 * time.Second
	maxGrants  = 64
)

// grant is a token that this router got.
type grant struct {
	at time.Time
	// known holds the keepers whose buckets have counted it.
	known []fleet.HostID
}

// agesMs returns the ages of tokens in milliseconds.
func agesMs(grants []*grant) []int64 {
	var ages []int64
	for _, g := range grants {
		ages = append(ages, time.Since(g.at).Milliseconds())
	}
	return ages
}

// takeUncounted returns the tokens that this router got lately and that a keeper's bucket has not counted. From then on
// they are regarded as counted.
func (s *Service) takeUncounted(id fleet.UpstreamID, incarnation int64, keeper fleet.HostID) []*grant {
	s.mu.Lock()
	defer s.mu.Unlock()
	var uncounted []*grant
	for _, g := range s.state(id, incarnation, time.Now()).grants {
		if !slices.Contains(g.known, keeper) {
			uncounted = append(uncounted, g)
			g.known = append(g.known, keeper)
		}
	}
	return uncounted
}

// putBack undoes takeUncounted for a keeper that did not answer.
func (s *Service) putBack(uncounted []*grant, keeper fleet.HostID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range uncounted {
		g.known = slices.DeleteFunc(g.known, func(known fleet.HostID) bool { return known == keeper })
	}
}

// recordGrant records a token that this router got, and the keepers that know of it.
func (s *Service) recordGrant(id fleet.UpstreamID, incarnation int64, known ...fleet.HostID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	u := s.state(id, incarnation, now)
	u.grants = slices.DeleteFunc(u.grants, func(g *grant) bool { return now.Sub(g.at) > chargeTime })
	u.grants = append(u.grants[max(0, len(u.grants)-maxGrants+1):], &grant{at: now, known: known})
}
