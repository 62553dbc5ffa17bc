package edge

import (
	"context"

	"agateswitch/node/gateway"
	"agateswitch/node/intake"
	"agateswitch/settings"

	"github.com/charmbracelet/log"
	"github.com/juju/errors"
	"go.opentelemetry.io/otel/metric"
)

// Parts of a host's memory and descriptors that clients may take.
const (
	// intakeShare is the part of the memory that headers and bodies of callers may take.
	intakeShare = 0.25
	// connectionShare is the part of the memory, and connectionBytes what a connection takes of it with its buffers and its goroutine.
	connectionShare = 0.2
	connectionBytes = 24 << 10
	// descriptorShare is the part of the descriptors that callers' connections may take; the others are for upstreams, other routers and
	// the store.
	descriptorShare = 0.5
	// smallConnections is the number of connections of all other servers: the directory, the readiness check, and metrics.
	smallConnections = 256
	smallIntakeBytes = 8 << 20
)

// clients bounds what clients of all sockets may take.
type clients struct {
	account        *intake.Account
	callers, small *intake.Gate
}

func newClients(capacity settings.Capacity, logger *log.Logger) clients {
	memory := capacity.MemoryMB * (1 << 20)
	limit, connections, small := int64(gateway.DefaultIntakeBytes), 0, 0
	if memory > 0 {
		limit, connections = int64(memory*intakeShare), int(memory*connectionShare/connectionBytes)
		small = smallConnections
	}
	if capacity.Descriptors > 0 {
		most := int(float64(capacity.Descriptors) * descriptorShare)
		if connections == 0 || most < connections {
			connections = most
		}
		small = min(smallConnections, max(1, most/8))
	}
	c := clients{account: intake.NewAccount(limit)}
	c.callers = intake.NewGate(connections, c.account, logger)
	c.small = intake.NewGate(small, intake.NewAccount(smallIntakeBytes), logger)
	return c
}

// gate returns the gate of the callers' socket, or of all others.
func (c clients) gate(isCallers bool) *intake.Gate {
	if isCallers {
		return c.callers
	}
	return c.small
}

// observe registers the metrics.
func (c clients) observe(meter metric.Meter) error {
	held, err := meter.Int64ObservableGauge("agateswitch_intake_bytes", metric.WithUnit("By"),
		metric.WithDescription("Memory that headers and bodies of callers take"))
	if err != nil {
		return errors.Trace(err)
	}
	refused, err := meter.Int64ObservableCounter("agateswitch_intake_refused", metric.WithDescription("Requests refused for want of memory"))
	if err != nil {
		return errors.Trace(err)
	}
	evicted, err := meter.Int64ObservableCounter("agateswitch_intake_evicted", metric.WithDescription("Times that a caller was made to give memory back"))
	if err != nil {
		return errors.Trace(err)
	}
	open, err := meter.Int64ObservableGauge("agateswitch_caller_connections", metric.WithDescription("Open connections of callers"))
	if err != nil {
		return errors.Trace(err)
	}
	closed, err := meter.Int64ObservableCounter("agateswitch_caller_connections_closed", metric.WithDescription("Connections of callers closed because there were too many"))
	if err != nil {
		return errors.Trace(err)
	}
	_, err = meter.RegisterCallback(func(_ context.Context, observer metric.Observer) error {
		bytes, refusals, evictions := c.account.Counts()
		connections, closings := c.callers.Counts()
		observer.ObserveInt64(held, bytes)
		observer.ObserveInt64(refused, refusals)
		observer.ObserveInt64(evicted, evictions)
		observer.ObserveInt64(open, connections)
		observer.ObserveInt64(closed, closings)
		return nil
	}, held, refused, evicted, open, closed)
	return errors.Trace(err)
}
