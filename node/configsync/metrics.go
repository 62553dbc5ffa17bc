package configsync

import (
	"context"

	"agateswitch/core/fleet"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"
)

// instruments holds the instruments that record the service's metrics.
type instruments struct {
	revision          metric.Int64Gauge
	watching          metric.Int64Gauge
	storeBehind       metric.Int64Gauge
	accepted          metric.Int64Counter
	refusals          metric.Int64Counter
	dataCentreChanges metric.Int64Counter
}

// newInstruments creates the instruments. Without a meter they record nothing.
func newInstruments(meter metric.Meter) instruments {
	if meter == nil {
		meter = noop.NewMeterProvider().Meter("")
	}
	var i instruments
	// The constructors fail only for malformed names, and these names are constants.
	i.revision, _ = meter.Int64Gauge("agateswitch.config.revision",
		metric.WithDescription("Configuration revision in force"))
	i.watching, _ = meter.Int64Gauge("agateswitch.config.watching",
		metric.WithDescription("1 while this router watches the key-value service"))
	i.storeBehind, _ = meter.Int64Gauge("agateswitch.config.store_behind",
		metric.WithDescription("1 while the key-value service holds a lower revision than is in force"))
	i.accepted, _ = meter.Int64Counter("agateswitch.config.accepted",
		metric.WithDescription("Configuration changes accepted by this router"))
	i.refusals, _ = meter.Int64Counter("agateswitch.config.refused",
		metric.WithDescription("Configuration changes refused by this router"))
	i.dataCentreChanges, _ = meter.Int64Counter("agateswitch.datacentre.changes",
		metric.WithDescription("Data centre changes put in force"))
	return i
}

func (i instruments) countRefusal(ctx context.Context, code fleet.Code) {
	i.refusals.Add(ctx, 1, metric.WithAttributes(attribute.String("code", string(code))))
}

func boolValue(value bool) int64 {
	if value {
		return 1
	}
	return 0
}
