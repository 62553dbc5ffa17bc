package chat

import (
	"context"
	"errors"
	"mime"
	"net/http"
	"strconv"
	"time"

	"agateswitch/core/exchange"
	"agateswitch/core/fleet"
	"agateswitch/port"
	"agateswitch/sse"
)

// eventStream is the media type of server-sent events.
const eventStream = "text/event-stream"

// opener sends a request over one connection and returns the start of its answer.
type opener func(ctx context.Context) (port.UpstreamAnswer, *port.UpstreamError)

// relay forwards one engine's stream to a caller. It resumes the stream over new connections if a
// connection fails.
type relay struct {
	service *Service
	id      fleet.RequestID
	grant   fleet.Grant
	sink    Sink

	watchdog    *watchdog
	stream      *exchange.Stream
	resumptions exchange.Resumptions
	started     time.Time
	// begun is true once the sink's Begin was called.
	begun bool
	// resumes is true if another router may have started the stream.
	resumes bool
	// sent is true once the engine may have received the request.
	sent bool
	// callerDisconnected is true after a write to the caller failed.
	callerDisconnected bool
	result             result
}

func (s *Service) newRelay(id fleet.RequestID, silence time.Duration, grant fleet.Grant, after int64, sink Sink) *relay {
	return &relay{
		service: s, id: id, grant: grant, sink: sink, started: time.Now(),
		watchdog: newWatchdog(exchange.NewLimits(silence)), stream: exchange.NewStream(after),
	}
}

// run relays the stream until it is complete or cannot be resumed. first opens the first connection.
func (r *relay) run(ctx context.Context, first opener) result {
	failure := r.runConnection(ctx, first)
	for failure != nil && r.mayResume(ctx, *failure) {
		failure = r.runConnection(ctx, r.resume)
	}
	r.result.failure = failure
	r.result.decoded = fleet.Work(r.stream.Delivered())
	r.result.resumed = r.resumptions.Total()
	return r.result
}

// mayResume reports whether the stream may be resumed over a new connection, after waiting for the
// backoff.
func (r *relay) mayResume(ctx context.Context, failure exchange.Failure) bool {
	if !failure.IsResumable() || !r.stream.IsResumable() || r.watchdog.isStalled() {
		return false
	}
	pause, allowed := r.resumptions.Next(failure.PartialAnswer)
	if !allowed {
		return false
	}
	r.service.metrics.countResumption(failure.Fault)
	r.service.telemetry.Log.Info("resuming a stream over a new connection", "request", r.id,
		"upstream", r.grant.Upstream.ID, "fault", failure.Fault, "after", r.stream.Last(), "pause", pause)
	return sleep(ctx, pause)
}

func (r *relay) resume(ctx context.Context) (port.UpstreamAnswer, *port.UpstreamError) {
	after := strconv.FormatInt(r.stream.Last(), 10)
	return r.service.upstreams.Resume(ctx, r.grant.Upstream, r.id, after)
}

// runConnection opens one connection and relays its answer.
func (r *relay) runConnection(ctx context.Context, open opener) *exchange.Failure {
	watched, stop := r.watchdog.connect(ctx)
	defer stop()
	answer, failure := open(watched)
	if failure != nil {
		r.sent = r.sent || failure.Ran != fleet.NotRun
		return r.fail(ctx, failure.Fault)
	}
	defer answer.Body.Close()
	r.sent = true
	if !isStream(answer) {
		return r.handleNonStream(ctx, answer)
	}
	r.watchdog.recordBytes()
	r.resumptions.RecordAnswer()
	return r.relayEvents(ctx, answer)
}

func isStream(answer port.UpstreamAnswer) bool {
	mediaType, _, _ := mime.ParseMediaType(answer.Header.Get("Content-Type"))
	return answer.Status == http.StatusOK && mediaType == eventStream
}

// handleNonStream evaluates an answer that is not an event stream.
func (r *relay) handleNonStream(ctx context.Context, answer port.UpstreamAnswer) *exchange.Failure {
	switch {
	case answer.Status == http.StatusOK:
		return r.fail(ctx, exchange.FaultMalformed)
	case !r.resumes && r.resumptions.Total() == 0:
		return r.handleRejection(ctx, answer)
	case answer.Status == http.StatusNotFound || answer.Status == http.StatusGone:
		return r.fail(ctx, exchange.FaultRequestUnknown)
	default:
		return r.fail(ctx, exchange.FaultLost)
	}
}

// handleRejection delivers the engine's own error answer to the caller, unless another engine may
// accept the request.
func (r *relay) handleRejection(ctx context.Context, answer port.UpstreamAnswer) *exchange.Failure {
	rejection, fault := readAnswer(answer)
	if fault != "" {
		return r.fail(ctx, fault)
	}
	if rejection.isRetryable() {
		r.result.rejection = rejection
		return r.fail(ctx, exchange.FaultRejected)
	}
	rejection.write(r.sink)
	return nil
}

// relayEvents delivers the events of one connection to the caller.
func (r *relay) relayEvents(ctx context.Context, answer port.UpstreamAnswer) *exchange.Failure {
	reader := sse.NewReader(watchedReader{Reader: answer.Body, watchdog: r.watchdog})
	for {
		event, err := reader.Next()
		if errors.Is(err, sse.ErrTooLarge) {
			return r.fail(ctx, exchange.FaultTooLarge)
		}
		if err != nil {
			return r.fail(ctx, exchange.FaultTruncated)
		}
		switch r.stream.Accept(event.ID, event.IsDone()) {
		case exchange.Duplicate:
			continue
		case exchange.Gap:
			return r.fail(ctx, exchange.FaultGap)
		case exchange.Malformed:
			return r.fail(ctx, exchange.FaultMalformed)
		}
		if r.deliver(event) != nil {
			r.callerDisconnected = true
			return r.fail(ctx, exchange.FaultCancelled)
		}
		if event.IsDone() {
			return nil
		}
	}
}

func (r *relay) deliver(event sse.Event) error {
	if !r.begun {
		r.begun = true
		r.result.firstToken = time.Since(r.started)
		r.sink.Begin(r.grant)
	}
	r.result.lastToken = time.Since(r.started)
	return r.watchdog.deliver(func() error { return r.sink.Event(event) })
}

// fail returns the failure of a connection. An exceeded limit or a disconnected caller closes the
// connection, and therefore takes precedence over the fault that the connection reports.
func (r *relay) fail(ctx context.Context, fault exchange.Fault) *exchange.Failure {
	if exceeded := r.watchdog.exceededLimit(); exceeded != "" {
		fault = exceeded
	}
	if ctx.Err() != nil || r.callerDisconnected {
		fault = exchange.FaultCancelled
	}
	return &exchange.Failure{Fault: fault, Sent: r.sent, PartialAnswer: r.stream.Last() > 0 || r.stream.Delivered() > 0}
}

// sleep waits for the pause, and reports whether ctx is still active afterwards.
func sleep(ctx context.Context, pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
