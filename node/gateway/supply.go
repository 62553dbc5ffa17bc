package gateway

import (
	"time"

	"agateswitch/core/fleet"
	"agateswitch/core/routing"
	"agateswitch/core/scaling"
)

// ScaledPools returns the pools of the desired state whose number of engines is ordered.
func (g *Gateway) ScaledPools() []routing.Pool {
	var pools []routing.Pool
	if current := g.view.current.Load(); current != nil {
		for _, pool := range current.table.State.Pools {
			if pool.Scaling != nil {
				pools = append(pools, pool)
			}
		}
	}
	return pools
}

// PoolEngines returns the engines of a pool as this router knows them, and the data centres that are taken out. The map must not be changed.
func (g *Gateway) PoolEngines(pool fleet.PoolID) ([]scaling.Engine, map[fleet.DataCentre]bool) {
	current, now := g.view.current.Load(), time.Now()
	if current == nil {
		return nil, nil
	}
	limited, brittle := g.Workload.RateLimited(), g.Workload.AllBrittle()
	engines := make([]scaling.Engine, 0, len(current.engines[pool]))
	for _, e := range current.engines[pool] {
		status, load := e.status(now), g.Workload.Load(e.id)
		engines = append(engines, scaling.Engine{
			DataCentre: status.upstream.DataCentre, Running: load.Running, Pending: load.PendingPrefill, Slots: status.slots,
			Leaving:    status.upstream.State != fleet.Live,
			Unable:     status.paused || !status.isPathLost && (status.ejected || status.path != pathUsable),
			Restricted: e.isMarked(limited) || e.isMarked(brittle), ColdFor: e.coldFor(now),
		})
	}
	return engines, current.dataCentresOut
}

// isMarked reports whether this incarnation of the upstream is in the map.
func (e *engine) isMarked(marks map[fleet.UpstreamID]int64) bool {
	incarnation, found := marks[e.id]
	return found && incarnation == e.incarnation
}

// coldFor returns how long the upstream remains cold.
func (e *engine) coldFor(now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return max(0, e.coldUntil.Sub(now), e.assumedColdUntil.Sub(now))
}
