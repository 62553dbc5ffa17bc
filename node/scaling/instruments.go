package scaling

import (
	"context"

	"agateswitch/port"

	"github.com/juju/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// instruments records the metrics on orders for engines. The zero value records nothing.
type instruments struct {
	orders metric.Int64Counter
}

func (i instruments) recordOrder(order port.EngineOrder, outcome outcome) {
	if i.orders == nil {
		return
	}
	i.orders.Add(context.Background(), 1, metric.WithAttributes(attribute.String("pool", string(order.Pool)),
		attribute.String("datacentre", string(order.DataCentre)), attribute.String("outcome", string(outcome))))
}

// Observe registers the metrics with a meter. It must be called before Work.
func (s *Service) Observe(meter metric.Meter) error {
	var err error
	if s.instruments.orders, err = meter.Int64Counter("agateswitch_engine_orders",
		metric.WithDescription("Orders for a number of engines, by pool, data centre and outcome")); err != nil {
		return errors.Trace(err)
	}
	_, err = meter.Float64ObservableGauge("agateswitch_engines",
		metric.WithDescription("Engines by pool, data centre and kind: ordered, listed, able, or wanted; of the data centres whose orders this router sends"),
		metric.WithFloat64Callback(func(_ context.Context, observer metric.Float64Observer) error {
			for _, plan := range s.Plans() {
				if plan.Held {
					plan.observe(observer)
				}
			}
			return nil
		}))
	return errors.Trace(err)
}

func (p Plan) observe(observer metric.Float64Observer) {
	for kind, engines := range map[string]float64{
		"ordered": float64(p.Ordered), "listed": float64(p.Listed), "able": p.Able, "wanted": p.Wanted,
	} {
		observer.Observe(engines, metric.WithAttributes(attribute.String("pool", string(p.Pool)),
			attribute.String("datacentre", string(p.DataCentre)), attribute.String("kind", kind)))
	}
}
