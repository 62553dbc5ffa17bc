package chat

import (
	"context"

	"agateswitch/core/exchange"
	"agateswitch/core/fleet"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"
)

// metrics counts ended attempts, resumptions and retries of chat completions.
type metrics struct {
	ends        metric.Int64Counter
	resumptions metric.Int64Counter
	retries     metric.Int64Counter
}

// newMetrics creates the counters. If meter is nil, nothing is exported.
func newMetrics(meter metric.Meter) metrics {
	if meter == nil {
		meter = noop.Meter{}
	}
	return metrics{
		ends:        counter(meter, "agateswitch.chat.ends", "attempts on engines by outcome and fault"),
		resumptions: counter(meter, "agateswitch.chat.resumptions", "fresh connections tried for a running answer, by fault"),
		retries:     counter(meter, "agateswitch.chat.retries", "retries on another engine, by whether the budget allowed them"),
	}
}

func counter(meter metric.Meter, name, description string) metric.Int64Counter {
	made, err := meter.Int64Counter(name, metric.WithDescription(description))
	if err != nil {
		panic("a constant metric name is invalid: " + err.Error())
	}
	return made
}

func (m metrics) countEnd(outcome fleet.Outcome, fault exchange.Fault) {
	m.ends.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("outcome", string(outcome)), attribute.String("fault", string(fault))))
}

func (m metrics) countResumption(fault exchange.Fault) {
	m.resumptions.Add(context.Background(), 1, metric.WithAttributes(attribute.String("fault", string(fault))))
}

func (m metrics) countRetry(allowed bool) {
	m.retries.Add(context.Background(), 1, metric.WithAttributes(attribute.Bool("allowed", allowed)))
}
