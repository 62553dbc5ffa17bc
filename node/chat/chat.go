// Package chat carries one chat completion from a caller to an engine and its answer
// back, whole or with a refusal that says whether it ran.
package chat

import (
	"context"
	"sync"
	"time"

	"agateswitch/core/admission"
	"agateswitch/core/exchange"
	"agateswitch/core/fleet"
	"agateswitch/node/retry"
	"agateswitch/port"
	"agateswitch/sse"
)

// completionsPath is the path of the chat-completions format.
const completionsPath = "/v1/chat/completions"

// Call is one chat completion.
type Call struct {
	Request fleet.Request
	// Body is the caller's JSON body, passed on as it is.
	Body   []byte
	Stream bool
	// Silence is how long a connection may bring nothing before a fresh one is tried.
	Silence time.Duration
}

// Sink takes the answer of a call. Exactly one of Whole, Refuse and Begin is called
// first; after Begin come Event, and Refuse if the stream cannot be completed. A call
// whose caller has gone away may end without any.
type Sink interface {
	Whole(status int, contentType string, body []byte)
	Begin(grant fleet.Grant)
	// Event passes an event on, whose Data is valid until Event returns.
	Event(event sse.Event) error
	Refuse(refusal *fleet.Refusal)
}

// Upstreams is what the service needs of engines.
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
	// cancelling counts the calls that no caller waits for.
	cancelling sync.WaitGroup
}

// New makes the service.
func New(placer port.Placer, upstreams Upstreams, versions port.Versions, telemetry port.Telemetry) *Service {
	return &Service{
		placer: placer, upstreams: upstreams, versions: versions, telemetry: telemetry,
		metrics: newMetrics(telemetry.Meter), retries: retry.New(),
	}
}

// Wait returns when no engine is being told to cancel work any more.
func (s *Service) Wait() { s.cancelling.Wait() }

// result is how an attempt on one engine ended.
type result struct {
	// failure is nil when the caller has the complete answer.
	failure *exchange.Failure
	// rejection is the engine's own error answer, kept for the case that no other engine
	// can be asked.
	rejection  *wholeAnswer
	firstToken time.Duration
	// lastToken is the time from sending to the latest event of a stream.
	lastToken time.Duration
	decoded   fleet.Work
	resumed   int
	// retry is allowed when the attempt was given up for another engine.
	retry admission.RetryDecision
}

// tokenInterval returns the mean time between the events of a stream.
func (r result) tokenInterval() time.Duration {
	if r.decoded < 2 || r.lastToken <= r.firstToken {
		return 0
	}
	return (r.lastToken - r.firstToken) / time.Duration(r.decoded-1)
}

// isCancelled tells whether the caller went away.
func (r result) isCancelled() bool {
	return r.failure != nil && r.failure.Fault == exchange.FaultCancelled
}

// Run carries one call to its end.
func (s *Service) Run(ctx context.Context, call Call, sink Sink) {
	var last result
	for {
		grant, refusal := s.placer.Acquire(ctx, call.Request)
		if refusal != nil {
			s.refuse(last, refusal, sink)
			return
		}
		last = s.attempt(ctx, call, grant, sink)
		s.end(call, grant, last)
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

// mayRetry waits until another engine may be asked, and tells whether it may.
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

// decideRetry takes a retry from the pool's budget, if it may. A chat completion changes
// nothing outside of the engine, so it may be repeated.
func (s *Service) decideRetry(call Call, failure exchange.Failure) admission.RetryDecision {
	decision := s.retries.Decide(call.Request.Pool, len(call.Request.Exclude)+1, failure.Ran(), true)
	s.telemetry.Log.Info("retry", "request", call.Request.ID, "fault", failure.Fault, "ran", failure.Ran(),
		"allowed", decision.Allowed, "reason", decision.Reason, "wait", decision.Wait)
	s.metrics.retry(decision.Allowed)
	return decision
}

// refuse gives the caller the refusal of a placement. After an attempt that may have
// run it does not say that the request has not run.
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

// finish tells the caller of a failure that nothing mends.
func (s *Service) finish(call Call, last result, sink Sink) {
	switch {
	case last.isCancelled():
		s.telemetry.Log.Info("caller went away", "request", call.Request.ID)
	case last.rejection != nil:
		last.rejection.write(sink)
	default:
		sink.Refuse(refusalOf(*last.failure))
	}
}

// end reports the end of an attempt to the shard's owner and to the versions' evidence.
func (s *Service) end(call Call, grant fleet.Grant, last result) {
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
	s.metrics.end(outcome, fault)
	s.telemetry.Log.Info("finished", "request", id, "upstream", upstream, "outcome", outcome,
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
