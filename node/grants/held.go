package grants

import (
	"context"
	"sync"
	"time"

	"agateswitch/core/fleet"
)

// heldGrant is a grant on which a request of this router runs.
type heldGrant struct {
	grant fleet.Grant
	team  fleet.Team
	key   shardKey
	// currentOwner is the owner that counts the grant. lastAnnounced is when it issued the grant
	// or received its last announcement; zero means that the grant must be announced again.
	currentOwner  fleet.HostID
	lastAnnounced time.Time
}

// ownerShardKey identifies one shard at one owner.
type ownerShardKey struct {
	owner fleet.HostID
	key   shardKey
}

// heldGrants are the grants of this router's running requests. It is safe for concurrent use.
type heldGrants struct {
	mu     sync.Mutex
	grants map[fleet.GrantID]*heldGrant
	epochs map[ownerShardKey]string
}

func newHeldGrants() *heldGrants {
	return &heldGrants{grants: map[fleet.GrantID]*heldGrant{}, epochs: map[ownerShardKey]string{}}
}

// add records a grant. A changed epoch means that the owner has lost its state, so all grants that
// this router holds in the shard must be announced to it again.
func (h *heldGrants) add(now time.Time, grant fleet.Grant, team fleet.Team, key shardKey, epoch string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	at := ownerShardKey{owner: grant.Owner, key: key}
	if previous, found := h.epochs[at]; found && previous != epoch {
		for _, held := range h.grants {
			if held.currentOwner == grant.Owner && held.key == key {
				held.lastAnnounced = time.Time{}
			}
		}
	}
	h.epochs[at] = epoch
	h.grants[grant.ID] = &heldGrant{grant: grant, team: team, key: key, currentOwner: grant.Owner, lastAnnounced: now}
}

// remove removes and returns a grant.
func (h *heldGrants) remove(id fleet.GrantID) (heldGrant, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	held, found := h.grants[id]
	if !found {
		return heldGrant{}, false
	}
	delete(h.grants, id)
	return *held, true
}

// announcement is a message that announces this router's grants in one shard to an owner.
type announcement struct {
	owner   fleet.HostID
	message announceMessage
}

// pendingAnnouncements returns announcements of the grants whose shard has a new owner, whose
// owner has lost its state, or that must be renewed before they expire.
func (h *heldGrants) pendingAnnouncements(now time.Time, ownerOf func(fleet.Upstream) (fleet.HostID, shardKey)) []announcement {
	h.mu.Lock()
	defer h.mu.Unlock()
	announcements := map[ownerShardKey]*announcement{}
	for id, held := range h.grants {
		owner, key := ownerOf(held.grant.Upstream)
		if owner == held.currentOwner && key == held.key && now.Sub(held.lastAnnounced) < grantTTL/2 {
			continue
		}
		at := ownerShardKey{owner: owner, key: key}
		if announcements[at] == nil {
			announcements[at] = &announcement{owner: owner, message: announceMessage{Pool: string(key.pool), Home: string(held.grant.Upstream.ID)}}
		}
		announcements[at].message.Held = append(announcements[at].message.Held, heldMessage{
			Grant: string(id), Upstream: string(held.grant.Upstream.ID), Work: int64(held.grant.Work),
		})
	}
	list := make([]announcement, 0, len(announcements))
	for _, a := range announcements {
		list = append(list, *a)
	}
	return list
}

// recordAnnouncement records that an owner has received an announcement.
func (h *heldGrants) recordAnnouncement(now time.Time, a announcement, ownerOf func(fleet.Upstream) (fleet.HostID, shardKey)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, message := range a.message.Held {
		if held, found := h.grants[fleet.GrantID(message.Grant)]; found {
			_, key := ownerOf(held.grant.Upstream)
			held.currentOwner, held.key, held.lastAnnounced = a.owner, key, now
		}
	}
}

// announce sends the pending announcements to owners. Announcing a grant twice is harmless.
func (s *Service) announce(ctx context.Context, now time.Time) {
	ownerOf := func(upstream fleet.Upstream) (fleet.HostID, shardKey) {
		table := s.routes.pool(now, upstream.Pool)
		return table.owner(upstream.ID), shardKey{pool: upstream.Pool, shard: table.shards.Shard(upstream.ID)}
	}
	for _, a := range s.held.pendingAnnouncements(now, ownerOf) {
		go func() {
			if err := s.call(ctx, a.owner, methodAnnounce, a.message, &emptyReply{}); err != nil {
				return
			}
			s.held.recordAnnouncement(now, a, ownerOf)
			s.telemetry.Log.Info("announced held grants to the shard owner", "owner", a.owner, "pool", a.message.Pool, "grants", len(a.message.Held))
		}()
	}
}
