package gateway

import (
	"context"
	"sync"
	"time"

	"agateswitch/core/fleet"
)

// Times of learning what is warm after a start.
const (
	// learnPause lets other routers that start at the same moment register.
	learnPause = 100 * time.Millisecond
	// learnTries is how often other routers are asked before engines are: a router that was
	// not stopped answers the first time.
	learnTries = 3
	// learnSettle is how long the others that started at the same moment may take to read the
	// engines for which they are first.
	learnSettle = time.Second
	// listTimeout bounds the reading of one engine's cache.
	listTimeout = time.Second
)

// LearnWarm finds out which engines have which prompts after this router has started. Other
// routers know; when all have started at once, each reads the caches of the engines for which it
// is first, and tells the others. It returns when that is done. On the fleet's first start there
// is nothing to learn.
func (g *Gateway) LearnWarm(ctx context.Context, firstStart bool) {
	defer g.Workload.SetBootstrapped()
	if firstStart {
		return
	}
	select {
	case <-g.Ready():
	case <-ctx.Done():
		return
	}
	for range learnTries {
		if !pause(ctx, learnPause) || g.Workload.Bootstrap(ctx) {
			return
		}
	}
	var reading sync.WaitGroup
	for _, upstream := range g.modelEngines() {
		if g.Fleet.Rank(string(upstream.ID)) == 0 {
			reading.Go(func() { g.readCache(ctx, upstream) })
		}
	}
	reading.Wait()
	pause(ctx, learnSettle)
}

// modelEngines returns the engines of all models.
func (g *Gateway) modelEngines() []fleet.Upstream {
	current := g.view.current.Load()
	var engines []fleet.Upstream
	for id, upstreams := range current.engines {
		pool, found := current.table.Pool(id)
		if !found || pool.Model == nil {
			continue
		}
		for _, e := range upstreams {
			engines = append(engines, e.upstream())
		}
	}
	return engines
}

func (g *Gateway) readCache(ctx context.Context, upstream fleet.Upstream) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	parts, err := g.Caches.CachedParts(ctx, upstream)
	if err != nil {
		g.Log.Warn("cache of an engine not read", "upstream", upstream.ID, "err", err)
		return
	}
	g.Workload.AddCached(upstream.ID, parts)
	g.Log.Info("cache of an engine read", "upstream", upstream.ID, "parts", len(parts))
}

// pause waits, and returns false when ctx ends first.
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
