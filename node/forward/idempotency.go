package forward

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"time"

	"agateswitch/core/claim"
	"agateswitch/core/fleet"
	"agateswitch/port"

	"github.com/juju/errors"
)

const (
	// recordWait is how long an answer is held back until its record is durable. The
	// recording goes on afterwards.
	recordWait = 2 * time.Second
	// lateRetryAfter is when the caller of a call that was not sent in time may come back.
	lateRetryAfter = time.Second
)

// errTooLate means that the permission to send a claimed call has ended.
var errTooLate = errors.New("the permission to send has ended")

func (s *Service) runOnce(ctx context.Context, call Call, sink Sink) {
	wanted := fleet.Claim{
		Team: call.Request.Team, Pool: call.Pool.Name, Key: call.IdempotencyKey,
		BodyDigest: digest(call), Holder: call.Request.ID, Begun: time.Now(),
	}
	result := s.claims.Begin(ctx, wanted)
	switch result.State {
	case fleet.ClaimRecorded:
		s.replay(result.Answer, sink)
	case fleet.ClaimGranted:
		wanted.Revision = result.Revision
		s.execute(ctx, call, wanted, result.SendBy, sink)
	default:
		sink.Refuse(result.Refusal)
	}
}

func (s *Service) replay(answer fleet.ClaimAnswer, sink Sink) {
	header := http.Header{"Idempotency-Replayed": {"true"}}
	if answer.ContentType != "" {
		header.Set("Content-Type", answer.ContentType)
	}
	sink.Answer(answer.Status, header, bytes.NewReader(answer.Body))
}

// execute sends a claimed call once. Its end is recorded before the caller hears of it.
func (s *Service) execute(ctx context.Context, call Call, held fleet.Claim, sendBy fleet.Deadline, sink Sink) {
	// The call goes on when the caller goes away: its answer is kept for the resend.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), claim.CallLimit)
	defer cancel()
	grant, refusal := s.placer.Acquire(ctx, call.Request)
	if refusal != nil {
		s.record(held, fleet.ClaimAnswer{Unsent: true})
		sink.Refuse(refusal)
		return
	}
	body := &gatedBody{content: bytes.NewReader(call.OnceBody), sendBy: sendBy}
	if sendBy.HasPassed(time.Now()) {
		s.refuseLate(call, held, grant, sink)
		return
	}
	answer, failure := s.upstreams.Send(ctx, port.UpstreamCall{
		Upstream: grant.Upstream, Request: call.Request.ID, Method: call.Method, Path: call.Path,
		Header: call.Header, Body: body, ContentLength: call.ContentLength,
		// A kept connection may have gone silent, and this call cannot be tried again.
		Fresh: true,
	})
	if failure != nil {
		s.end(call, grant, outcomeOf(failure))
		s.record(held, fleet.ClaimAnswer{Unsent: failure.Ran == fleet.NotRun, Unknown: failure.Ran != fleet.NotRun})
		sink.Refuse(refusalOf(failure))
		return
	}
	defer answer.Body.Close()
	s.deliver(call, held, grant, answer, sink)
}

// refuseLate ends a call whose router was paused between the claim and the send.
func (s *Service) refuseLate(call Call, held fleet.Claim, grant fleet.Grant, sink Sink) {
	s.end(call, grant, fleet.OutcomeUnsent)
	s.telemetry.Log.Warn("non-idempotent call not sent, the permission to send had ended", "request", call.Request.ID)
	s.record(held, fleet.ClaimAnswer{Unsent: true})
	sink.Refuse(fleet.Refuse(fleet.CodeDeadline, "the call was not sent in time", lateRetryAfter))
}

// deliver records an answer and hands it on. Of a large one only the status is recorded.
func (s *Service) deliver(call Call, held fleet.Claim, grant fleet.Grant, answer port.UpstreamAnswer, sink Sink) {
	start, err := io.ReadAll(io.LimitReader(answer.Body, fleet.MaxRecordedBodyBytes+1))
	if err != nil {
		s.end(call, grant, fleet.OutcomeFailed)
		s.record(held, fleet.ClaimAnswer{Unknown: true})
		sink.Refuse(fleet.RefuseUnknown(fleet.CodeOutcomeUnknown, "the service's answer was cut short"))
		return
	}
	recorded := fleet.ClaimAnswer{Status: answer.Status, ContentType: answer.Header.Get("Content-Type"), Body: start}
	var rest io.Reader = bytes.NewReader(start)
	if len(start) > fleet.MaxRecordedBodyBytes {
		recorded.Body, recorded.BodyOmitted = nil, true
		rest = io.MultiReader(rest, answer.Body)
	}
	select {
	case <-s.record(held, recorded):
	case <-time.After(recordWait):
		s.telemetry.Log.Warn("answer handed on before its record was durable", "request", call.Request.ID)
	}
	// The sink panics when the rest of a large answer is cut: the grant ends all the same.
	outcome := fleet.OutcomeFailed
	defer func() { s.end(call, grant, outcome) }()
	if err := sink.Answer(answer.Status, answer.Header, rest); err != nil {
		outcome = fleet.OutcomeCancelled
		return
	}
	outcome = fleet.OutcomeComplete
}

// record makes the end of a call durable. The channel is closed when that is done or
// given up; the claim's resends are then told that its outcome is unknown.
func (s *Service) record(held fleet.Claim, answer fleet.ClaimAnswer) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := s.claims.Finish(context.Background(), held, answer); err != nil {
			s.telemetry.Log.Error("end of a non-idempotent call not recorded", "request", held.Holder, "key", held.Key, "err", err)
		}
	}()
	return done
}

func digest(call Call) string {
	hash := sha256.New()
	io.WriteString(hash, string(call.Pool.Name)+"\n"+call.Method+" "+call.Path+"\n")
	hash.Write(call.OnceBody)
	return hex.EncodeToString(hash.Sum(nil))
}
