package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"agateswitch/core/fleet"
)

// Checks of paths to upstreams that are in doubt.
const (
	// checkInterval is the mean time between two failed checks of a pool, of which one runs at a time.
	checkInterval = 500 * time.Millisecond
	// checkTimeout bounds one check.
	checkTimeout = 500 * time.Millisecond
	// nextCheckDelay is the time from a successful check to the next one, so that upstreams do not get the checks of all
	// routers at once.
	nextCheckDelay = 20 * time.Millisecond
)

// checkPaths makes Run check the paths in doubt.
func (g *Gateway) checkPaths() {
	select {
	case g.checksDue <- struct{}{}:
	default:
	}
}

// Run checks paths that are in doubt until ctx ends, so that no caller's request has to try them. It also records the size of the fleet.
func (g *Gateway) Run(ctx context.Context) {
	var checks sync.WaitGroup
	defer checks.Wait()
	checks.Go(func() { g.sampleFleet(ctx) })
	var mu sync.Mutex
	running := map[fleet.PoolID]bool{}
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.checksDue:
		}
		current := g.view.current.Load()
		if current == nil {
			continue
		}
		mu.Lock()
		for pool := range current.engines {
			if running[pool] || g.pathInDoubt(pool) == nil {
				continue
			}
			running[pool] = true
			checks.Go(func() {
				g.checkPool(ctx, pool)
				mu.Lock()
				delete(running, pool)
				mu.Unlock()
				// A path may have come into doubt since the last check.
				g.checkPaths()
			})
		}
		mu.Unlock()
	}
}

// checkPool checks the paths to a pool's upstreams, one at a time, until none is in doubt.
func (g *Gateway) checkPool(ctx context.Context, pool fleet.PoolID) {
	for ctx.Err() == nil {
		e := g.pathInDoubt(pool)
		if e == nil {
			return
		}
		if g.checkPath(ctx, e) {
			pause(ctx, nextCheckDelay)
			continue
		}
		pause(ctx, checkInterval/2+rand.N(checkInterval))
	}
}

// checkPath checks the path to one upstream.
func (g *Gateway) checkPath(ctx context.Context, e *engine) bool {
	upstream := e.upstream()
	check, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	err := g.Connect(check, upstream)
	if ctx.Err() != nil {
		return false
	}
	g.Log.Info("checked the path to an upstream", "upstream", upstream.ID, "pool", upstream.Pool, "err", err)
	switch {
	case check.Err() != nil:
		e.recordNoConnection(time.Now(), pathSilent)
		return false
	case err != nil:
		e.recordNoConnection(time.Now(), pathRefused)
		return false
	}
	e.recordConnection()
	return true
}

// Pathless returns the pools with upstreams that accept work, of which this router reaches none.
func (g *Gateway) Pathless() []fleet.PoolID {
	current := g.view.current.Load()
	if current == nil {
		return nil
	}
	var pathless []fleet.PoolID
	now := time.Now()
	for pool, engines := range current.engines {
		live, reached := 0, 0
		for _, e := range engines {
			status := e.status(now)
			if status.upstream.State != fleet.Live {
				continue
			}
			live++
			if status.path == pathUsable {
				reached++
			}
		}
		if live > 0 && reached == 0 {
			pathless = append(pathless, pool)
		}
	}
	slices.Sort(pathless)
	return pathless
}

// pathInDoubt returns an upstream of a pool whose path is in doubt, at random, or nil if there is none.
func (g *Gateway) pathInDoubt(pool fleet.PoolID) *engine {
	now := time.Now()
	var found *engine
	count := 0
	for _, e := range g.view.current.Load().engines[pool] {
		if status := e.status(now); status.path == pathUsable || status.upstream.State != fleet.Live {
			continue
		}
		count++
		if rand.N(count) == 0 {
			found = e
		}
	}
	return found
}
