package grants

import (
	"context"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/core/placement"
)

const (
	// reportInterval is the time between two readings of an upstream's load.
	reportInterval = time.Second
	reportTimeout  = 500 * time.Millisecond
)

// readReports asks the upstreams of owned shards for their load, those of fresh shards only
// or those of all. It does not wait for the answers.
func (s *Service) readReports(ctx context.Context, freshOnly bool) {
	if s.reports == nil {
		return
	}
	now := time.Now()
	for _, key := range s.reportKeys(now, freshOnly) {
		table := s.routes.pool(now, key.pool)
		for _, upstream := range table.inShard(key.shard) {
			go s.readReport(ctx, upstream)
		}
	}
}

// reportKeys returns the shards to read reports for: those that this router granted for lately.
func (s *Service) reportKeys(now time.Time, freshOnly bool) []shardKey {
	snapshot := s.config.Current()
	var keys []shardKey
	s.shards.each(func(shard *ownedShard) {
		pool, found := snapshot.Pool(shard.key.pool)
		if !found || !ownerSettings(pool).Reports {
			return
		}
		isRecent := now.Sub(shard.used) < ownerIdle
		if shard.fresh || (!freshOnly && isRecent) {
			keys = append(keys, shard.key)
		}
		shard.fresh = false
	})
	return keys
}

func (s *Service) readReport(ctx context.Context, upstream fleet.Upstream) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	report, err := s.reports.Load(ctx, upstream)
	if err != nil {
		s.telemetry.Log.Debug("load report unreadable", "upstream", upstream.ID, "err", err)
		return
	}
	now := time.Now()
	var sign placement.ColdStartCause
	s.shards.each(func(shard *ownedShard) {
		if shard.key.pool == upstream.Pool {
			sign = max(sign, shard.owner.Report(now, upstream.ID, report))
		}
	})
	if sign != "" {
		s.telemetry.Log.Info("upstream back to its cold start", "upstream", upstream.ID, "pool", upstream.Pool, "reason", sign)
	}
}
