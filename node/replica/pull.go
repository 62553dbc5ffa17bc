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

// pullRequest asks for what is newer than a revision.
type pullRequest struct {
	After int64 `msgpack:"after"`
	// Newest asks the router to make sure first that its desired state is the newest.
	Newest bool `msgpack:"newest,omitempty"`
	// Withhold asks for large values to be left out: this router reads them from the store.
	Withhold bool `msgpack:"withhold,omitempty"`
}

// pulledEntry is an entry or a deletion.
type pulledEntry struct {
	Key      string `msgpack:"k"`
	Value    []byte `msgpack:"v,omitempty"`
	Revision int64  `msgpack:"r"`
	Deleted  bool   `msgpack:"d,omitempty"`
	// Withheld is true when Value was left out.
	Withheld bool `msgpack:"w,omitempty"`
}

// pullResponse is what a router knows.
type pullResponse struct {
	// AsOf is the revision up to which the router knows everything; zero means nothing.
	AsOf    int64         `msgpack:"as_of"`
	Entries []pulledEntry `msgpack:"entries"`
	// Complete is true when Entries is the whole state.
	Complete bool `msgpack:"complete,omitempty"`
	// AgeMs is how long ago the router made sure that AsOf is the newest revision.
	AgeMs int64 `msgpack:"age_ms"`
	// DesiredAgeMs is the same for the desired state alone.
	DesiredAgeMs int64 `msgpack:"desired_age_ms"`
	// SettleMs is for how long entries that lapsed during an outage may still come back.
	SettleMs int64 `msgpack:"settle_ms,omitempty"`
}

// pullWhileStale asks other routers while the store brings nothing.
func (r *Replica) pullWhileStale(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, pullInterval)
		if r.Age() > staleAfter {
			r.pull(ctx, false)
		}
	}
}

// pull asks some routers, and returns when all have answered or run out of time.
func (r *Replica) pull(ctx context.Context, newest bool) {
	others := r.peers.Others()
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	var asked sync.WaitGroup
	for _, other := range others[:min(len(others), pullFanout)] {
		asked.Go(func() { r.pullFrom(ctx, other, pullRequest{Newest: newest}) })
	}
	asked.Wait()
}

func (r *Replica) pullFrom(ctx context.Context, other fleet.HostID, request pullRequest) {
	r.mu.Lock()
	request.After = r.asOf
	r.mu.Unlock()
	after, began := request.After, time.Now()
	var response pullResponse
	if err := r.callPull(ctx, other, request, &response); err != nil {
		r.log.Debug("router did not tell its state", "peer", other, "err", err)
		return
	}
	if response.AsOf == 0 || response.AsOf < after {
		return
	}
	if err := r.readWithheld(ctx, response.Entries); err != nil {
		r.log.Info("large values not read from the store", "peer", other, "err", err)
		return
	}
	// The age counts from before the question, so that the copy is never taken for newer.
	confirmed := began.Add(-time.Duration(response.AgeMs) * time.Millisecond)
	defer r.takeDesiredAge(began.Add(-time.Duration(response.DesiredAgeMs) * time.Millisecond))
	var settled time.Time
	if response.SettleMs > 0 {
		settled = time.Now().Add(time.Duration(response.SettleMs) * time.Millisecond)
	}
	if response.Complete {
		entries := make([]port.Entry, 0, len(response.Entries))
		for _, entry := range response.Entries {
			entries = append(entries, port.Entry{Key: entry.Key, Value: entry.Value, Revision: entry.Revision})
		}
		r.replaceAll(entries, response.AsOf, confirmed, settled)
		return
	}
	changes := make([]Change, 0, len(response.Entries))
	for _, entry := range response.Entries {
		change := Change{
			Entry: port.Entry{Key: entry.Key, Value: entry.Value, Revision: entry.Revision}, Deleted: entry.Deleted,
		}
		if change.Deleted {
			change.Settled = settled
		}
		changes = append(changes, change)
	}
	r.apply(changes, response.AsOf, confirmed)
}

func (r *Replica) callPull(ctx context.Context, other fleet.HostID, request pullRequest, response *pullResponse) error {
	ctx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	return r.transport.Call(ctx, other, methodPull, request, response)
}

// readWithheld gets the values that a router left out of its answer.
func (r *Replica) readWithheld(ctx context.Context, entries []pulledEntry) error {
	ctx, cancel := context.WithTimeout(ctx, largeTimeout)
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
			// It is gone, which the next answer tells.
			return errors.Errorf("%s is at revision %d, not %d", entry.Key, read.Revision, entry.Revision)
		}
		entries[i].Value, entries[i].Revision = read.Value, read.Revision
	}
	return nil
}

func (r *Replica) takeDesiredAge(confirmed time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if confirmed.After(r.desiredConfirmed) {
		r.desiredConfirmed = confirmed
	}
}

func (r *Replica) answerPull(ctx context.Context, _ fleet.HostID, decode port.Decode) (any, error) {
	var request pullRequest
	if err := decode(&request); err != nil {
		return nil, err
	}
	if request.Newest && r.desiredAge() > confirmAge/2 {
		if err := r.readDesired(ctx); err != nil {
			r.log.Debug("newest state not read for a router", "err", err)
		}
	}
	desiredAge := r.desiredAge()
	r.mu.Lock()
	defer r.mu.Unlock()
	response := pullResponse{
		AsOf: r.asOf, AgeMs: time.Since(r.confirmed).Milliseconds(), DesiredAgeMs: desiredAge.Milliseconds(),
	}
	if left := time.Until(r.returned.Add(settleTime)); left > 0 {
		response.SettleMs = left.Milliseconds()
	}
	if request.After <= r.forgotten {
		response.Complete, request.After = true, 0
	}
	for key, entry := range r.entries {
		if entry.Revision > request.After {
			told := pulledEntry{Key: key, Value: entry.Value, Revision: entry.Revision}
			if request.Withhold && len(entry.Value) > largeBytes {
				told.Value, told.Withheld = nil, true
			}
			response.Entries = append(response.Entries, told)
		}
	}
	for key, gone := range r.tombstones {
		if gone.revision > request.After && !response.Complete {
			response.Entries = append(response.Entries, pulledEntry{Key: key, Revision: gone.revision, Deleted: true})
		}
	}
	return response, nil
}
