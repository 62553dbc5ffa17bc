// Package chat carries one chat completion from a caller to an engine and its answer back.
package chat

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/port"
	"agateswitch/sse"
)

// maxWholeAnswer is the largest answer without streaming, in bytes.
const maxWholeAnswer = 8 << 20

// completionsPath is the path of the chat-completions format.
const completionsPath = "/v1/chat/completions"

// Call is one chat completion.
type Call struct {
	Request fleet.Request
	// Body is the caller's JSON body, passed on as it is.
	Body   []byte
	Stream bool
	// Silence is how long an answer may make no progress.
	Silence time.Duration
}

// Sink takes the answer of a call. Exactly one of Whole, Refuse and Begin is called
// first; after Begin come Event, and Refuse if the stream cannot be completed.
type Sink interface {
	Whole(status int, contentType string, body []byte)
	Begin(grant fleet.Grant)
	Event(event sse.Event) error
	Refuse(refusal *fleet.Refusal)
}

// Service runs chat completions.
type Service struct {
	placer    port.Placer
	upstreams port.Upstreams
	versions  port.Versions
	telemetry port.Telemetry
}

// New makes the service.
func New(placer port.Placer, upstreams port.Upstreams, versions port.Versions, telemetry port.Telemetry) *Service {
	return &Service{placer: placer, upstreams: upstreams, versions: versions, telemetry: telemetry}
}

// Run carries one call to its end.
func (s *Service) Run(ctx context.Context, call Call, sink Sink) {
	grant, refusal := s.placer.Acquire(ctx, call.Request)
	if refusal != nil {
		sink.Refuse(refusal)
		return
	}
	started := time.Now()
	completion := fleet.Completion{Grant: grant.ID, Upstream: grant.Upstream.ID}
	completion.Outcome, completion.FirstToken, completion.Decoded = s.exchange(ctx, call, grant, sink)
	s.placer.Release(grant, completion)
	s.versions.Observe(fleet.Evidence{
		Pool: call.Request.Pool, Version: grant.Upstream.Version, Upstream: grant.Upstream.ID,
		Route:      "POST " + completionsPath,
		Failed:     completion.Outcome == fleet.OutcomeFailed || completion.Outcome == fleet.OutcomeUnsent,
		FirstToken: completion.FirstToken,
	})
	s.telemetry.Log.Info("finished", "request", call.Request.ID, "upstream", grant.Upstream.ID,
		"outcome", completion.Outcome, "first_token", completion.FirstToken, "took", time.Since(started))
}

func (s *Service) exchange(ctx context.Context, call Call, grant fleet.Grant, sink Sink) (fleet.Outcome, time.Duration, fleet.Work) {
	sent := time.Now()
	answer, failure := s.upstreams.Send(ctx, port.UpstreamCall{
		Upstream: grant.Upstream, Request: call.Request.ID, Method: http.MethodPost, Path: completionsPath,
		Header: http.Header{"Content-Type": {"application/json"}},
		Body:   bytes.NewReader(call.Body), ContentLength: int64(len(call.Body)),
	})
	if failure != nil {
		sink.Refuse(refusalOf(failure))
		if failure.Ran == fleet.NotRun {
			return fleet.OutcomeUnsent, 0, 0
		}
		return fleet.OutcomeFailed, 0, 0
	}
	defer answer.Body.Close()
	if !call.Stream || answer.Status != http.StatusOK {
		return relayWhole(answer, sink), time.Since(sent), 0
	}
	return relayStream(answer, grant, sent, sink)
}

func refusalOf(failure *port.UpstreamError) *fleet.Refusal {
	return &fleet.Refusal{
		Code: fleet.CodeUpstreamFailed, Message: "the engine failed the request",
		Ran: failure.Ran, RetryAfter: time.Second,
	}
}

func relayWhole(answer port.UpstreamAnswer, sink Sink) fleet.Outcome {
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxWholeAnswer+1))
	if err != nil || len(body) > maxWholeAnswer {
		sink.Refuse(fleet.RefuseUnknown(fleet.CodeUpstreamFailed, "the engine's answer was cut short"))
		return fleet.OutcomeFailed
	}
	sink.Whole(answer.Status, answer.Header.Get("Content-Type"), body)
	if answer.Status >= http.StatusInternalServerError {
		return fleet.OutcomeFailed
	}
	return fleet.OutcomeWhole
}

func relayStream(answer port.UpstreamAnswer, grant fleet.Grant, sent time.Time, sink Sink) (fleet.Outcome, time.Duration, fleet.Work) {
	sink.Begin(grant)
	events := sse.NewReader(answer.Body)
	var firstToken time.Duration
	var decoded fleet.Work
	for {
		event, err := events.Next()
		if err != nil {
			sink.Refuse(fleet.RefuseUnknown(fleet.CodeUpstreamFailed, "the engine's stream ended without its end"))
			return fleet.OutcomeFailed, firstToken, decoded
		}
		if firstToken == 0 {
			firstToken = time.Since(sent)
		}
		if err := sink.Event(event); err != nil {
			return fleet.OutcomeCancelled, firstToken, decoded
		}
		if event.IsDone() {
			return fleet.OutcomeWhole, firstToken, decoded
		}
		decoded++
	}
}
