package grants

import (
	"sync"
	"time"

	"agateswitch/core/fleet"
)

const (
	// holderGrace is how long the host list must not name a router before its grants are
	// freed. It spans two readings of the list, so that one reading without it frees nothing.
	holderGrace = 2 * time.Second
	// holderCheck is the time between two comparisons with the host list.
	holderCheck = 500 * time.Millisecond
)

// holders finds the routers that are lost while they hold grants. It is safe for concurrent
// use: handlers of peers' calls tell it who is alive while the checks run.
type holders struct {
	mu sync.Mutex
	// missing is since when the host list lacks a router that holds grants.
	missing map[fleet.HostID]time.Time
}

func newHolders() *holders { return &holders{missing: map[fleet.HostID]time.Time{}} }

// hear notes a message of a router, which is not lost then whatever the list says.
func (h *holders) hear(from fleet.HostID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.missing, from)
}

// lost returns those of the routers that have been missing for holderGrace.
func (h *holders) lost(now time.Time, holding map[fleet.HostID]bool, isListed func(fleet.HostID) bool) []fleet.HostID {
	h.mu.Lock()
	defer h.mu.Unlock()
	for id := range h.missing {
		if !holding[id] || isListed(id) {
			delete(h.missing, id)
		}
	}
	var lost []fleet.HostID
	for id := range holding {
		if isListed(id) {
			continue
		}
		since, found := h.missing[id]
		switch {
		case !found:
			h.missing[id] = now
		case now.Sub(since) >= holderGrace:
			lost = append(lost, id)
		}
	}
	return lost
}

// freeLost frees the grants of lost routers in all owned shards.
func (s *Service) freeLost(now time.Time) {
	holding := map[fleet.HostID]bool{}
	s.shards.each(func(shard *ownedShard) { shard.owner.CollectHolders(holding) })
	isListed := func(id fleet.HostID) bool {
		_, listed := s.members.Router(id)
		return listed
	}
	for _, id := range s.holders.lost(now, holding, isListed) {
		freed := 0
		s.shards.each(func(shard *ownedShard) { freed += shard.owner.ReleaseGrants(now, id) })
		s.telemetry.Log.Warn("grants of a lost router freed", "router", id, "grants", freed,
			"reason", "the host list has not named it and it has sent nothing", "for", holderGrace)
	}
}
