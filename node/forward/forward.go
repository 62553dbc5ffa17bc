// Package forward carries calls of plain services, non-idempotent calls among them.
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
	// Path holds the path and query without the service's prefix.
	Path   string
	Header http.Header
	Body   io.Reader
	// ContentLength is the length of Body; -1 means unknown.
	ContentLength int64
	// IdempotencyKey is set for non-idempotent calls, whose Body is read whole into OnceBody.
	IdempotencyKey string
	OnceBody       []byte
	// Silence is how long a connection may bring nothing before a fresh one is tried.
	// Default: 2 s.
	Silence time.Duration
}

// Sink takes the answer of a call: Refuse, or Answer. An error that reading the body
// gives means that the answer is cut; Answer shows this to the caller.
type Sink interface {
	Answer(status int, header http.Header, body io.Reader) error
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

// New makes the service.
func New(placer port.Placer, upstreams port.Upstreams, versions port.Versions, claims port.Claims, telemetry port.Telemetry) *Service {
	return &Service{placer: placer, upstreams: upstreams, versions: versions, claims: claims, telemetry: telemetry, retries: retry.New()}
}

// Run carries one call to its end.
func (s *Service) Run(ctx context.Context, call Call, sink Sink) {
	if call.IdempotencyKey != "" {
		s.runOnce(ctx, call, sink)
		return
	}
	s.runPlain(ctx, call, sink)
}

func (s *Service) end(call Call, grant fleet.Grant, outcome fleet.Outcome) {
	s.endAnswered(call, grant, outcome, answered{})
}

// answered is what the start of an answer tells about an upstream. The zero value means that
// there was none, or that it was not timed.
type answered struct {
	status int
	// firstByte is the time from the attempt to the start of the answer.
	firstByte time.Duration
}

// endAnswered reports the end of an attempt to the shard's owner and to the versions' evidence.
// A call whose caller went away tells nothing about a version. An answer with a status of 500
// or more is whole for the caller, but speaks against the version.
func (s *Service) endAnswered(call Call, grant fleet.Grant, outcome fleet.Outcome, start answered) {
	s.placer.Release(grant, fleet.Completion{Grant: grant.ID, Upstream: grant.Upstream.ID, Outcome: outcome})
	if outcome != fleet.OutcomeCancelled {
		s.versions.Observe(fleet.Evidence{
			Pool: call.Pool.Name, Version: grant.Upstream.Version, Upstream: grant.Upstream.ID,
			Route:      routeOf(call.Method, call.Path),
			Failed:     outcome != fleet.OutcomeComplete || start.status >= http.StatusInternalServerError,
			FirstToken: start.firstByte,
		})
	}
	s.telemetry.Log.Info("finished", "request", call.Request.ID, "upstream", grant.Upstream.ID, "outcome", outcome)
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
