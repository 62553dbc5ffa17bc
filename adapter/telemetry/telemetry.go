// Package telemetry makes loggers and serves metrics: OpenTelemetry instruments in
// Prometheus' text format.
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

// NewLogger makes a logger. Level is debug, info, warn or error; format is text or json.
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

// Metrics holds the instruments of one router and serves them.
type Metrics struct {
	provider *sdkmetric.MeterProvider
	registry *prometheus.Registry
}

// NewMetrics makes a set of instruments of its own, so that several routers can share a process.
func NewMetrics() (*Metrics, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprometheus.New(otelprometheus.WithRegisterer(registry), otelprometheus.WithoutScopeInfo())
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &Metrics{provider: sdkmetric.NewMeterProvider(sdkmetric.WithReader(exporter)), registry: registry}, nil
}

// Meter returns the meter that makes instruments.
func (m *Metrics) Meter() metric.Meter { return m.provider.Meter("agateswitch") }

// Handler serves the metrics.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}
