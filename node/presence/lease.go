package presence

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/port"

	"github.com/juju/errors"
)

// Times of leases.
const (
	// smallFleetTTL is how long the entry of a router that has failed remains in the store in a fleet of
	// up to maxDirectFleetSize, and smallFleetRenewal the time between two renewals.
	smallFleetTTL     = 2500 * time.Millisecond
	smallFleetRenewal = leaseCheckInterval
	// largeFleetTTL and largeFleetRenewal are the same in a larger fleet, where a router that has
	// failed is removed by its neighbours. The calls to the store would grow with the fleet.
	largeFleetTTL     = 60 * time.Second
	largeFleetRenewal = 18 * time.Second
	// smallAgainSize is the size up to which a fleet that was large counts as small.
	smallAgainSize = maxDirectFleetSize * 3 / 4
)

// registration is the state of the router's entry in the store.
type registration struct {
	lease     port.LeaseID
	ttl       time.Duration
	renewedAt time.Time
	// writtenAt is when the entry was last written. Presence.mu guards it.
	writtenAt time.Time
	// isLarge is the last result of wantedTTL.
	isLarge bool
}

// routerEntry is a router's entry in the store.
type routerEntry struct {
	fleet.Host
	// LeaseSeconds is the TTL of the entry's lease, in seconds. Routers of earlier builds do not state it.
	LeaseSeconds float64 `json:",omitempty"`
	// AnswersRollCalls is true if the router writes its entry again when the roll is called. Routers of earlier builds don't.
	AnswersRollCalls bool `json:",omitempty"`
}

// decodeRouter decodes the entry of the router with an id.
func decodeRouter(id string, value []byte) (routerEntry, error) {
	var entry routerEntry
	if err := json.Unmarshal(value, &entry); err != nil {
		return entry, errors.Annotate(err, "decoding a router entry")
	}
	if string(entry.ID) != id {
		return entry, errors.Errorf("entry of router %s is under the key of %s", entry.ID, id)
	}
	return entry, nil
}

// IsReadable reports whether an entry of the store names a router, or is none of a router's.
func IsReadable(key string, value []byte) bool {
	id, isRouter := strings.CutPrefix(key, RouterKeyPrefix)
	if !isRouter || key == rollCallKey {
		return true
	}
	_, err := decodeRouter(id, value)
	return err == nil
}

// rewriteTime is how long after an outage of the store a router of a large fleet, whose lease expired meanwhile, needs to write
// its entry again: a check of its lease, a call that the store does not answer, and the write.
const rewriteTime = leaseCheckInterval + 1100*time.Millisecond

// RewriteTime returns how long after an outage of the store it may take until the entry of a router that expired meanwhile is
// written again. It is 0 for the routers of a small fleet, which hear each other's heartbeats, and for other keys.
func RewriteTime(key string, value []byte) time.Duration {
	id, isRouter := strings.CutPrefix(key, RouterKeyPrefix)
	if !isRouter {
		return 0
	}
	if entry, err := decodeRouter(id, value); err != nil || !entry.outlives() {
		return 0
	}
	return rewriteTime
}

// outlives reports whether the entry may stay in the store for long after its router has failed.
func (e routerEntry) outlives() bool { return e.LeaseSeconds > smallFleetTTL.Seconds() }

// wantedTTL returns the TTL of the lease for the size of the fleet. A router that does not know the others yet
// registers with the short one, so that its entry does not outlive it if it fails before it does.
func (p *Presence) wantedTTL() time.Duration {
	r := &p.registration
	p.mu.Lock()
	size := len(p.listed)
	p.mu.Unlock()
	r.isLarge = size > maxDirectFleetSize || r.isLarge && size > smallAgainSize
	if r.isLarge {
		return largeFleetTTL
	}
	return smallFleetTTL
}

// renewInterval returns the time between two renewals of a lease. Two of them may fail.
func renewInterval(ttl time.Duration) time.Duration {
	if ttl == largeFleetTTL {
		return largeFleetRenewal
	}
	return smallFleetRenewal
}

