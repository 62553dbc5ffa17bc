package replica

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"agateswitch/core/fleet"

	"github.com/juju/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// Times of a start.
const (
	// maxDirectReaders is how many routers may read the whole state from the store at once: the store's link of
	// 1,000 Mbit/s gives each as much as the slowest hosts' own of 10 Mbit/s.
	maxDirectReaders = 100
	// startPullTimeout is how long a starting router of a larger fleet tries to get the entries from the routers that
	// watch the store for it, before it reads the whole state from the store.
	startPullTimeout = time.Second
	// startPullInterval is the time between two such attempts. The watchers may be starting too.
	startPullInterval = 60 * time.Millisecond
	// startFetchTimeout is how long the desired state may take after the entries. After storeFallbackDelay it is read
	// from the store.
	startFetchTimeout = storeFallbackDelay + desiredReadTimeout
)

// loadUntilDone reads the state until that succeeds or ctx ends.
func (r *Replica) loadUntilDone(ctx context.Context) {
	for ctx.Err() == nil && !r.isLoaded() {
		if err := r.start(ctx); err != nil {
			r.log.Warn("failed to read the store at the start", "err", err)
			sleep(ctx, unloadedRetryDelay+rand.N(unloadedRetryDelay))
		}
	}
}

// start reads the whole state. A router first reads which others there are. If there are so many that they would wait
// for each other at the store's link when all start at once, it gets the rest from those that watch the store for
// it, compressed. Otherwise it reads the store, which takes less time than to wait until others have done so.
func (r *Replica) start(ctx context.Context) error {
	if t := r.treeOf(r.routersPrefix); r.routersPrefix != "" && t != nil {
		if err := r.list(ctx, t); err != nil {
			return err
		}
		if len(r.peers.Others()) >= maxDirectReaders && r.loadFromWatchers(ctx) {
			return nil
		}
	}
	return r.load(ctx)
}

// loadFromWatchers gets the state from the routers that watch the store for this one. It reports false when this
// router should read the store itself.
func (r *Replica) loadFromWatchers(ctx context.Context) bool {
	startedAt := time.Now()
	if !r.treesFromWatchers(ctx) {
		return false
	}
	if !r.awaitDesired(ctx) {
		r.log.Info("failed to fetch the desired state at the start; reading the whole state from the store", "waited", time.Since(startedAt))
		return false
	}
	r.log.Info("state read from routers at the start", "took", time.Since(startedAt))
	return true
}

// awaitDesired waits until the desired state has been fetched, and goes on to pull meanwhile: a router that could not
// provide it is not asked again unless another pull names it.
func (r *Replica) awaitDesired(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, startFetchTimeout)
	defer cancel()
	for {
		select {
		case <-r.loaded:
			return true
		case <-time.After(pullInterval):
		case <-ctx.Done():
			return false
		}
		if watchers, _ := r.peers.Watchers(); len(watchers) > 0 {
			r.pullAtStart(ctx, watchers)
		}
	}
}

// treesFromWatchers gets all entries other than the desired state from the routers that watch the store for this
// one, and reports whether it has them.
func (r *Replica) treesFromWatchers(ctx context.Context) bool {
	startedAt := time.Now()
	for ctx.Err() == nil {
		watchers, planned := r.peers.Watchers()
		if planned || len(watchers) == 0 {
			return false
		}
		r.pullAtStart(ctx, watchers)
		if r.hasTrees() {
			return true
		}
		if time.Since(startedAt) > startPullTimeout {
			r.log.Info("no router has the state at the start; reading it from the store", "waited", time.Since(startedAt))
			return false
		}
		sleep(ctx, startPullInterval)
	}
	return false
}

// pullAtStart pulls from two watchers at once, since one may be down. It returns when the first one has provided the
// entries, or both have answered.
func (r *Replica) pullAtStart(ctx context.Context, watchers []fleet.HostID) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var pulls sync.WaitGroup
	for _, at := range rand.Perm(len(watchers))[:min(len(watchers), pullFanout)] {
		pulls.Go(func() {
			// The failure is logged, and the next attempt follows.
			_, _ = r.pullFrom(ctx, watchers[at], pullRequest{})
			if r.hasTrees() {
				cancel()
			}
		})
	}
	pulls.Wait()
}

// hasTrees reports whether the router has a copy of all entries other than the desired state.
func (r *Replica) hasTrees() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range r.trees {
		if t.asOf.IsZero() {
			return false
		}
	}
	return true
}

// errOldState is returned when the state of a router is too old to start with.
const errOldState = errors.ConstError("the router's state is too old to start with")

// isTooOld reports whether a router would no longer rely on the state that another one has told.
func (r *Replica) isTooOld(response pullResponse) bool {
	age := response.Desired.AgeMs
	for _, pulled := range response.Trees {
		age = max(age, pulled.AgeMs)
	}
	return response.LostStore || age > r.freshness.MaxCopyAge.Milliseconds()
}

// packEntries replaces the entries of a complete tree by their compressed form.
func (p *pulledTree) packEntries() error {
	if !p.Complete || len(p.Entries) == 0 {
		return nil
	}
	encoded, err := msgpack.Marshal(p.Entries)
	if err != nil {
		return errors.Annotate(err, "encoding entries")
	}
	p.Packed, p.PackedBytes, p.Entries = pack(encoded), len(encoded), nil
	return nil
}

// unpackEntries restores what packEntries has replaced.
func (p *pulledTree) unpackEntries() error {
	if len(p.Packed) == 0 {
		return nil
	}
	encoded, err := unpack(p.Packed, p.PackedBytes)
	if err != nil {
		return err
	}
	p.Packed = nil
	return errors.Annotate(msgpack.Unmarshal(encoded, &p.Entries), "decoding entries")
}
