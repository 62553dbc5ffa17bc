package port

import (
	"github.com/charmbracelet/log"
	"go.opentelemetry.io/otel/metric"
)

// Telemetry is how a part of a router tells what it does.
type Telemetry struct {
	Log   *log.Logger
	Meter metric.Meter
}
