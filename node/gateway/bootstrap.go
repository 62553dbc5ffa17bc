package gateway

import (
	"context"
	"sync"
	"time"

	"agateswitch/core/fleet"
)

// Parameters of bootstrapping the cached parts after a start.
const (
	// bootstrapInterval is the pause before each request to other routers. It lets routers that
	// start at the same time register.
	bootstrapInterval = 100 * time.Millisecond
	// maxBootstrapAttempts is how often other routers are queried before engines are. A router that
	// was not restarted answers the first query.
	maxBootstrapAttempts = 3
	// peerCacheReadTime is how long other routers that started at the same time may take to read
	// the caches of the engines for which they have rank 0.
	peerCacheReadTime = time.Second
	// cacheListTimeout limits the time to list the cached parts of one engine.
	cacheListTimeout = time.Second
)

// BootstrapCachedParts learns, after this router has started, which engines have which parts of
// prompts cached. It requests them from other routers. If all routers started at the same time, each
// lists the cached parts of the engines for which it has rank 0, and publishes them. The method
// returns when that is done. On the fleet's first start no engine has anything cached.
func (g *Gateway) BootstrapCachedParts(ctx context.Context, firstStart bool) {
	defer g.Workload.SetBootstrapped()
	if firstStart {
		return
	}
	select {
	case <-g.Ready():
	case <-ctx.Done():
		return
	}
	for range maxBootstrapAttempts {
		if !pause(ctx, bootstrapInterval) || g.Workload.Bootstrap(ctx) {
			return
		}
	}
	var reads sync.WaitGroup
	for _, upstream := range g.modelEngines() {
		if g.Fleet.Rank(string(upstream.ID)) == 0 {
			reads.Go(func() { g.listCachedParts(ctx, upstream) })
		}
	}
	reads.Wait()
	pause(ctx, peerCacheReadTime)
}

// modelEngines returns the engines of all model pools.
func (g *Gateway) modelEngines() []fleet.Upstream {
	current := g.view.current.Load()
	var engines []fleet.Upstream
	for id, upstreams := range current.engines {
		pool, found := current.table.Pool(id)
		if !found || pool.Model == nil {
			continue
		}
		for _, e := range upstreams {
			if _, isPaused := e.pausedUntil(time.Now()); isPaused {
				continue
			}
			engines = append(engines, e.upstream())
		}
	}
	return engines
}

// listCachedParts queries an engine for its cached parts and records them in the workload.
func (g *Gateway) listCachedParts(ctx context.Context, upstream fleet.Upstream) {
	ctx, cancel := context.WithTimeout(ctx, cacheListTimeout)
	defer cancel()
	parts, err := g.Caches.CachedParts(ctx, upstream)
	if err != nil {
		g.Log.Warn("failed to list the cached parts of an engine", "upstream", upstream.ID, "err", err)
		return
	}
	g.Workload.AddCached(upstream.ID, parts)
	g.Log.Info("listed the cached parts of an engine", "upstream", upstream.ID, "parts", len(parts))
}

// pause waits for a duration. It returns false if ctx ends first.
func pause(ctx context.Context, length time.Duration) bool {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
