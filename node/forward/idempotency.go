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
	// maxRecordWait is how long an answer is held back for its record to become durable. The
	// write of the record continues afterwards.
	maxRecordWait = 2 * time.Second
	// expiredRetryAfter is the wait that callers are advised to make after a call was not sent in time.
	expiredRetryAfter = time.Second
)

// errSendExpired is returned when the permission to send a claimed call expired before it was sent.
var errSendExpired = errors.New("the permission to send the claimed call expired before it was sent")

// runClaimed claims a non-idempotent call, and then sends it or replays its recorded answer.
func (s *Service) runClaimed(ctx context.Context, call Call, sink Sink) {
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

// replay delivers the recorded answer of an earlier call.
func (s *Service) replay(answer fleet.ClaimAnswer, sink Sink) {
	header := http.Header{"Idempotency-Replayed": {"true"}}
	if answer.ContentType != "" {
		header.Set("Content-Type", answer.ContentType)
	}
	sink.Answer(answer.Status, header, bytes.NewReader(answer.Body))
}

// execute sends a claimed call once. The caller receives the answer after its record is durable, or
// after maxRecordWait.
func (s *Service) execute(ctx context.Context, call Call, held fleet.Claim, sendBy fleet.Deadline, sink Sink) {
	// The call continues if the caller disconnects: its answer is recorded for a resend.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), claim.CallLimit)
	defer cancel()
	grant, refusal := s.placer.Acquire(ctx, call.Request)
	if refusal != nil {
		s.record(held, fleet.ClaimAnswer{Unsent: true})
		sink.Refuse(refusal)
		return
	}
	body := &gatedBody{content: bytes.NewReader(call.BufferedBody), sendBy: sendBy}
	if sendBy.HasPassed(time.Now()) {
		s.refuseExpired(call, held, grant, sink)
		return
	}
	answer, failure := s.upstreams.Send(ctx, port.UpstreamCall{
		Upstream: grant.Upstream, Request: call.Request.ID, Method: call.Method, Path: call.Path,
		Header: call.Header, Body: body, ContentLength: call.ContentLength,
		// A pooled connection may be dead, and this call cannot be sent a second time.
		Fresh: true,
	})
	if failure != nil {
		s.recordEnd(call, grant, outcomeOf(failure))
		s.record(held, fleet.ClaimAnswer{Unsent: failure.Ran == fleet.NotRun, Unknown: failure.Ran != fleet.NotRun})
		sink.Refuse(refusalOf(failure))
		return
	}
	defer answer.Body.Close()
	s.deliver(call, held, grant, answer, sink)
}

// refuseExpired refuses a call whose permission to send expired, for example because the process was
// paused between the claim and the send.
func (s *Service) refuseExpired(call Call, held fleet.Claim, grant fleet.Grant, sink Sink) {
	s.recordEnd(call, grant, fleet.OutcomeUnsent)
	s.telemetry.Log.Warn("non-idempotent call not sent because its permission to send expired", "request", call.Request.ID)
	s.record(held, fleet.ClaimAnswer{Unsent: true})
	sink.Refuse(fleet.Refuse(fleet.CodeDeadline, "the call was not sent in time", expiredRetryAfter))
}

// deliver records an answer and delivers it to the caller. The body of a large answer is not recorded.
func (s *Service) deliver(call Call, held fleet.Claim, grant fleet.Grant, answer port.UpstreamAnswer, sink Sink) {
	start, err := io.ReadAll(io.LimitReader(answer.Body, fleet.MaxRecordedBodyBytes+1))
	if err != nil {
		s.recordEnd(call, grant, fleet.OutcomeFailed)
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
	case <-time.After(maxRecordWait):
		s.telemetry.Log.Warn("answer to a non-idempotent call delivered before its record was durable", "request", call.Request.ID)
	}
	// The sink panics if the rest of a large answer is truncated. The deferred call releases the
	// grant in that case, too.
	outcome := fleet.OutcomeFailed
	defer func() { s.recordEnd(call, grant, outcome) }()
	if err := sink.Answer(answer.Status, answer.Header, rest); err != nil {
		outcome = fleet.OutcomeCancelled
		return
	}
	outcome = fleet.OutcomeComplete
}

// record writes the outcome of a call to its claim. The returned channel is closed when the write has
// succeeded or failed. After a failure, resends of the call are refused with an unknown outcome.
func (s *Service) record(held fleet.Claim, answer fleet.ClaimAnswer) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := s.claims.Finish(context.Background(), held, answer); err != nil {
			s.telemetry.Log.Error("failed to record the outcome of a non-idempotent call", "request", held.Holder, "key", held.Key, "err", err)
		}
	}()
	return done
}

// digest returns a hash of what a call and its resends have in common: pool, method, path and body.
func digest(call Call) string {
	hash := sha256.New()
	io.WriteString(hash, string(call.Pool.Name)+"\n"+call.Method+" "+call.Path+"\n")
	hash.Write(call.BufferedBody)
	return hex.EncodeToString(hash.Sum(nil))
}
