package replica

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/core/revision"
	"agateswitch/port"

	"github.com/juju/errors"
)

// methodPull requests another router's changes after the given revisions.
const methodPull = "replica.changes"

// pullRequest requests the changes after a revision of each tree.
type pullRequest struct {
	// After holds the revisions by the prefix of the tree.
	After map[string]revision.Revision `msgpack:"after"`
	// Era is the highest era of the store that the router knows.
	Era int64 `msgpack:"era,omitempty"`
	// Packs is true when the router understands pulledTree.Packed.
	Packs bool `msgpack:"packs,omitempty"`
	// Newest requests that the router first confirms its desired state.
	Newest bool `msgpack:"newest,omitempty"`
}

// pulledEntry is an entry or a deletion.
type pulledEntry struct {
	Key      string            `msgpack:"k"`
	Value    []byte            `msgpack:"v,omitempty"`
	Revision revision.Revision `msgpack:"r"`
	Deleted  bool              `msgpack:"d,omitempty"`
}

// pulledTree holds a router's changes of a tree after the requested revision.
type pulledTree struct {
	Prefix string `msgpack:"prefix"`
	// AsOf is the revision up to which the router's copy is complete. Zero means that it has none, or
	// that it is changing to the state of a restored store.
	AsOf    revision.Revision `msgpack:"as_of"`
	Entries []pulledEntry     `msgpack:"entries,omitempty"`
	// Complete is true when Entries holds the complete tree.
	Complete bool `msgpack:"complete,omitempty"`
	// Packed holds the entries of a complete tree in their encoding, compressed (RFC 1951), and PackedBytes is the
	// size of the encoding. Entries is empty then.
	Packed      []byte `msgpack:"packed,omitempty"`
	PackedBytes int    `msgpack:"packed_bytes,omitempty"`
	// AgeMs is how long ago the router confirmed that AsOf is the newest revision.
	AgeMs int64 `msgpack:"age_ms"`
	// SettleMs is for how long entries that expired during an outage may still be written again.
	SettleMs int64 `msgpack:"settle_ms,omitempty"`
	// RestoreSettleMs is for how long entries that a restore has lost may still be written again.
	RestoreSettleMs int64 `msgpack:"restore_settle_ms,omitempty"`
}

// pulledDesired states which desired state a router has. The state itself is fetched with methodFetch.
type pulledDesired struct {
	// Revision is the revision that the router has, and Known the newest of which it has heard.
	Revision revision.Revision `msgpack:"revision"`
	Known    revision.Revision `msgpack:"known"`
	// Bytes is the size of the state.
	Bytes int `msgpack:"bytes"`
	// AgeMs is how long ago the router confirmed that Revision is the newest.
	AgeMs int64 `msgpack:"age_ms"`
}

// pullResponse is the answer to a pull.
type pullResponse struct {
	Trees   []pulledTree  `msgpack:"trees"`
	Desired pulledDesired `msgpack:"desired"`
	// LostStore is true while the router watches the store and the store does not answer it.
	LostStore bool `msgpack:"lost_store,omitempty"`
	// Era is the highest era of the store that the router knows.
	Era int64 `msgpack:"era,omitempty"`
}

// pullWhileStale pulls from other routers while the replica is stale or the store does not answer it, once it has been
// loaded.
func (r *Replica) pullWhileStale(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, pullInterval)
		if r.isLoaded() && r.isStale() {
			r.pull(ctx, false)
		}
	}
}

// isStale reports whether a copy is older than watches and pulls from watchers leave it.
func (r *Replica) isStale() bool {
	if _, lostStore := r.Watches(); lostStore {
		return true
	}
	limit := staleTimeout
	if !r.peers.AllWatch() {
		limit = min(limit, r.freshness.MaxCopyAge)
	}
	return r.Age() > limit || r.DesiredAge() > limit
}

// Watches reports whether this router watches the store, and whether the store does not answer it then.
func (r *Replica) Watches() (watches, lostStore bool) {
	_, watches = r.watchers()
	return watches, watches && r.lostStore()
}

// lostStore reports whether a watch of this router fails.
func (r *Replica) lostStore() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.trees {
		if !t.reachable {
			return true
		}
	}
	return !r.desired.reachable
}

// pull pulls from pullFanout routers chosen at random and from one that has answered lately, since most of the others may have ended
// unnoticed. It returns when all have answered or timed out.
func (r *Replica) pull(ctx context.Context, newest bool) {
	others := r.peers.Others()
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	asked := others[:min(len(others), pullFanout)]
	if responsive := r.peers.Responsive(); len(responsive) > 0 {
		if one := responsive[rand.N(len(responsive))]; !slices.Contains(asked, one) {
			asked = append(asked, one)
		}
	}
	var calls sync.WaitGroup
	for _, other := range asked {
		// Each failure is logged, and no answer is needed from every router.
		calls.Go(func() { _, _ = r.pullFrom(ctx, other, pullRequest{Newest: newest}) })
	}
	calls.Wait()
}

