package edge

import (
	"context"

	"agateswitch/node/replica"

	"github.com/juju/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// observeRestores registers the metrics on restores of the store from an older copy.
func observeRestores(meter metric.Meter, restores func() replica.RestoreCounts) error {
	_, err := meter.Int64ObservableGauge("agateswitch_store_era",
		metric.WithDescription("How often the store has been restored, as far as this router knows"),
		metric.WithInt64Callback(func(_ context.Context, observer metric.Int64Observer) error {
			observer.Observe(restores().Era)
			return nil
		}))
	if err != nil {
		return errors.Trace(err)
	}
	_, err = meter.Int64ObservableCounter("agateswitch_restored_entries",
		metric.WithDescription("Entries that restores had taken back (kept in force) or lost (kept until written again), by effect"),
		metric.WithInt64Callback(func(_ context.Context, observer metric.Int64Observer) error {
			counts := restores()
			observer.Observe(counts.Kept, metric.WithAttributes(attribute.String("effect", "taken_back")))
			observer.Observe(counts.Lost, metric.WithAttributes(attribute.String("effect", "lost")))
			return nil
		}))
	return errors.Trace(err)
}

// observeCopy registers the metric of the memory of the copy of the store.
func observeCopy(meter metric.Meter, heldBytes func() int) error {
	_, err := meter.Int64ObservableGauge("agateswitch_store_copy_bytes", metric.WithUnit("By"),
		metric.WithDescription("Size of the copy of the store, without the desired state"),
		metric.WithInt64Callback(func(_ context.Context, observer metric.Int64Observer) error {
			observer.Observe(int64(heldBytes()))
			return nil
		}))
	return errors.Trace(err)
}