// renewRegistration renews the lease of the router's entry when that is due, or registers the router if
// it has no lease or no entry. It removes the entry once the router leaves.
func (p *Presence) renewRegistration(ctx context.Context) {
	r := &p.registration
	if p.leaving.Load() {
		p.withdraw(ctx)
		return
	}
	if ttl := p.wantedTTL(); r.lease.IsNone() || r.ttl != ttl {
		p.register(ctx, ttl)
		return
	}
	if r.lease.IsBefore(p.era()) {
		p.log.Info("store was restored since the router's lease was granted; registering again", "lease", r.lease, "era", p.era())
		p.register(ctx, r.ttl)
		return
	}
	if p.isEntryLost() {
		p.log.Info("router entry is gone; writing it again", "lease", r.lease)
		if p.writeEntry(ctx, r.lease, r.ttl) == nil {
			return
		}
		p.register(ctx, r.ttl)
		return
	}
	if p.hasSilentNeighbour() {
		p.readRollCall(ctx)
	}
	if p.isCalled() {
		p.awaitAnswerTurn(ctx)
		if p.writeEntry(ctx, r.lease, r.ttl) != nil {
			p.register(ctx, r.ttl)
		}
		return
	}
	if time.Since(r.renewedAt) < renewInterval(r.ttl) {
		return
	}
	requestedAt := time.Now()
	remaining, err := p.store.KeepAlive(ctx, r.lease)
	if err != nil {
		p.log.Warn("failed to renew the router lease", "lease", r.lease, "err", err)
		return
	}
	if remaining > 0 {
		r.renewedAt = requestedAt
		return
	}
	p.log.Info("router lease expired; registering again", "lease", r.lease)
	p.register(ctx, r.ttl)
}

// era returns the highest era of the store that this router knows.
func (p *Presence) era() int64 {
	if eras, restorable := p.store.(port.Eras); restorable {
		return eras.Era()
	}
	return 0
}

func (p *Presence) isEntryLost() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.entryLost
}

// register writes the router's entry under a new lease.
func (p *Presence) register(ctx context.Context, ttl time.Duration) {
	requestedAt := time.Now()
	lease, err := p.store.GrantLease(ctx, ttl)
	if err != nil {
		p.log.Warn("failed to acquire a router lease", "err", err)
		return
	}
	if err := p.writeEntry(ctx, lease, ttl); err != nil {
		return
	}
	r := &p.registration
	r.lease, r.ttl, r.renewedAt = lease, ttl, requestedAt
	p.log.Info("router registered", "lease", lease, "ttl", ttl)
}

// writeEntry writes the router's entry under a lease with a TTL.
func (p *Presence) writeEntry(ctx context.Context, lease port.LeaseID, ttl time.Duration) error {
	value, err := json.Marshal(routerEntry{Host: p.self, LeaseSeconds: ttl.Seconds(), AnswersRollCalls: true})
	if err != nil {
		panic("encode router entry: " + err.Error())
	}
	write := port.Write{Key: RouterKeyPrefix + string(p.self.ID), Value: value, Lease: lease}
	result, err := p.store.Commit(ctx, port.Transaction{Writes: []port.Write{write}})
	if err != nil {
		p.log.Warn("failed to write the router entry", "lease", lease, "err", err)
		return errors.Trace(err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.entryLost = false
	p.roll.answered, p.registration.writtenAt = result.Revision, time.Now()
	return nil
}

// withdraw revokes the lease, which removes the router's entry.
func (p *Presence) withdraw(ctx context.Context) {
	r := &p.registration
	if r.lease.IsNone() {
		return
	}
	if err := p.store.RevokeLease(ctx, r.lease); err != nil {
		p.log.Warn("failed to revoke the router lease", "lease", r.lease, "err", err)
		return
	}
	p.log.Info("router withdrawn", "lease", r.lease)
	r.lease = port.LeaseID{}
}
