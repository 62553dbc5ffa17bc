// Package chat runs chat completions: it sends a caller's request to an engine and returns either
// the complete answer or a refusal that states whether the request ran.
package chat

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"agateswitch/core/admission"
	"agateswitch/core/exchange"
	"agateswitch/core/fleet"
	"agateswitch/node/retry"
	"agateswitch/port"
	"agateswitch/sse"
)

// completionsPath is the HTTP path of chat completions on an engine.
const completionsPath = "/v1/chat/completions"

// Call is one chat completion.
type Call struct {
	Request fleet.Request
	// Body is the caller's JSON body, which is forwarded unchanged.
	Body   []byte
	Stream bool
	// Silence is how long a connection may deliver no byte before a new connection is tried.
	Silence time.Duration
}

// Sink receives the answer of a call. The first call is exactly one of Buffered, Refuse and Begin.
// Begin is followed by calls of Event, and by Refuse if the stream cannot be completed. If the
// caller disconnected, the Sink may receive no call at all.
type Sink interface {
	// Buffered delivers a complete answer that is not streamed.
	Buffered(status int, contentType string, body []byte)
	// Begin starts a stream that the grant's engine serves.
	Begin(grant fleet.Grant)
	// Event delivers one event of a stream. The event's Data is valid until Event returns.
	Event(event sse.Event) error
	// Refuse ends the call with a refusal.
	Refuse(refusal *fleet.Refusal)
}

// Upstreams sends requests to engines and fetches their answers.
type Upstreams interface {
	port.Upstreams
	port.AnswerFetcher
}

// Service runs chat completions. It is safe for concurrent use.
type Service struct {
	placer    port.Placer
	upstreams Upstreams
	versions  port.Versions
	telemetry port.Telemetry
	metrics   metrics
	retries   *retry.Budgets
	peers     port.Peers
	handovers handovers
	// instance identifies this process to other routers.
	instance uint64
	// background tracks cancel requests and take-over notifications that run in the background.
	background sync.WaitGroup
}

// New returns a Service. Join adds the other routers as peers.
func New(placer port.Placer, upstreams Upstreams, versions port.Versions, telemetry port.Telemetry) *Service {
	return &Service{
		placer: placer, upstreams: upstreams, versions: versions, telemetry: telemetry,
		metrics: newMetrics(telemetry.Meter), retries: retry.New(), instance: rand.Uint64(),
	}
}

// Wait blocks until all background cancel requests and take-over notifications have ended.
func (s *Service) Wait() { s.background.Wait() }

// result describes how an attempt on one engine ended.
type result struct {
	// failure is nil if the caller received the complete answer.
	failure *exchange.Failure
	// rejection is the engine's own error answer. The caller receives it if no other engine can
	// be tried.
	rejection *bufferedAnswer
	// firstToken is the time from sending to the first event of a stream, or to a complete answer.
	firstToken time.Duration
	// lastToken is the time from sending to the latest event of a stream.
	lastToken time.Duration
	// decoded is the number of a stream's events that the caller received.
	decoded fleet.Work
	// resumed is the number of additional connections to the engine.
	resumed int
	// retry is allowed if the attempt was abandoned in favour of another engine.
	retry admission.RetryDecision
}

// tokenInterval returns the mean time between the events of a stream.
func (r result) tokenInterval() time.Duration {
	if r.decoded < 2 || r.lastToken <= r.firstToken {
		return 0
	}
	return (r.lastToken - r.firstToken) / time.Duration(r.decoded-1)
}

// isCancelled reports whether the caller disconnected.
func (r result) isCancelled() bool {
	return r.failure != nil && r.failure.Fault == exchange.FaultCancelled
}

// Run runs one call: it acquires grants and makes attempts until the caller has an answer or a
// refusal.
func (s *Service) Run(ctx context.Context, call Call, sink Sink) {
	var last result
	for {
		grant, refusal := s.placer.Acquire(ctx, call.Request)
		if refusal != nil {
			s.refuse(last, refusal, sink)
			return
		}
		last = s.attempt(ctx, call, grant, sink)
		s.recordEnd(call, grant, last)
		if last.failure == nil {
			s.retries.RecordSuccess(call.Request.Pool)
			return
		}
		if !s.mayRetry(ctx, call, last) {
			s.finish(call, last, sink)
			return
		}
		call.Request.Exclude = append(call.Request.Exclude, grant.Upstream.ID)
	}
}

