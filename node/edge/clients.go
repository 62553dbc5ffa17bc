package edge

import (
	"context"

	"agateswitch/node/gateway"
	"agateswitch/node/intake"
	"agateswitch/settings"

	"github.com/charmbracelet/log"
	"github.com/juju/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// Parts of a host's memory and descriptors that clients may take.
const (
	// intakeShare is the part of the memory that headers and bodies of callers may take.
	intakeShare = 0.25
	// routerReserve is the part of that which is kept for requests of other routers.
	routerReserve = 0.125
	// answerShare is the part of the memory that large answers may take.
	answerShare = 0.175
	// connectionShare is the part of the memory, and connectionBytes what a connection takes of it with its buffers and its goroutine.
	connectionShare = 0.2
	connectionBytes = 24 << 10
	// descriptorShare is the part of the descriptors that callers' connections may take. Each may need another one to an upstream, and
	// the rest is for other routers, the store and the small servers.
	descriptorShare = 0.4
	// smallConnections is the number of connections of all other servers: the directory, the readiness check, and metrics.
	smallConnections = 256
	smallIntakeBytes = 8 << 20
)

// clients bounds what clients of all sockets may take.
type clients struct {
	account, answers, smallAccount *intake.Account
	callers, small                 *intake.Gate
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
	reserve := int64(float64(limit) * routerReserve)
	c := clients{account: intake.NewAccountWithReserve(limit-reserve, reserve), smallAccount: intake.NewAccount(smallIntakeBytes)}
	c.answers = gateway.NewAnswerAccount(int64(memory * answerShare))
	c.answers.LogTo(logger)
	c.account.LogTo(logger)
	c.smallAccount.LogTo(logger)
	c.callers = intake.NewGate(connections, c.account, logger)
	c.small = intake.NewGate(small, c.smallAccount, logger)
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
	unread, err := meter.Int64ObservableCounter("agateswitch_caller_connections_unread", metric.WithDescription("Connections of callers closed because their answers were not read"))
	if err != nil {
		return errors.Trace(err)
	}
	_, err = meter.RegisterCallback(func(_ context.Context, observer metric.Observer) error {
		for sockets, of := range map[string]struct {
			account *intake.Account
			gate    *intake.Gate
		}{"callers": {c.account, c.callers}, "others": {c.smallAccount, c.small}} {
			attributes := metric.WithAttributes(attribute.String("sockets", sockets))
			bytes, refusals, evictions := of.account.Counts()
			connections, closings := of.gate.Counts()
			observer.ObserveInt64(held, bytes, attributes)
			observer.ObserveInt64(refused, refusals, attributes)
			observer.ObserveInt64(evicted, evictions, attributes)
			observer.ObserveInt64(open, connections, attributes)
			observer.ObserveInt64(closed, closings, attributes)
			observer.ObserveInt64(unread, of.gate.Unread(), attributes)
		}
		return nil
	}, held, refused, evicted, open, closed, unread)
	return errors.Trace(err)
}
