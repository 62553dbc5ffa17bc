package forward

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"net/http"
	"time"

	"agateswitch/core/fleet"
)

// finishTimeout bounds the recording of an answer after the caller has gone.
const finishTimeout = 10 * time.Second

func (s *Service) runOnce(ctx context.Context, call Call, sink Sink) {
	claim := fleet.Claim{
		Team: call.Request.Team, Pool: call.Pool.Name, Key: call.IdempotencyKey,
		BodyDigest: digest(call), Holder: call.Request.ID, Begun: time.Now(),
	}
	result := s.claims.Begin(ctx, claim)
	s.telemetry.Log.Info("claim", "request", call.Request.ID, "team", claim.Team, "key", claim.Key, "state", result.State)
	switch result.State {
	case fleet.ClaimRefused:
		sink.Refuse(result.Refusal)
	case fleet.ClaimRecorded:
		s.replay(result.Answer, sink)
	case fleet.ClaimGranted:
		s.execute(ctx, call, claim, sink)
	}
}

func (s *Service) replay(answer fleet.ClaimAnswer, sink Sink) {
	header := http.Header{"Content-Type": {answer.ContentType}, "Idempotency-Replayed": {"true"}}
	sink.Answer(answer.Status, header, bytes.NewReader(answer.Body))
}

// execute sends a claimed call once. Its end is recorded before the caller hears of it.
func (s *Service) execute(ctx context.Context, call Call, claim fleet.Claim, sink Sink) {
	// The call goes on when the caller goes away: its answer is kept for the resend.
	ctx = context.WithoutCancel(ctx)
	grant, refusal := s.placer.Acquire(ctx, call.Request)
	if refusal != nil {
		s.finish(ctx, claim, fleet.ClaimAnswer{Unsent: true})
		sink.Refuse(refusal)
		return
	}
	answer, failure := s.send(ctx, call, grant, bytes.NewReader(call.OnceBody))
	if failure != nil {
		s.end(call, grant, outcomeOf(failure))
		s.finish(ctx, claim, fleet.ClaimAnswer{Unsent: failure.Ran == fleet.NotRun, Unknown: failure.Ran != fleet.NotRun})
		sink.Refuse(refusalOf(failure))
		return
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(io.LimitReader(answer.Body, fleet.MaxRecordedBody+1))
	if err != nil || len(body) > fleet.MaxRecordedBody {
		s.end(call, grant, fleet.OutcomeFailed)
		s.finish(ctx, claim, fleet.ClaimAnswer{Unknown: true})
		sink.Refuse(fleet.RefuseUnknown(fleet.CodeOutcomeUnknown, "the service's answer was cut short"))
		return
	}
	s.end(call, grant, fleet.OutcomeWhole)
	s.finish(ctx, claim, fleet.ClaimAnswer{
		Status: answer.Status, ContentType: answer.Header.Get("Content-Type"), Body: body,
	})
	sink.Answer(answer.Status, answer.Header, bytes.NewReader(body))
}

func (s *Service) finish(ctx context.Context, claim fleet.Claim, answer fleet.ClaimAnswer) {
	ctx, cancel := context.WithTimeout(ctx, finishTimeout)
	defer cancel()
	if err := s.claims.Finish(ctx, claim, answer); err != nil {
		s.telemetry.Log.Error("end of a once-only call not recorded", "key", claim.Key, "err", err)
	}
}

func digest(call Call) string {
	hash := sha256.New()
	io.WriteString(hash, call.Method+" "+call.Path+"\n")
	hash.Write(call.OnceBody)
	return hex.EncodeToString(hash.Sum(nil))
}
