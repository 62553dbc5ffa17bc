package grants

import (
	"context"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/core/placement"
)

const (
	// reportInterval is the time between two load reports read from an upstream.
	reportInterval = time.Second
	reportTimeout  = 500 * time.Millisecond
)

// readReports starts reading load reports from the upstreams of owned shards, or of fresh shards
// only. It does not wait for the reports.
func (s *Service) readReports(ctx context.Context, freshOnly bool) {
	if s.reports == nil {
		return
	}
	now := time.Now()
	for _, key := range s.shardsToPoll(now, freshOnly) {
		table := s.routes.pool(now, key.pool)
		for _, upstream := range table.inShard(key.shard) {
			go s.readReport(ctx, upstream)
		}
	}
}

// shardsToPoll returns the shards whose upstreams report their load and that are fresh or, unless
// freshOnly is set, in recent use. It clears their fresh flag.
func (s *Service) shardsToPoll(now time.Time, freshOnly bool) []shardKey {
	snapshot := s.config.Current()
	var keys []shardKey
	s.shards.each(func(shard *ownedShard) {
		pool, found := snapshot.Pool(shard.key.pool)
		if !found || !ownerSettings(pool).Reports {
			return
		}
		isRecent := now.Sub(shard.lastUsed) < ownerIdleTimeout
		if shard.fresh || (!freshOnly && isRecent) {
			keys = append(keys, shard.key)
		}
		shard.fresh = false
	})
	return keys
}

// readReport reads one upstream's load report and applies it to the owned shards of its pool.
func (s *Service) readReport(ctx context.Context, upstream fleet.Upstream) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	report, err := s.reports.Load(ctx, upstream)
	if err != nil {
		s.telemetry.Log.Debug("failed to read an upstream's load report", "upstream", upstream.ID, "err", err)
		return
	}
	now := time.Now()
	var cause placement.ColdStartCause
	s.shards.each(func(shard *ownedShard) {
		if shard.key.pool == upstream.Pool {
			cause = max(cause, shard.owner.Report(now, upstream.ID, report))
		}
	})
	if cause != "" {
		s.telemetry.Log.Info("upstream entered a cold start", "upstream", upstream.ID, "pool", upstream.Pool, "reason", cause)
	}
}
