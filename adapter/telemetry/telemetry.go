// Package telemetry creates loggers and serves OpenTelemetry metrics in the Prometheus text
// format.
package telemetry

import (
	"io"
	"net/http"
	"time"

	"github.com/charmbracelet/log"
	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	otelprometheus "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"
)

// NewLogger returns a logger that writes to w. level is debug, info, warn or error; format is text
// or json.
func NewLogger(w io.Writer, level, format string) (*log.Logger, error) {
	parsed, err := log.ParseLevel(level)
	if err != nil {
		return nil, errors.Trace(err)
	}
	options := log.Options{Level: parsed, ReportTimestamp: true, TimeFormat: time.RFC3339Nano}
	if format == "json" {
		options.Formatter = log.JSONFormatter
	}
	return log.NewWithOptions(w, options), nil
}

// Metrics holds the metric instruments of one router.
type Metrics struct {
	provider *sdkmetric.MeterProvider
	registry *prometheus.Registry
}

// NewMetrics returns a separate set of instruments, so that several routers can share a process.
func NewMetrics() (*Metrics, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprometheus.New(otelprometheus.WithRegisterer(registry), otelprometheus.WithoutScopeInfo())
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &Metrics{provider: sdkmetric.NewMeterProvider(sdkmetric.WithReader(exporter)), registry: registry}, nil
}

// Meter returns the meter that creates instruments.
func (m *Metrics) Meter() metric.Meter { return m.provider.Meter("agateswitch") }

// Handler returns the HTTP handler of the metrics endpoint.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
