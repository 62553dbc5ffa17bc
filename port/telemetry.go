package port

import (
	"github.com/charmbracelet/log"
	"go.opentelemetry.io/otel/metric"
)

// Telemetry holds the logger and the meter of one component of a router.
type Telemetry struct {
	Log   *log.Logger
	Meter metric.Meter
}
