package grants

import (
	"context"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/port"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// metrics counts decisions and exports the state of owned shards.
type metrics struct {
	placedCount  metric.Int64Counter
	refusedCount metric.Int64Counter
	gauges       gauges
}

// gauges export the state of the shards that this router owns.
type gauges struct {
	load, foreign, running, allowed, cold, waiting metric.Int64ObservableGauge
	mean                                           metric.Float64ObservableGauge
}

func newMetrics(telemetry port.Telemetry, shards *shards) *metrics {
	m := &metrics{}
	meter := telemetry.Meter
	if meter == nil {
		return m
	}
	// Creating an instrument fails only for an invalid name and then returns a no-op instrument.
	m.placedCount, _ = meter.Int64Counter("agateswitch_placed", metric.WithDescription("Requests placed, by pool and reason"))
	m.refusedCount, _ = meter.Int64Counter("agateswitch_refused", metric.WithDescription("Requests refused, by pool, team and code"))
	gauge := func(name, description string) metric.Int64ObservableGauge {
		instrument, _ := meter.Int64ObservableGauge(name, metric.WithDescription(description))
		return instrument
	}
	m.gauges = gauges{
		load:    gauge("agateswitch_upstream_load", "Work on an upstream, in tokens"),
		foreign: gauge("agateswitch_upstream_foreign_load", "Work on an upstream that other owners granted, in tokens"),
		running: gauge("agateswitch_upstream_running", "Requests on an upstream"),
		allowed: gauge("agateswitch_upstream_allowed", "Requests that an upstream may bear now"),
		cold:    gauge("agateswitch_upstream_cold", "1 while an upstream is in a cold start"),
		waiting: gauge("agateswitch_shard_waiting", "Requests that wait for their turn"),
	}
	m.gauges.mean, _ = meter.Float64ObservableGauge("agateswitch_shard_mean_load", metric.WithDescription("Mean work of a shard's upstreams, in tokens"))
	g := m.gauges
	meter.RegisterCallback(func(_ context.Context, observer metric.Observer) error {
		g.observe(observer, shards)
		return nil
	}, g.load, g.foreign, g.running, g.allowed, g.cold, g.waiting, g.mean)
	return m
}

func (g gauges) observe(observer metric.Observer, shards *shards) {
	now := time.Now()
	shards.each(func(shard *ownedShard) {
		stats := shard.owner.Stats(now)
		pool := attribute.String("pool", string(shard.key.pool))
		shardAttributes := metric.WithAttributes(pool, attribute.Int("shard", int(shard.key.shard)))
		observer.ObserveInt64(g.waiting, int64(stats.Waiting), shardAttributes)
		observer.ObserveFloat64(g.mean, stats.Mean, shardAttributes)
		for _, upstream := range stats.Upstreams {
			upstreamAttributes := metric.WithAttributes(pool, attribute.String("upstream", string(upstream.ID)))
			cold := int64(0)
			if upstream.Cold {
				cold = 1
			}
			observer.ObserveInt64(g.load, int64(upstream.Load), upstreamAttributes)
			observer.ObserveInt64(g.foreign, int64(upstream.Foreign), upstreamAttributes)
			observer.ObserveInt64(g.running, int64(upstream.Running), upstreamAttributes)
			observer.ObserveInt64(g.allowed, int64(upstream.Allowed), upstreamAttributes)
			observer.ObserveInt64(g.cold, cold, upstreamAttributes)
		}
	})
}

func (m *metrics) countPlaced(request fleet.Request, grant fleet.Grant) {
	if m.placedCount == nil {
		return
	}
	m.placedCount.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("pool", string(request.Pool)), attribute.String("reason", string(grant.Reason)), attribute.Bool("warm", grant.Warm)))
}

func (m *metrics) countRefused(request fleet.Request, refusal *fleet.Refusal) {
	if m.refusedCount == nil {
		return
	}
	m.refusedCount.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("pool", string(request.Pool)), attribute.String("team", string(request.Team)), attribute.String("code", string(refusal.Code))))
}
