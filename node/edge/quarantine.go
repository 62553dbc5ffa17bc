package edge

import (
	"context"

	"agateswitch/core/quarantine"

	"github.com/juju/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// observeQuarantine registers the metrics on parts of prompts and requests that are held back or on trial.
func observeQuarantine(meter metric.Meter, holds func() []quarantine.Hold, decided func() map[string]int64) error {
	_, err := meter.Int64ObservableGauge("agateswitch_quarantine_parts",
		metric.WithDescription("Parts of prompts and requests that are held back or on trial, by state"),
		metric.WithInt64Callback(func(_ context.Context, observer metric.Int64Observer) error {
			var held, onTrial int64
			for _, h := range holds() {
				if h.OnTrial {
					onTrial++
				} else {
					held++
				}
			}
			observer.Observe(held, metric.WithAttributes(attribute.String("state", "held")))
			observer.Observe(onTrial, metric.WithAttributes(attribute.String("state", "trial")))
			return nil
		}))
	if err != nil {
		return errors.Trace(err)
	}
	_, err = meter.Int64ObservableCounter("agateswitch_quarantine_decisions_total",
		metric.WithDescription("Decisions of this router on parts of prompts and requests, by state: held, trial, tried (held after a trial), released"),
		metric.WithInt64Callback(func(_ context.Context, observer metric.Int64Observer) error {
			for state, count := range decided() {
				observer.Observe(count, metric.WithAttributes(attribute.String("state", state)))
			}
			return nil
		}))
	return errors.Trace(err)
}
