package router

import (
	"context"

	"github.com/juju/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// registerInstruments registers the metrics whose values are read at collection time: traffic
// between routers and the number of listed routers.
func (r *Router) registerInstruments() error {
	meter := r.metrics.Meter()
	traffic, err := meter.Int64ObservableCounter("agateswitch_peer_bytes",
		metric.WithDescription("Bytes exchanged with other routers"), metric.WithUnit("By"))
	if err != nil {
		return errors.Trace(err)
	}
	routers, err := meter.Int64ObservableGauge("agateswitch_routers",
		metric.WithDescription("Routers that this one believes to take work"))
	if err != nil {
		return errors.Trace(err)
	}
	_, err = meter.RegisterCallback(func(_ context.Context, observer metric.Observer) error {
		sent, received := r.mesh.Traffic()
		observer.ObserveInt64(traffic, sent, metric.WithAttributes(attribute.String("direction", "sent")))
		observer.ObserveInt64(traffic, received, metric.WithAttributes(attribute.String("direction", "received")))
		observer.ObserveInt64(routers, int64(len(r.members.Routers())))
		return nil
	}, traffic, routers)
	return errors.Trace(err)
}
