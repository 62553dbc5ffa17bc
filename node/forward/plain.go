package forward

import (
	"context"
	"io"
	"net/http"
	"time"

	"agateswitch/core/exchange"
	"agateswitch/core/fleet"
	"agateswitch/port"
)

const (
	// defaultSilence is the silence limit of calls that set none.
	defaultSilence = 2 * time.Second
	// maxBufferedBytes is the maximum size of an answer that is read completely before the caller
	// receives it.
	maxBufferedBytes = 64 << 10
)

// plainRun is the run of one call without an idempotency key.
type plainRun struct {
	service *Service
	call    Call
	sink    Sink
	body    *callerBody
	// sent is true once an upstream may have received the call.
	sent bool
}

// runPlain runs a call without an idempotency key.
func (s *Service) runPlain(ctx context.Context, call Call, sink Sink) {
	r := &plainRun{service: s, call: call, sink: sink, body: newCallerBody(call)}
	if err := r.body.buffer(); err != nil {
		sink.Refuse(fleet.Refuse(fleet.CodeBadRequest, "the body could not be read", 0))
		return
	}
	for {
		grant, refusal := s.placer.Acquire(ctx, r.call.Request)
		if refusal != nil {
			r.refuse(refusal)
			return
		}
		failure := r.attempt(ctx, grant)
		if failure == nil {
			s.retries.RecordSuccess(call.Request.Pool)
			return
		}
		if !r.mayRetry(ctx, *failure) {
			r.finish(ctx, *failure)
			return
		}
		r.call.Request.Exclude = append(r.call.Request.Exclude, grant.Upstream.ID)
	}
}

// attempt runs the call on one upstream. It returns nil once the sink received an answer, including one
// that was truncated after its start.
func (r *plainRun) attempt(ctx context.Context, grant fleet.Grant) *exchange.Failure {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	begun := time.Now()
	answer, failure := r.open(ctx, grant)
	if failure != nil {
		r.sent = r.sent || failure.Ran != fleet.NotRun
		r.service.recordEnd(r.call, grant, r.outcome(ctx, failure))
		return &exchange.Failure{Fault: failure.Fault, Sent: r.sent}
	}
	defer answer.Body.Close()
	r.sent = true
	start := answerStart{status: answer.Status, firstByte: time.Since(begun)}
	body := newAnswerBody(answer.Body, exchange.KeepAliveFactor*r.call.silence(), stop)
	defer body.stop()
	content, err := readBuffered(answer, body)
	if err != nil {
		r.service.recordAnsweredEnd(r.call, grant, r.outcome(ctx, nil), start)
		return &exchange.Failure{Fault: exchange.FaultTruncated, Sent: true}
	}
	err = r.sink.Answer(answer.Status, answer.Header, content)
	switch {
	case body.truncated:
		r.service.recordAnsweredEnd(r.call, grant, fleet.OutcomeFailed, start)
	case err != nil:
		r.service.recordAnsweredEnd(r.call, grant, fleet.OutcomeCancelled, start)
	default:
		r.service.recordAnsweredEnd(r.call, grant, fleet.OutcomeComplete, start)
	}
	return nil
}

// outcome returns the outcome of a failed attempt; a nil failure means that its answer was truncated.
func (r *plainRun) outcome(ctx context.Context, failure *port.UpstreamError) fleet.Outcome {
	if ctx.Err() != nil || r.body.readError() != nil {
		return fleet.OutcomeCancelled
	}
	if failure == nil {
		return fleet.OutcomeFailed
	}
	return outcomeOf(failure)
}

// readBuffered reads a small answer completely, so that a truncated one never reaches the caller.
func readBuffered(answer port.UpstreamAnswer, body *answerBody) (io.Reader, error) {
	if answer.Length < 0 || answer.Length > maxBufferedBytes {
		return body, nil
	}
	return body.readAll()
}

// mayRetry reports whether the call may be sent to another upstream, after waiting for the backoff of
// the retry.
func (r *plainRun) mayRetry(ctx context.Context, failure exchange.Failure) bool {
	if ctx.Err() != nil || r.body.readError() != nil || !r.body.isRepeatable() {
		return false
	}
	pool := r.call.Request.Pool
	decision := r.service.retries.Decide(pool, len(r.call.Request.Exclude)+1, failure.Ran(), isSafe(r.call.Method))
	r.service.telemetry.Log.Info("attempt on a service failed; decided whether to retry", "request", r.call.Request.ID,
		"fault", failure.Fault, "ran", failure.Ran(), "allowed", decision.Allowed, "reason", decision.Reason, "wait", decision.Wait)
	return decision.Allowed && sleep(ctx, decision.Wait)
}

// isSafe reports whether a method is safe, so that the call may be repeated (RFC 9110,
// section 9.2.1).
func isSafe(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	default:
		return false
	}
}

// refuse delivers a refusal. If an earlier attempt may have run, the refusal does not state that the
// call has not run.
func (r *plainRun) refuse(refusal *fleet.Refusal) {
	if r.sent {
		unknown := *refusal
		unknown.Ran = fleet.RanUnknown
		refusal = &unknown
	}
	r.sink.Refuse(refusal)
}

// finish ends a call whose failure is not retried.
func (r *plainRun) finish(ctx context.Context, failure exchange.Failure) {
	if ctx.Err() != nil {
		r.service.telemetry.Log.Info("caller disconnected before its service call ended", "request", r.call.Request.ID)
		return
	}
	if r.body.readError() != nil {
		r.refuse(fleet.Refuse(fleet.CodeBadRequest, "the body could not be read to its end", 0))
		return
	}
	r.sink.Refuse(&fleet.Refusal{
		Code: failure.Code(), Message: "the service failed the call: " + string(failure.Fault),
		Ran: failure.Ran(), RetryAfter: time.Second,
	})
}

func (c Call) silence() time.Duration {
	if c.Silence == 0 {
		return defaultSilence
	}
	return c.Silence
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
