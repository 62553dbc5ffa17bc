package grants

import (
	"sync"
	"time"

	"agateswitch/core/fleet"
)

const (
	// holderGracePeriod is how long the host list must lack a router before its grants are
	// released. It spans two reads of the list, so that a single incomplete read releases none.
	holderGracePeriod = 2 * time.Second
	// holderCheckInterval is the time between two comparisons with the host list.
	holderCheckInterval = 500 * time.Millisecond
)

// holders detects lost routers that hold grants. It is safe for concurrent use: peer handlers
// record messages of live routers while checks run.
type holders struct {
	mu sync.Mutex
	// missingSince maps routers that hold grants to the time since which the host list lacks them.
	missingSince map[fleet.HostID]time.Time
}

func newHolders() *holders { return &holders{missingSince: map[fleet.HostID]time.Time{}} }

// recordMessage records a message from a router, which is then not lost even if the host list
// lacks it.
func (h *holders) recordMessage(from fleet.HostID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.missingSince, from)
}

// lost returns the routers that hold grants and have been missing for holderGracePeriod.
func (h *holders) lost(now time.Time, holding map[fleet.HostID]bool, isListed func(fleet.HostID) bool) []fleet.HostID {
	h.mu.Lock()
	defer h.mu.Unlock()
	for id := range h.missingSince {
		if !holding[id] || isListed(id) {
			delete(h.missingSince, id)
		}
	}
	var lost []fleet.HostID
	for id := range holding {
		if isListed(id) {
			continue
		}
		since, found := h.missingSince[id]
		switch {
		case !found:
			h.missingSince[id] = now
		case now.Sub(since) >= holderGracePeriod:
			lost = append(lost, id)
		}
	}
	return lost
}

// releaseLostGrants releases the grants of lost routers in all owned shards.
func (s *Service) releaseLostGrants(now time.Time) {
	holding := map[fleet.HostID]bool{}
	s.shards.each(func(shard *ownedShard) { shard.owner.CollectHolders(holding) })
	isListed := func(id fleet.HostID) bool {
		_, listed := s.members.Router(id)
		return listed
	}
	for _, id := range s.holders.lost(now, holding, isListed) {
		released := 0
		s.shards.each(func(shard *ownedShard) { released += shard.owner.ReleaseGrants(now, id) })
		s.telemetry.Log.Warn("released the grants of a lost router", "router", id, "grants", released,
			"reason", "it is missing from the host list and has sent no message", "for", holderGracePeriod)
	}
}
