package gateway

import (
	"context"
	"time"

	"agateswitch/node/ratelimit"
	"agateswitch/node/room"

	"github.com/juju/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// Instruments records the metrics of a gateway.
type Instruments struct {
	answers        metric.Int64Counter
	refusals       metric.Int64Counter
	failedAttempts metric.Int64Counter
	repeats        metric.Int64Counter
	signals        metric.Int64Counter
	draws          metric.Int64Counter
	places         metric.Int64Counter
	queued         metric.Float64Histogram
	quarantined    metric.Int64Counter
	detours        metric.Int64Counter
	firstByte      metric.Float64Histogram
}

// NewInstruments registers a gateway's metrics with a meter.
func NewInstruments(meter metric.Meter) (Instruments, error) {
	var i Instruments
	var err error
	if i.answers, err = meter.Int64Counter("agateswitch_answers",
		metric.WithDescription("Upstreams' answers passed on, by route and status")); err != nil {
		return i, errors.Trace(err)
	}
	if i.refusals, err = meter.Int64Counter("agateswitch_refusals",
		metric.WithDescription("Requests refused by the router, by route and code")); err != nil {
		return i, errors.Trace(err)
	}
	if i.failedAttempts, err = meter.Int64Counter("agateswitch_failed_attempts",
		metric.WithDescription("Attempts that brought no answer, by route")); err != nil {
		return i, errors.Trace(err)
	}
	if i.repeats, err = meter.Int64Counter("agateswitch_repeated_arrivals",
		metric.WithDescription("Arrivals of requests at upstreams beyond the first of each, by pool and whether the retry budget was drawn from")); err != nil {
		return i, errors.Trace(err)
	}
	if i.signals, err = meter.Int64Counter("agateswitch_upstream_signals",
		metric.WithDescription("Answers in which an upstream said that it leaves, asked for a pause, or changed its rate limit, by signal")); err != nil {
		return i, errors.Trace(err)
	}
	if i.draws, err = meter.Int64Counter("agateswitch_rate_limit_draws",
		metric.WithDescription("Draws of tokens from upstreams' rate limits, by source and whether a token was granted")); err != nil {
		return i, errors.Trace(err)
	}
	if i.places, err = meter.Int64Counter("agateswitch_upstream_places",
		metric.WithDescription("Places asked for on upstreams that are brittle or may be full, by outcome")); err != nil {
		return i, errors.Trace(err)
	}
	if i.queued, err = meter.Float64Histogram("agateswitch_small_pool_wait_seconds", metric.WithUnit("s"),
		metric.WithDescription("Time until a request for a place on a small pool was decided, by outcome"),
		metric.WithExplicitBucketBoundaries(0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1)); err != nil {
		return i, errors.Trace(err)
	}
	if i.quarantined, err = meter.Int64Counter("agateswitch_quarantined",
		metric.WithDescription("Requests refused because a part of their prompt crashes engines, by route")); err != nil {
		return i, errors.Trace(err)
	}
	if i.detours, err = meter.Int64Counter("agateswitch_detours",
		metric.WithDescription("Requests offered to another router because this one has no path to an upstream, by outcome")); err != nil {
		return i, errors.Trace(err)
	}
	i.firstByte, err = meter.Float64Histogram("agateswitch_first_byte_seconds", metric.WithUnit("s"),
		metric.WithDescription("Time from a request to its answer's first byte, by route"),
		metric.WithExplicitBucketBoundaries(0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1, 2, 5))
	return i, errors.Trace(err)
}

func (i Instruments) recordAnswer(route string, status int, firstByteTime time.Duration) {
	ctx := context.Background()
	i.answers.Add(ctx, 1, metric.WithAttributes(attribute.String("route", route), attribute.Int("status", status)))
	i.firstByte.Record(ctx, firstByteTime.Seconds(), metric.WithAttributes(attribute.String("route", route)))
}

func (i Instruments) recordRefusal(route, code string) {
	i.refusals.Add(context.Background(), 1, metric.WithAttributes(attribute.String("route", route), attribute.String("code", code)))
}

func (i Instruments) recordQuarantined(route string) {
	i.quarantined.Add(context.Background(), 1, metric.WithAttributes(attribute.String("route", route)))
}

// recordSignal counts what an upstream said of itself: "leaving", "pause" or "rate_limit".
func (i Instruments) recordSignal(signal string) {
	i.signals.Add(context.Background(), 1, metric.WithAttributes(attribute.String("signal", signal)))
}

func (i Instruments) recordDraw(draw ratelimit.Draw) {
	i.draws.Add(context.Background(), 1, metric.WithAttributes(attribute.String("source", string(draw.Source)), attribute.Bool("granted", draw.Granted)))
}

func (i Instruments) recordPlace(outcome room.Outcome) {
	i.places.Add(context.Background(), 1, metric.WithAttributes(attribute.String("outcome", string(outcome))))
}

func (i Instruments) recordQueue(entry room.Entry) {
	i.queued.Record(context.Background(), entry.Waited.Seconds(), metric.WithAttributes(attribute.String("outcome", queueOutcome(entry))))
}

func (i Instruments) recordDetour(outcome string) {
	i.detours.Add(context.Background(), 1, metric.WithAttributes(attribute.String("outcome", outcome)))
}

func (i Instruments) recordFailedAttempt(route string) {
	i.failedAttempts.Add(context.Background(), 1, metric.WithAttributes(attribute.String("route", route)))
}

// recordRepeat counts an arrival of a request at an upstream beyond its first one.
func (i Instruments) recordRepeat(pool string, isDrawn bool) {
	i.repeats.Add(context.Background(), 1, metric.WithAttributes(attribute.String("pool", pool), attribute.Bool("drawn", isDrawn)))
}
