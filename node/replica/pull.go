package replica

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/port"

	"github.com/juju/errors"
)

// pullRequest requests the changes after a revision.
type pullRequest struct {
	After int64 `msgpack:"after"`
	// Newest requests that the router first confirms its desired state.
	Newest bool `msgpack:"newest,omitempty"`
	// Withhold requests that large values are omitted: this router reads them from the store.
	Withhold bool `msgpack:"withhold,omitempty"`
}

// pulledEntry is an entry or a deletion.
type pulledEntry struct {
	Key      string `msgpack:"k"`
	Value    []byte `msgpack:"v,omitempty"`
	Revision int64  `msgpack:"r"`
	Deleted  bool   `msgpack:"d,omitempty"`
	// Withheld is true when Value was omitted.
	Withheld bool `msgpack:"w,omitempty"`
}

// pullResponse holds a router's changes after the requested revision.
type pullResponse struct {
	// AsOf is the revision up to which the router's state is complete. Zero means that it has none.
	AsOf    int64         `msgpack:"as_of"`
	Entries []pulledEntry `msgpack:"entries"`
	// Complete is true when Entries is the complete state.
	Complete bool `msgpack:"complete,omitempty"`
	// AgeMs is how long ago the router confirmed that AsOf is the newest revision.
	AgeMs int64 `msgpack:"age_ms"`
	// DesiredAgeMs is the same for the desired state alone.
	DesiredAgeMs int64 `msgpack:"desired_age_ms"`
	// SettleMs is for how long entries that expired during an outage may still be written again.
	SettleMs int64 `msgpack:"settle_ms,omitempty"`
}

// pullWhileStale pulls from other routers while the replica is stale.
func (r *Replica) pullWhileStale(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, pullInterval)
		if r.Age() > staleTimeout {
			r.pull(ctx, false)
		}
	}
}

// pull pulls from pullFanout routers chosen at random, and returns when all have answered or timed
// out.
func (r *Replica) pull(ctx context.Context, newest bool) {
	others := r.peers.Others()
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	var calls sync.WaitGroup
	for _, other := range others[:min(len(others), pullFanout)] {
		calls.Go(func() { r.pullFrom(ctx, other, pullRequest{Newest: newest}) })
	}
	calls.Wait()
}

// pullFrom pulls from one router and applies its response.
func (r *Replica) pullFrom(ctx context.Context, other fleet.HostID, request pullRequest) {
	r.mu.Lock()
	request.After = r.asOf
	r.mu.Unlock()
	after, startedAt := request.After, time.Now()
	var response pullResponse
	if err := r.callPull(ctx, other, request, &response); err != nil {
		r.log.Debug("failed to pull the state from a router", "peer", other, "err", err)
		return
	}
	if response.AsOf == 0 || response.AsOf < after {
		return
	}
	if err := r.readWithheld(ctx, response.Entries); err != nil {
		r.log.Info("failed to read a router's withheld large values from the store", "peer", other, "err", err)
		return
	}
	// The age counts from before the request, so that the copy is never considered newer than it is.
	confirmedAt := startedAt.Add(-time.Duration(response.AgeMs) * time.Millisecond)
	defer r.setDesiredConfirmed(startedAt.Add(-time.Duration(response.DesiredAgeMs) * time.Millisecond))
	var settledAt time.Time
	if response.SettleMs > 0 {
		settledAt = time.Now().Add(time.Duration(response.SettleMs) * time.Millisecond)
	}
	if response.Complete {
		entries := make([]port.Entry, 0, len(response.Entries))
		for _, entry := range response.Entries {
			entries = append(entries, port.Entry{Key: entry.Key, Value: entry.Value, Revision: entry.Revision})
		}
		r.replaceAll(entries, response.AsOf, confirmedAt, settledAt)
		return
	}
	changes := make([]Change, 0, len(response.Entries))
	for _, entry := range response.Entries {
		change := Change{
			Entry: port.Entry{Key: entry.Key, Value: entry.Value, Revision: entry.Revision}, Deleted: entry.Deleted,
		}
		if change.Deleted {
			change.Settled = settledAt
		}
		changes = append(changes, change)
	}
	r.apply(changes, response.AsOf, confirmedAt)
}

func (r *Replica) callPull(ctx context.Context, other fleet.HostID, request pullRequest, response *pullResponse) error {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	return r.transport.Call(ctx, other, methodPull, request, response)
}

// readWithheld reads from the store the values that a router omitted from its response.
func (r *Replica) readWithheld(ctx context.Context, entries []pulledEntry) error {
	ctx, cancel := context.WithTimeout(ctx, largeValueTimeout)
	defer cancel()
	for i, entry := range entries {
		if !entry.Withheld {
			continue
		}
		read, err := r.store.Get(ctx, entry.Key)
		if err != nil {
			return err
		}
		if read.Revision < entry.Revision {
			// The entry was deleted. The next response contains the deletion.
			return errors.Errorf("%s is at revision %d, not %d", entry.Key, read.Revision, entry.Revision)
		}
		entries[i].Value, entries[i].Revision = read.Value, read.Revision
	}
	return nil
}

// setDesiredConfirmed sets the confirmation time of the desired state, unless a later one is known.
func (r *Replica) setDesiredConfirmed(confirmedAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if confirmedAt.After(r.desiredConfirmedAt) {
		r.desiredConfirmedAt = confirmedAt
	}
}

// handlePull answers a pull of another router.
func (r *Replica) handlePull(ctx context.Context, _ fleet.HostID, decode port.Decode) (any, error) {
	var request pullRequest
	if err := decode(&request); err != nil {
		return nil, err
	}
	if request.Newest && r.desiredAge() > maxConfirmedAge/2 {
		if err := r.readDesired(ctx); err != nil {
			r.log.Debug("failed to read the newest state from the store for a router's pull", "err", err)
		}
	}
	desiredAge := r.desiredAge()
	r.mu.Lock()
	defer r.mu.Unlock()
	response := pullResponse{
		AsOf: r.asOf, AgeMs: time.Since(r.confirmedAt).Milliseconds(), DesiredAgeMs: desiredAge.Milliseconds(),
	}
	if remaining := time.Until(r.storeRegainedAt.Add(settlePeriod)); remaining > 0 {
		response.SettleMs = remaining.Milliseconds()
	}
	if request.After <= r.prunedRevision {
		response.Complete, request.After = true, 0
	}
	for key, entry := range r.entries {
		if entry.Revision > request.After {
			pulled := pulledEntry{Key: key, Value: entry.Value, Revision: entry.Revision}
			if request.Withhold && len(entry.Value) > maxPulledValueBytes {
				pulled.Value, pulled.Withheld = nil, true
			}
			response.Entries = append(response.Entries, pulled)
		}
	}
	for key, deleted := range r.tombstones {
		if deleted.revision > request.After && !response.Complete {
			response.Entries = append(response.Entries, pulledEntry{Key: key, Revision: deleted.revision, Deleted: true})
		}
	}
	return response, nil
}
