// Package forward runs calls of plain services. Non-idempotent calls are claimed first and sent at
// most once.
package forward

import (
	"context"
	"io"
	"net/http"
	"time"

	"agateswitch/core/configuration"
	"agateswitch/core/fleet"
	"agateswitch/node/retry"
	"agateswitch/port"
)

// Call is one call of a plain service.
type Call struct {
	Request fleet.Request
	Pool    configuration.Pool
	Method  string
	// Path is the path and query without the service's path prefix.
	Path   string
	Header http.Header
	Body   io.Reader
	// ContentLength is the length of Body; -1 means unknown.
	ContentLength int64
	// IdempotencyKey is set for non-idempotent calls, whose body is in BufferedBody instead of Body.
	IdempotencyKey string
	BufferedBody   []byte
	// Silence is how long a connection may deliver no byte before a new connection is tried.
	// Default: 2 s.
	Silence time.Duration
}

// Sink receives the answer of a call: either Answer or Refuse is called. If reading the body in Answer
// fails, the answer is truncated, and Answer makes this visible to the caller.
type Sink interface {
	// Answer delivers an answer. It returns an error if the answer was not delivered completely.
	Answer(status int, header http.Header, body io.Reader) error
	// Refuse ends the call with a refusal.
	Refuse(refusal *fleet.Refusal)
}

// Service runs calls of plain services.
type Service struct {
	placer    port.Placer
	upstreams port.Upstreams
	versions  port.Versions
	claims    port.Claims
	telemetry port.Telemetry
	retries   *retry.Budgets
}

// New returns a Service.
func New(placer port.Placer, upstreams port.Upstreams, versions port.Versions, claims port.Claims, telemetry port.Telemetry) *Service {
	return &Service{placer: placer, upstreams: upstreams, versions: versions, claims: claims, telemetry: telemetry, retries: retry.New()}
}

// Run runs one call until the caller has an answer or a refusal.
func (s *Service) Run(ctx context.Context, call Call, sink Sink) {
	if call.IdempotencyKey != "" {
		s.runClaimed(ctx, call, sink)
		return
	}
	s.runPlain(ctx, call, sink)
}

// recordEnd is recordAnsweredEnd for an attempt whose answer is not timed.
func (s *Service) recordEnd(call Call, grant fleet.Grant, outcome fleet.Outcome) {
	s.recordAnsweredEnd(call, grant, outcome, answerStart{})
}

// answerStart describes the start of an answer, as evidence on an upstream's version. The zero value
// means that there was no answer, or that it was not timed.
type answerStart struct {
	status int
	// firstByte is the time from the attempt to the start of the answer.
	firstByte time.Duration
}

// recordAnsweredEnd releases the grant of an ended attempt and records the evidence on the upstream's
// version. A call whose caller disconnected is no evidence. An answer with a status of 500 or more is
// complete for the caller, but counts as a failure of the version.
func (s *Service) recordAnsweredEnd(call Call, grant fleet.Grant, outcome fleet.Outcome, start answerStart) {
	s.placer.Release(grant, fleet.Completion{Grant: grant.ID, Upstream: grant.Upstream.ID, Outcome: outcome})
	if outcome != fleet.OutcomeCancelled {
		s.versions.Observe(fleet.Evidence{
			Pool: call.Pool.Name, Version: grant.Upstream.Version, Upstream: grant.Upstream.ID,
			Route:      routeOf(call.Method, call.Path),
			Failed:     outcome != fleet.OutcomeComplete || start.status >= http.StatusInternalServerError,
			FirstToken: start.firstByte,
		})
	}
	s.telemetry.Log.Info("exchange with a service ended", "request", call.Request.ID, "upstream", grant.Upstream.ID, "outcome", outcome)
}

func outcomeOf(failure *port.UpstreamError) fleet.Outcome {
	if failure.Ran == fleet.NotRun {
		return fleet.OutcomeUnsent
	}
	return fleet.OutcomeFailed
}

func refusalOf(failure *port.UpstreamError) *fleet.Refusal {
	code := fleet.CodeOutcomeUnknown
	if failure.Ran == fleet.NotRun {
		code = fleet.CodeUpstreamFailed
	}
	return &fleet.Refusal{Code: code, Message: "the service failed the call", Ran: failure.Ran, RetryAfter: time.Second}
}
