package moves

import (
	"context"

	"agateswitch/core/fleet"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"
)

// instruments are the counters of the service.
type instruments struct {
	transitions metric.Int64Counter
	fallbacks   metric.Int64Counter
	reports     metric.Int64Counter
	lost        metric.Int64Counter
}

func newInstruments(meter metric.Meter) instruments {
	if meter == nil {
		meter = noop.Meter{}
	}
	counter := func(name, description string) metric.Int64Counter {
		instrument, err := meter.Int64Counter(name, metric.WithDescription(description))
		if err != nil {
			return noop.Int64Counter{}
		}
		return instrument
	}
	return instruments{
		transitions: counter("agateswitch.version.transitions", "Transitions of version moves seen by this router"),
		fallbacks:   counter("agateswitch.version.fallbacks", "Requests for which the chosen version had no upstream"),
		reports:     counter("agateswitch.version.reports", "Reports of evidence sent"),
		lost:        counter("agateswitch.version.reports_lost", "Reports of evidence without an answer"),
	}
}

func (i instruments) transition(pool fleet.PoolID, status string) {
	i.transitions.Add(context.Background(), 1,
		metric.WithAttributes(attribute.String("pool", string(pool)), attribute.String("status", status)))
}

func (i instruments) fallback(pool fleet.PoolID) {
	i.fallbacks.Add(context.Background(), 1, metric.WithAttributes(attribute.String("pool", string(pool))))
}

func (i instruments) report(err error) {
	i.reports.Add(context.Background(), 1)
	if err != nil {
		i.lost.Add(context.Background(), 1)
	}
}
