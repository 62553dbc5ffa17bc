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

// open starts one connection of a stream.
type open func(ctx context.Context) (port.UpstreamAnswer, *port.UpstreamError)

// relay passes one engine's stream on to a caller, over as many connections as it takes.
type relay struct {
	service *Service
	id      fleet.RequestID
	grant   fleet.Grant
	sink    Sink

	watch       *watch
	stream      *exchange.Stream
	resumptions exchange.Resumptions
	started     time.Time
	begun       bool
	// resumes is true when another router may have begun the stream.
	resumes bool
	// sent is true once the engine can have the request.
	sent bool
	// callerGone is true when a write to the caller failed.
	callerGone bool
	result     result
}

func (s *Service) newRelay(id fleet.RequestID, silence time.Duration, grant fleet.Grant, after int64, sink Sink) *relay {
	return &relay{
		service: s, id: id, grant: grant, sink: sink, started: time.Now(),
		watch: newWatch(exchange.NewLimits(silence)), stream: exchange.NewStream(after),
	}
}

// run carries the stream to its end. first opens the first connection.
func (r *relay) run(ctx context.Context, first open) result {
	failure := r.connection(ctx, first)
	for failure != nil && r.mayResume(ctx, *failure) {
		failure = r.connection(ctx, r.resume)
	}
	r.result.failure = failure
	r.result.decoded = fleet.Work(r.stream.Delivered())
	r.result.resumed = r.resumptions.Total()
	return r.result
}

// mayResume waits until the next connection may be tried, and tells whether it may.
func (r *relay) mayResume(ctx context.Context, failure exchange.Failure) bool {
	if !failure.IsResumable() || !r.stream.IsResumable() || r.watch.isStalled() {
		return false
	}
	pause, allowed := r.resumptions.Next(failure.PartialAnswer)
	if !allowed {
		return false
	}
	r.service.metrics.resumption(failure.Fault)
	r.service.telemetry.Log.Info("resuming over a new connection", "request", r.id,
		"upstream", r.grant.Upstream.ID, "fault", failure.Fault, "after", r.stream.Last(), "pause", pause)
	return sleep(ctx, pause)
}

func (r *relay) resume(ctx context.Context) (port.UpstreamAnswer, *port.UpstreamError) {
	after := strconv.FormatInt(r.stream.Last(), 10)
	return r.service.upstreams.Resume(ctx, r.grant.Upstream, r.id, after)
}

// connection reads one connection to its end.
func (r *relay) connection(ctx context.Context, open open) *exchange.Failure {
	watched, stop := r.watch.connect(ctx)
	defer stop()
	answer, failure := open(watched)
	if failure != nil {
		r.sent = r.sent || failure.Ran != fleet.NotRun
		return r.fail(ctx, failure.Fault)
	}
	defer answer.Body.Close()
	r.sent = true
	if !isStream(answer) {
		return r.other(ctx, answer)
	}
	r.watch.bytes()
	r.resumptions.RecordAnswer()
	return r.events(ctx, answer)
}

func isStream(answer port.UpstreamAnswer) bool {
	mediaType, _, _ := mime.ParseMediaType(answer.Header.Get("Content-Type"))
	return answer.Status == http.StatusOK && mediaType == eventStream
}

// other judges an answer that is no stream.
func (r *relay) other(ctx context.Context, answer port.UpstreamAnswer) *exchange.Failure {
	switch {
	case answer.Status == http.StatusOK:
		return r.fail(ctx, exchange.FaultMalformed)
	case !r.resumes && r.resumptions.Total() == 0:
		return r.rejected(ctx, answer)
	case answer.Status == http.StatusNotFound || answer.Status == http.StatusGone:
		return r.fail(ctx, exchange.FaultRequestUnknown)
	default:
		return r.fail(ctx, exchange.FaultLost)
	}
}

// rejected passes the engine's own error answer on, unless another engine may do better.
func (r *relay) rejected(ctx context.Context, answer port.UpstreamAnswer) *exchange.Failure {
	whole, fault := readWhole(answer)
	if fault != "" {
		return r.fail(ctx, fault)
	}
	if whole.isOverload() {
		r.result.rejection = whole
		return r.fail(ctx, exchange.FaultRejected)
	}
	whole.write(r.sink)
	return nil
}

// events passes the events of one connection on.
func (r *relay) events(ctx context.Context, answer port.UpstreamAnswer) *exchange.Failure {
	reader := sse.NewReader(watchedReader{Reader: answer.Body, watch: r.watch})
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
			r.callerGone = true
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
	return r.watch.deliver(func() error { return r.sink.Event(event) })
}

// fail classifies the end of a connection. A limit that was broken, or a caller that
// went away, is the cause of whatever the connection says.
func (r *relay) fail(ctx context.Context, fault exchange.Fault) *exchange.Failure {
	if broken := r.watch.broken(); broken != "" {
		fault = broken
	}
	if ctx.Err() != nil || r.callerGone {
		fault = exchange.FaultCancelled
	}
	return &exchange.Failure{Fault: fault, Sent: r.sent, PartialAnswer: r.stream.Last() > 0 || r.stream.Delivered() > 0}
}

// sleep waits, and tells whether ctx went on.
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
