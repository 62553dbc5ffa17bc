package versionmove

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/core/rollout"
)

// Versions states which versions of a pool an attempt may use.
type Versions struct {
	// Prefer is used if any upstream of it can accept the request. Empty means none.
	Prefer fleet.Version

	// withdrawn holds versions that must not be used, and avoid and newcomer are others. If only is set, other
	// versions than it and Prefer must not be used either.
	withdrawn             map[fleet.Version]bool
	avoid, newcomer, only fleet.Version
	// counted is the running move for which the attempt is counted, and exposed whether it counts as one on
	// the new version.
	counted *move
	exposed bool
}

// Avoids reports whether a version must not be used.
func (v *Versions) Avoids(version fleet.Version) bool {
	if version == "" {
		return false
	}
	return version == v.avoid || version == v.newcomer || v.withdrawn[version] || v.only != "" && version != v.only && version != v.Prefer
}

// Choose counts an attempt of a pool and draws its version. present holds the number of the pool's
// upstreams by version. Callers call Reached if the attempt doesn't reach an upstream of the preferred version.
func (s *Service) Choose(pool fleet.PoolID, present map[fleet.Version]int) Versions {
	s.mu.Lock()
	defer s.mu.Unlock()
	versions := Versions{withdrawn: maps.Clone(s.withdrawn[pool])}
	newcomer := s.newcomer(pool, present)
	m, found := s.moves[pool]
	if !found {
		versions.newcomer = newcomer
		return versions
	}
	target := m.order.Target
	switch m.state {
	case rollout.StatusDone:
		versions.Prefer = target
		return versions
	case rollout.StatusRolledBack:
		versions.avoid = target
		return versions
	}
	if m.from == target {
		// The order returns to the version from which the move before it began.
		versions.Prefer = target
		return versions
	}
	if m.from == "" || present[m.from] == 0 {
		m.from = cmp.Or(mostCommonVersion(present, target, s.withdrawn[pool]), m.from)
	}
	versions.counted, versions.only = m, m.from
	m.spending.Requests++
	m.spending.Routers = max(m.spending.Routers, s.fleet.Count())
	if present[target] == 0 || m.inheritance != nil || !s.exposure.Admits(s.phase(m), m.spending, rand.Float64()) {
		versions.avoid = target
		return versions
	}
	m.spending.Exposed++
	versions.Prefer, versions.exposed = target, true
	return versions
}

// newcomer returns a version that appeared so lately beside another one that its order may still be on its way to
// this router. Empty means none. Callers hold mu.
func (s *Service) newcomer(pool fleet.PoolID, present map[fleet.Version]int) fleet.Version {
	seen, known := s.firstSeen[pool]
	if !known {
		seen = map[fleet.Version]time.Time{}
		s.firstSeen[pool] = seen
	}
	now := time.Now()
	var newest fleet.Version
	for version := range present {
		if _, found := seen[version]; !found && known {
			seen[version] = now
		} else if !found {
			seen[version] = time.Time{}
		}
		if now.Sub(seen[version]) < s.changeDeadline {
			newest = version
		}
	}
	if len(present) < 2 {
		return ""
	}
	return newest
}

// MaySend reports whether a request that was chosen for a version of a pool may still be sent there. The version
// may have been rolled back while the request waited for a connection.
func (s *Service) MaySend(pool fleet.PoolID, version fleet.Version) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, found := s.moves[pool]
	rolledBack := found && m.state == rollout.StatusRolledBack && m.order.Target == version
	return !rolledBack && !s.withdrawn[pool][version]
}

// Reached corrects the count of an attempt after it has reached an upstream of the given version; empty means
// none. Only requests that reach the pool raise the bound on exposure.
func (s *Service) Reached(versions *Versions, version fleet.Version) {
	m := versions.counted
	if m == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if versions.exposed && version != m.order.Target {
		versions.exposed = false
		m.spending.Exposed--
	}
	if version == "" {
		versions.counted = nil
		m.spending.Requests--
	}
}

// phase returns the phase of a running move on this router. Callers hold mu.
func (s *Service) phase(m *move) rollout.Phase {
	proof := m.progress.Proof(m.detector.Verdict(true))
	if proof == rollout.ProofComplete && m.isFull {
		return rollout.PhaseFull
	}
	phase := s.exposure.PhaseAt(time.Since(m.began), m.order.Duration, proof, m.spending)
	m.isFull = phase == rollout.PhaseFull
	return phase
}

// mostCommonVersion returns the version with the most upstreams, without the target of a move and those that
// are withdrawn.
func mostCommonVersion(present map[fleet.Version]int, target fleet.Version, withdrawn map[fleet.Version]bool) fleet.Version {
	var most fleet.Version
	for version, count := range present {
		if version != target && !withdrawn[version] && (count > present[most] || count == present[most] && version < most) {
			most = version
		}
	}
	return most
}
