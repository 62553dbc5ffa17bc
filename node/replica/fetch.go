package replica

import (
	"bytes"
	"compress/flate"
	"context"
	"io"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/core/revision"
	"agateswitch/port"

	"github.com/juju/errors"
)

// methodFetch requests a router's desired state.
const methodFetch = "replica.desired"

// Limits of fetching the desired state from another router.
const (
	// fetchInterval is the time between two fetches, so that a router does not spend its link and
	// its processor on versions that are overtaken soon.
	fetchInterval = 300 * time.Millisecond
	// minFetchBytesPerSecond is the rate at which a fetch has to advance: a quarter of 10 Mbit/s.
	minFetchBytesPerSecond = 10e6 / 8 / 4
	// storeFallbackDelay is how long a router tries to fetch a newer state from other routers before
	// it reads it from the store.
	storeFallbackDelay = time.Second
	// maxStateBytes is the maximum size of a fetched state.
	maxStateBytes = 8 << 20
)

// fetchRequest requests a desired state that is newer than a revision.
type fetchRequest struct {
	After revision.Revision `msgpack:"after"`
}

// fetchResponse holds a desired state.
type fetchResponse struct {
	Revision revision.Revision `msgpack:"revision"`
	// Packed is the value, compressed (RFC 1951). It is empty if the router has no newer one.
	Packed []byte `msgpack:"packed,omitempty"`
	// Bytes is the size of the value.
	Bytes int `msgpack:"bytes"`
	// AgeMs is how long ago the router confirmed that no revision above Revision exists.
	AgeMs int64 `msgpack:"age_ms"`
}

// fetchWhileBehind fetches the desired state whenever the router has heard of a newer one.
func (r *Replica) fetchWhileBehind(ctx context.Context) {
	for {
		select {
		case <-r.desired.behind:
		case <-ctx.Done():
			return
		}
		if r.fetchNewest(ctx) {
			sleep(ctx, fetchInterval)
		}
	}
}

// fetchNewest fetches the desired state from a router that holds a newer one, or from the store if no
// router has provided it for storeFallbackDelay. It returns false if there was no one to ask.
func (r *Replica) fetchNewest(ctx context.Context) bool {
	r.mu.Lock()
	from, found := r.desired.takeHolder()
	behindSince := r.desired.behindSince
	r.mu.Unlock()
	if found {
		err := r.fetchFrom(ctx, from)
		if err == nil {
			return true
		}
		r.log.Info("failed to fetch the desired state from a router", "peer", from.router, "revision", from.revision, "err", err)
	}
	if behindSince.IsZero() || time.Since(behindSince) < storeFallbackDelay {
		return found
	}
	if _, err := r.readDesired(ctx, desiredReadTimeout); err != nil {
		r.log.Info("failed to read a newer desired state from the store", "behind", time.Since(behindSince), "err", err)
	}
	return true
}

// fetchFrom fetches the desired state from a router and applies it.
func (r *Replica) fetchFrom(ctx context.Context, from holder) error {
	timeout := pullTimeout + time.Duration(float64(from.bytes)/minFetchBytesPerSecond*float64(time.Second))
	startedAt := time.Now()
	var response fetchResponse
	if err := r.call(ctx, timeout, from.router, methodFetch, fetchRequest{After: r.heldRevision()}, &response); err != nil {
		return err
	}
	if len(response.Packed) == 0 {
		return errors.Errorf("the router holds only revision %s", response.Revision)
	}
	value, err := unpack(response.Packed, response.Bytes)
	if err != nil {
		return err
	}
	transferred := time.Since(startedAt)
	entry := port.Entry{Key: r.desired.key, Value: value, Revision: response.Revision}
	r.applyDesired(entry, startedAt.Add(-time.Duration(response.AgeMs)*time.Millisecond))
	r.log.Info("desired state fetched from a router", "peer", from.router, "revision", response.Revision,
		"bytes", len(response.Packed), "transfer", transferred, "took", time.Since(startedAt))
	return nil
}

// handleFetch answers a router that fetches the desired state.
func (r *Replica) handleFetch(_ context.Context, _ fleet.HostID, decode port.Decode) (any, error) {
	var request fetchRequest
	if err := decode(&request); err != nil {
		return nil, err
	}
	r.packing.Lock()
	defer r.packing.Unlock()
	r.mu.Lock()
	held, packed := r.desired.held, r.desired.packed
	response := fetchResponse{
		Revision: held.Revision, Bytes: len(held.Value), AgeMs: ageMs(r.desired.confirmedAt),
	}
	r.mu.Unlock()
	if !held.Revision.After(request.After) {
		return response, nil
	}
	if packed == nil {
		packed = r.packHeld(held)
	}
	response.Packed = packed
	return response, nil
}

// packHeld compresses the held desired state once for all routers that fetch it.
func (r *Replica) packHeld(held port.Entry) []byte {
	packed := pack(held.Value)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.desired.held.Revision == held.Revision {
		r.desired.packed = packed
	}
	return packed
}

// pack compresses a value. A desired state, whose routes differ little, shrinks to a fraction.
func pack(value []byte) []byte {
	var packed bytes.Buffer
	writer, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		panic("creating a compressor: " + err.Error())
	}
	// Writes to a buffer do not fail.
	_, _ = writer.Write(value)
	_ = writer.Close()
	return packed.Bytes()
}

// unpack returns the value of the given size that pack has compressed.
func unpack(packed []byte, size int) ([]byte, error) {
	if size < 0 || size > maxStateBytes {
		return nil, errors.Errorf("a state of %d bytes is larger than %d", size, maxStateBytes)
	}
	value := make([]byte, size)
	reader := flate.NewReader(bytes.NewReader(packed))
	if _, err := io.ReadFull(reader, value); err != nil {
		return nil, errors.Annotate(err, "decompressing a state")
	}
	return value, nil
}