// pullFrom pulls from one router and applies its response. It reports whether the router has lost the store
// that it watches.
func (r *Replica) pullFrom(ctx context.Context, other fleet.HostID, request pullRequest) (lostStore bool, err error) {
	request.After, request.Era, request.Packs = map[string]revision.Revision{}, r.era(), true
	r.mu.Lock()
	for _, t := range r.trees {
		request.After[t.prefix] = t.asOf
	}
	r.mu.Unlock()
	// The ages count from before the request, so that the copy is never considered newer than it is.
	startedAt := time.Now()
	var response pullResponse
	if err := r.call(ctx, pullTimeout, other, methodPull, request, &response); err != nil {
		r.log.Debug("failed to pull the state from a router", "peer", other, "err", err)
		return false, err
	}
	r.learnEra(response.Era, other)
	if !r.isLoaded() && r.isTooOld(response) {
		return response.LostStore, errors.Trace(errOldState)
	}
	for _, pulled := range response.Trees {
		if err := pulled.unpackEntries(); err != nil {
			r.log.Warn("failed to unpack the state of a router", "peer", other, "err", err)
			return false, err
		}
		for _, t := range r.trees {
			if t.prefix == pulled.Prefix && !pulled.AsOf.IsZero() && !request.After[t.prefix].After(pulled.AsOf) {
				r.applyPulled(t, pulled, startedAt)
			}
		}
	}
	if r.hasTrees() {
		// Callers are served from the first desired state on, which is why it comes last.
		r.learnDesired(other, response.Desired, startedAt)
	}
	return response.LostStore, nil
}

// call calls a router with a timeout.
func (r *Replica) call(ctx context.Context, timeout time.Duration, other fleet.HostID, method string, request, response any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return r.transport.Call(ctx, other, method, request, response)
}

// applyPulled applies a router's changes of a tree.
func (r *Replica) applyPulled(t *tree, pulled pulledTree, startedAt time.Time) {
	confirmedAt := startedAt.Add(-time.Duration(pulled.AgeMs) * time.Millisecond)
	settledAt := settleTime(pulled.SettleMs)
	r.mu.Lock()
	if time.Since(t.confirmedAt) >= minLapseOutage && settledAt.After(t.settledAt()) {
		// The outage was this router's too, and no answer of the store will tell it.
		t.regainedAt = settledAt.Add(-settlePeriod)
	}
	r.postponeFurther(t.prefix, latest(settledAt, settleTime(pulled.RestoreSettleMs)))
	r.mu.Unlock()
	changes := make([]Change, 0, len(pulled.Entries))
	for _, entry := range pulled.Entries {
		change := Change{
			Entry: port.Entry{Key: entry.Key, Value: entry.Value, Revision: entry.Revision}, Deleted: entry.Deleted,
		}
		if change.Deleted {
			change.Settled = settledAt
		}
		changes = append(changes, change)
	}
	if pulled.Complete {
		r.replace(t, changes, pulled.AsOf, confirmedAt, latest(settledAt, settleTime(pulled.RestoreSettleMs)))
		return
	}
	r.apply(t, changes, pulled.AsOf, confirmedAt)
}

// settleTime returns the time until which entries may be written again; zero if there is none.
func settleTime(remainingMs int64) time.Time {
	if remainingMs <= 0 {
		return time.Time{}
	}
	return time.Now().Add(time.Duration(remainingMs) * time.Millisecond)
}

// earliest returns the earlier of two times.
func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// handlePull answers a pull of another router.
func (r *Replica) handlePull(ctx context.Context, from fleet.HostID, decode port.Decode) (any, error) {
	var request pullRequest
	if err := decode(&request); err != nil {
		return nil, err
	}
	r.learnEra(request.Era, from)
	if request.Newest && r.DesiredAge() > maxConfirmedAge/2 {
		if _, err := r.readDesired(ctx, confirmTimeout); err != nil {
			r.log.Debug("failed to read the newest state from the store for a router's pull", "err", err)
		}
	}
	_, lostStore := r.Watches()
	response := r.pulled(request.After)
	response.LostStore = lostStore
	for i := range response.Trees {
		if !request.Packs {
			break
		}
		if err := response.Trees[i].packEntries(); err != nil {
			return nil, err
		}
	}
	return response, nil
}

// pulled returns the changes after the revisions of the trees, and what the router has of the desired state.
func (r *Replica) pulled(after map[string]revision.Revision) pullResponse {
	r.mu.Lock()
	defer r.mu.Unlock()
	response := pullResponse{Desired: r.desired.pulled(), Era: r.era()}
	for _, t := range r.trees {
		response.Trees = append(response.Trees, t.pulled(after[t.prefix]))
	}
	return response
}

// maxAge is the largest age that routers tell each other. It stands for a copy that was never confirmed.
const maxAge = 24 * time.Hour

// ageMs returns the time since a confirmation in milliseconds, rounded up.
func ageMs(confirmedAt time.Time) int64 {
	return min(time.Since(confirmedAt), maxAge).Milliseconds() + 1
}

// pulled returns the changes after a revision, and all states that the copy keeps although a restored
// store has earlier ones: a router that has read those from the store has a later revision.
func (t *tree) pulled(after revision.Revision) pulledTree {
	if t.isRestoring {
		return pulledTree{Prefix: t.prefix}
	}
	pulled := pulledTree{
		Prefix: t.prefix, AsOf: t.asOf, AgeMs: ageMs(t.confirmedAt),
		SettleMs: max(0, time.Until(t.settledAt()).Milliseconds()), RestoreSettleMs: max(0, time.Until(t.restoreSettledAt).Milliseconds()),
	}
	if after.IsZero() || !after.IsOfSameEra(t.asOf) || t.prunedRevision.After(after) {
		pulled.Complete, after = true, revision.Revision{}
	}
	for key, entry := range t.entries {
		if entry.Revision.After(after) || entry.Revision.IsCarried() {
			pulled.Entries = append(pulled.Entries, pulledEntry{Key: key, Value: entry.Value, Revision: entry.Revision})
		}
	}
	for key, deleted := range t.tombstones {
		if deleted.revision.After(after) && !pulled.Complete || deleted.revision.IsCarried() {
			pulled.Entries = append(pulled.Entries, pulledEntry{Key: key, Revision: deleted.revision, Deleted: true})
		}
	}
	return pulled
}
