// Package claims makes calls that may not be repeated run at most once: a claim is made
// durable in the platform's key-value service before the call is sent.
package claims

import (
	"context"
	"encoding/json"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/port"

	"github.com/juju/errors"
)

const keyPrefix = "agateswitch/claim/"

// Times that refused callers are told.
const (
	inProgressRetryAfter = 2 * time.Second
	storeDownRetryAfter  = 5 * time.Second
)

// record is the durable state of a claim.
type record struct {
	BodyDigest string             `json:"body_digest"`
	Holder     fleet.RequestID    `json:"holder"`
	Begun      time.Time          `json:"begun"`
	Answer     *fleet.ClaimAnswer `json:"answer,omitempty"`
}

// Service is a port.Claims.
type Service struct {
	store     port.Store
	members   port.Members
	peers     port.Peers
	telemetry port.Telemetry
}

// New makes the service.
func New(store port.Store, members port.Members, peers port.Peers, telemetry port.Telemetry) *Service {
	return &Service{store: store, members: members, peers: peers, telemetry: telemetry}
}

// Run commits and removes claims until ctx ends.
func (s *Service) Run(ctx context.Context) {
	<-ctx.Done()
}

func storeKey(claim fleet.Claim) string {
	return keyPrefix + string(claim.Team) + "/" + claim.Key
}

// Begin implements port.Claims.
func (s *Service) Begin(ctx context.Context, claim fleet.Claim) fleet.ClaimResult {
	value, err := json.Marshal(record{BodyDigest: claim.BodyDigest, Holder: claim.Holder, Begun: claim.Begun})
	if err != nil {
		return refused(fleet.Refuse(fleet.CodeInternal, err.Error(), 0))
	}
	result, err := s.store.Commit(ctx, port.Transaction{
		Conditions: []port.Condition{{Key: storeKey(claim)}},
		Writes:     []port.Write{{Key: storeKey(claim), Value: value}},
	})
	if err == nil && result.Applied {
		return fleet.ClaimResult{State: fleet.ClaimGranted}
	}
	// The key was taken, or the answer was lost: reading back tells whose claim it is.
	found, err := s.read(ctx, claim)
	if err != nil || found == nil {
		return refused(fleet.Refuse(fleet.CodeStoreDown, "the claim could not be made durable", storeDownRetryAfter))
	}
	return judge(claim, *found)
}

func (s *Service) read(ctx context.Context, claim fleet.Claim) (*record, error) {
	entry, err := s.store.Get(ctx, storeKey(claim))
	if err != nil || entry.Revision == 0 {
		return nil, err
	}
	var found record
	if err := json.Unmarshal(entry.Value, &found); err != nil {
		return nil, errors.Annotate(err, "decoding a claim")
	}
	return &found, nil
}

func judge(claim fleet.Claim, found record) fleet.ClaimResult {
	switch {
	case found.BodyDigest != claim.BodyDigest:
		return refused(fleet.Refuse(fleet.CodeKeyReused, "the idempotency key was used with another request", 0))
	case found.Answer != nil && found.Answer.Unknown:
		return refused(fleet.RefuseUnknown(fleet.CodeOutcomeUnknown, "the call may have run and its answer is lost"))
	case found.Answer != nil:
		return fleet.ClaimResult{State: fleet.ClaimRecorded, Answer: *found.Answer}
	case found.Holder == claim.Holder:
		return fleet.ClaimResult{State: fleet.ClaimGranted}
	default:
		return refused(&fleet.Refusal{
			Code: fleet.CodeInProgress, Message: "the same call is in progress",
			Ran: fleet.RanUnknown, RetryAfter: inProgressRetryAfter,
		})
	}
}

func refused(refusal *fleet.Refusal) fleet.ClaimResult {
	return fleet.ClaimResult{State: fleet.ClaimRefused, Refusal: refusal}
}

// Finish implements port.Claims.
func (s *Service) Finish(ctx context.Context, claim fleet.Claim, answer fleet.ClaimAnswer) error {
	write := port.Write{Key: storeKey(claim), Delete: answer.Unsent}
	if !answer.Unsent {
		value, err := json.Marshal(record{
			BodyDigest: claim.BodyDigest, Holder: claim.Holder, Begun: claim.Begun, Answer: &answer,
		})
		if err != nil {
			return errors.Trace(err)
		}
		write.Value = value
	}
	_, err := s.store.Commit(ctx, port.Transaction{Writes: []port.Write{write}})
	return errors.Annotate(err, "recording the end of a claim")
}