// mayRetry reports whether the call may be sent to another engine, after waiting for the backoff of
// the retry.
func (s *Service) mayRetry(ctx context.Context, call Call, last result) bool {
	if last.retry.Allowed {
		return sleep(ctx, last.retry.Wait)
	}
	if !last.failure.IsRetryable(true) {
		return false
	}
	retry := s.decideRetry(call, *last.failure)
	return retry.Allowed && sleep(ctx, retry.Wait)
}

// decideRetry acquires a retry from the pool's retry budget, if one is allowed. A chat completion has
// no effects outside its engine, so that it may always be repeated.
func (s *Service) decideRetry(call Call, failure exchange.Failure) admission.RetryDecision {
	decision := s.retries.Decide(call.Request.Pool, len(call.Request.Exclude)+1, failure.Ran(), true)
	s.telemetry.Log.Info("attempt on an engine failed; decided whether to retry", "request", call.Request.ID,
		"fault", failure.Fault, "ran", failure.Ran(), "allowed", decision.Allowed, "reason", decision.Reason, "wait", decision.Wait)
	s.metrics.countRetry(decision.Allowed)
	return decision
}

// refuse ends a call that got no grant. If an earlier attempt left an error answer of its engine, the
// caller receives that answer. If an earlier attempt may have run, the refusal does not state that
// the request has not run.
func (s *Service) refuse(last result, refusal *fleet.Refusal, sink Sink) {
	if last.rejection != nil {
		last.rejection.write(sink)
		return
	}
	if last.failure != nil && last.failure.Ran() != fleet.NotRun {
		unknown := *refusal
		unknown.Ran = last.failure.Ran()
		refusal = &unknown
	}
	sink.Refuse(refusal)
}

// finish ends a call whose failure is not retried.
func (s *Service) finish(call Call, last result, sink Sink) {
	switch {
	case last.isCancelled():
		s.telemetry.Log.Info("caller disconnected before its chat completion ended", "request", call.Request.ID)
	case last.rejection != nil:
		last.rejection.write(sink)
	default:
		sink.Refuse(refusalOf(*last.failure))
	}
}

// recordEnd releases the grant of an ended attempt and records the evidence on the engine's version.
// A cancelled attempt is no evidence.
func (s *Service) recordEnd(call Call, grant fleet.Grant, last result) {
	outcome := outcomeOf(last)
	s.placer.Release(grant, fleet.Completion{
		Grant: grant.ID, Upstream: grant.Upstream.ID, Outcome: outcome,
		FirstToken: last.firstToken, Decoded: last.decoded,
	})
	if outcome != fleet.OutcomeCancelled {
		s.versions.Observe(fleet.Evidence{
			Pool: call.Request.Pool, Version: grant.Upstream.Version, Upstream: grant.Upstream.ID,
			Route:      "POST " + completionsPath,
			Failed:     outcome != fleet.OutcomeComplete,
			FirstToken: last.firstToken, TokenInterval: last.tokenInterval(),
			Cold: !grant.Warm,
		})
	}
	s.logEnd(call.Request.ID, grant.Upstream.ID, outcome, last)
}

func (s *Service) logEnd(id fleet.RequestID, upstream fleet.UpstreamID, outcome fleet.Outcome, last result) {
	fault := exchange.Fault("")
	if last.failure != nil {
		fault = last.failure.Fault
	}
	s.metrics.countEnd(outcome, fault)
	s.telemetry.Log.Info("exchange with an engine ended", "request", id, "upstream", upstream, "outcome", outcome,
		"fault", fault, "first_token", last.firstToken, "decoded", last.decoded, "resumed", last.resumed)
}

func outcomeOf(last result) fleet.Outcome {
	switch {
	case last.failure == nil:
		return fleet.OutcomeComplete
	case last.failure.Fault == exchange.FaultCancelled:
		return fleet.OutcomeCancelled
	case last.failure.Ran() == fleet.NotRun:
		return fleet.OutcomeUnsent
	default:
		return fleet.OutcomeFailed
	}
}
