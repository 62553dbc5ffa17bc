package claims

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"
)

// metrics are the instruments of non-idempotent calls.
type metrics struct {
	results    metric.Int64Counter
	addedDelay metric.Float64Histogram
	storeCalls metric.Int64Counter
	groupSize  metric.Int64Histogram
	commitTime metric.Float64Histogram
}

func newMetrics(meter metric.Meter) metrics {
	if meter == nil {
		meter = noop.Meter{}
	}
	// An instrument that the meter rejects is still usable, but not exported.
	var m metrics
	m.results, _ = meter.Int64Counter("claims", metric.WithDescription("non-idempotent calls by result"))
	m.addedDelay, _ = meter.Float64Histogram("claim_duration", metric.WithUnit("s"),
		metric.WithDescription("time that a claim adds to a call"))
	m.storeCalls, _ = meter.Int64Counter("claim_store_calls",
		metric.WithDescription("calls of the key-value service for claims"))
	m.groupSize, _ = meter.Int64Histogram("claim_group_size",
		metric.WithDescription("beginnings and ends in one transaction"))
	m.commitTime, _ = meter.Float64Histogram("claim_commit_duration", metric.WithUnit("s"),
		metric.WithDescription("time of one transaction"))
	return m
}

// decided records the result of a claim and the time that it added to the call.
func (m metrics) decided(result string, took time.Duration) {
	ctx := context.Background()
	m.results.Add(ctx, 1, metric.WithAttributes(attribute.String("result", result)))
	m.addedDelay.Record(ctx, took.Seconds())
}

// committed records one transaction; lost is set if the store gave no answer.
func (m metrics) committed(operations int, write, lost bool, took time.Duration) {
	ctx := context.Background()
	kind := "read"
	if write {
		kind = "write"
	}
	m.storeCalls.Add(ctx, 1, metric.WithAttributes(attribute.String("kind", kind), attribute.Bool("lost", lost)))
	m.groupSize.Record(ctx, int64(operations))
	m.commitTime.Record(ctx, took.Seconds())
}
