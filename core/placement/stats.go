package placement

import (
	"time"

	"agateswitch/core/fleet"
)

// Stats is the state of a shard, for metrics.
type Stats struct {
	Waiting         int
	Grants          int
	RememberedChats int
	// Mean is the mean load for an upstream of weight 1, over the upstreams that accept work or are
	// full and warm.
	Mean      float64
	Upstreams []UpstreamStats
}

// UpstreamStats is the state of one upstream, for metrics.
type UpstreamStats struct {
	ID      fleet.UpstreamID
	Load    fleet.Work
	Foreign fleet.Work
	Running int
	// Allowed is the number of requests that the upstream may run now.
	Allowed int
	Cold    bool
}

// Stats returns the state of the shard.
func (o *Owner) Stats(now time.Time) Stats {
	stats := Stats{
		Waiting: o.queue.Len(), Grants: len(o.grants), RememberedChats: o.memory.len(),
		Mean: o.shardLoad(now).mean(1),
	}
	for _, e := range o.engines {
		stats.Upstreams = append(stats.Upstreams, UpstreamStats{
			ID: e.ID, Load: e.load(), Foreign: e.foreignWork, Running: e.totalRunning(),
			Allowed: e.limit(now), Cold: e.ramp.isCold(),
		})
	}
	return stats
}
