package edge

import (
	"context"
	"time"

	"github.com/charmbracelet/log"
	"github.com/juju/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// trafficLogInterval is the time between two log lines on the network's traffic.
const trafficLogInterval = 5 * time.Second

// Traffic returns the number of bytes sent and received since the start.
type Traffic func() (sent, received int64)

// trafficReport reports the traffic of the fleet's own state: with the store and with other routers.
// It shows which of them takes a link's bandwidth, also with calls that are given up.
type trafficReport struct {
	store, routers Traffic
	log            *log.Logger
}

// observe registers the counter of bytes.
func (t trafficReport) observe(meter metric.Meter) error {
	_, err := meter.Int64ObservableCounter("agateswitch_state_traffic_bytes", metric.WithUnit("By"),
		metric.WithDescription("Bytes exchanged with the store and with other routers, by direction"),
		metric.WithInt64Callback(func(_ context.Context, observer metric.Int64Observer) error {
			for name, traffic := range map[string]Traffic{"store": t.store, "routers": t.routers} {
				sent, received := traffic()
				observer.Observe(sent, metric.WithAttributes(attribute.String("with", name), attribute.String("direction", "sent")))
				observer.Observe(received, metric.WithAttributes(attribute.String("with", name), attribute.String("direction", "received")))
			}
			return nil
		}))
	return errors.Trace(err)
}

// run logs the traffic of each trafficLogInterval until ctx ends.
func (t trafficReport) run(ctx context.Context) {
	ticker := time.NewTicker(trafficLogInterval)
	defer ticker.Stop()
	var previous [4]int64
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		var now [4]int64
		now[0], now[1] = t.store()
		now[2], now[3] = t.routers()
		t.log.Info("state traffic in bytes", "seconds", trafficLogInterval.Seconds(), "store_sent", now[0]-previous[0],
			"store_received", now[1]-previous[1], "routers_sent", now[2]-previous[2], "routers_received", now[3]-previous[3])
		previous = now
	}
}
