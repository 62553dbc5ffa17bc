package grants

import (
	"context"
	"sync"
	"time"

	"agateswitch/core/fleet"
)

// heldGrant is a grant that a request of this router runs on.
type heldGrant struct {
	grant fleet.Grant
	team  fleet.Team
	key   shardKey
	// told is the owner that counts the grant, and toldAt when it last heard of it. A zero
	// toldAt means that it has to hear of it again.
	told   fleet.HostID
	toldAt time.Time
}

// epochKey names one shard at one owner.
type epochKey struct {
	owner fleet.HostID
	key   shardKey
}

// heldGrants are the grants of this router's running requests. It is safe for concurrent use.
type heldGrants struct {
	mu     sync.Mutex
	grants map[fleet.GrantID]*heldGrant
	epochs map[epochKey]string
}

func newHeldGrants() *heldGrants {
	return &heldGrants{grants: map[fleet.GrantID]*heldGrant{}, epochs: map[epochKey]string{}}
}

// add notes a grant. A changed epoch means that the owner has lost its state, so that it has
// to hear again of every grant that this router holds in the shard.
func (h *heldGrants) add(now time.Time, grant fleet.Grant, team fleet.Team, key shardKey, epoch string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	at := epochKey{owner: grant.Owner, key: key}
	if known, found := h.epochs[at]; found && known != epoch {
		for _, held := range h.grants {
			if held.told == grant.Owner && held.key == key {
				held.toldAt = time.Time{}
			}
		}
	}
	h.epochs[at] = epoch
	h.grants[grant.ID] = &heldGrant{grant: grant, team: team, key: key, told: grant.Owner, toldAt: now}
}

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

// batch is what one owner has to hear about one shard.
type batch struct {
	owner   fleet.HostID
	message announceMessage
}

// due returns the announcements to make: grants whose shard has a new owner, whose owner
// has lost its state, or that would expire.
func (h *heldGrants) due(now time.Time, ownerOf func(fleet.Upstream) (fleet.HostID, shardKey)) []batch {
	h.mu.Lock()
	defer h.mu.Unlock()
	batches := map[epochKey]*batch{}
	for id, held := range h.grants {
		owner, key := ownerOf(held.grant.Upstream)
		if owner == held.told && key == held.key && now.Sub(held.toldAt) < grantLife/2 {
			continue
		}
		at := epochKey{owner: owner, key: key}
		if batches[at] == nil {
			batches[at] = &batch{owner: owner, message: announceMessage{Pool: string(key.pool), Home: string(held.grant.Upstream.ID)}}
		}
		batches[at].message.Held = append(batches[at].message.Held, heldMessage{
			Grant: string(id), Upstream: string(held.grant.Upstream.ID), Work: int64(held.grant.Work),
		})
	}
	list := make([]batch, 0, len(batches))
	for _, b := range batches {
		list = append(list, *b)
	}
	return list
}

// toldBatch notes that an owner has heard of the grants of a batch.
func (h *heldGrants) toldBatch(now time.Time, b batch, ownerOf func(fleet.Upstream) (fleet.HostID, shardKey)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, message := range b.message.Held {
		if held, found := h.grants[fleet.GrantID(message.Grant)]; found {
			_, key := ownerOf(held.grant.Upstream)
			held.told, held.key, held.toldAt = b.owner, key, now
		}
	}
}

// announce tells owners of the grants that they have to know. Announcing twice is harmless.
func (s *Service) announce(ctx context.Context, now time.Time) {
	ownerOf := func(upstream fleet.Upstream) (fleet.HostID, shardKey) {
		table := s.routes.pool(now, upstream.Pool)
		return table.owner(upstream.ID), shardKey{pool: upstream.Pool, shard: table.shards.Shard(upstream.ID)}
	}
	for _, b := range s.held.due(now, ownerOf) {
		go func() {
			if err := s.call(ctx, b.owner, methodAnnounce, b.message, &empty{}); err != nil {
				return
			}
			s.held.toldBatch(now, b, ownerOf)
			s.telemetry.Log.Info("announced held grants", "owner", b.owner, "pool", b.message.Pool, "grants", len(b.message.Held))
		}()
	}
}
