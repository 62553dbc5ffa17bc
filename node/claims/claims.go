// Package claims ensures that calls that may not be repeated run at most once. An entry router
// requests a claim from the owner of the key's claim shard. The owner commits the claims and answers
// of many calls together in the platform's key-value service.
package claims

import (
	"context"
	"sync"
	"time"

	coreclaim "agateswitch/core/claim"
	"agateswitch/core/fleet"
	"agateswitch/core/rendezvous"
	"agateswitch/port"

	"github.com/juju/errors"
)

// Limits of an entry router.
const (
	// maxOwners is how many routers are tried for one claim, in the shard's rendezvous order.
	maxOwners = 3
	// ownerCallTimeout bounds one call to an owner. It is longer than the owner's own timeouts.
	ownerCallTimeout = ownerBeginTimeout + 500*time.Millisecond
	// finishTimeout bounds the recording of a call's end, including all retries.
	finishTimeout = 30 * time.Second
	// finishRetryInterval is the pause between two attempts to record a call's end.
	finishRetryInterval = 500 * time.Millisecond
)

// noOwnerRetryAfter is the Retry-After value of a refusal while no owner answers.
const noOwnerRetryAfter = 2 * time.Second

// Service implements port.Claims for an entry router and serves as an owner of claim shards. It is
// safe for concurrent use.
type Service struct {
	store     port.Store
	members   port.Members
	peers     port.Peers
	telemetry port.Telemetry
	metrics   metrics
	workers   [coreclaim.ShardCount]*worker
	// finishing counts the calls whose end is being recorded.
	finishing sync.WaitGroup
}

// New returns a service and registers its methods with the peers. WritesPerSecond is the fleet-wide
// limit of claim writes to the key-value service; zero means coreclaim.DefaultWritesPerSecond.
func New(store port.Store, members port.Members, peers port.Peers, writesPerSecond float64, telemetry port.Telemetry) *Service {
	if writesPerSecond == 0 {
		writesPerSecond = coreclaim.DefaultWritesPerSecond
	}
	s := &Service{store: store, members: members, peers: peers, telemetry: telemetry, metrics: newMetrics(telemetry.Meter)}
	now := time.Now()
	for i := range s.workers {
		s.workers[i] = newWorker(s, i, now, writesPerSecond)
	}
	peers.Handle(methodBegin, s.handleBegin)
	peers.Handle(methodFinish, s.handleFinish)
	peers.Handle(methodForeign, s.handleForeign)
	return s
}

// routerIDs returns the ids of the routers that accept work.
func (s *Service) routerIDs() []string {
	var ids []string
	for _, host := range s.members.Routers() {
		ids = append(ids, string(host.ID))
	}
	return ids
}

// owners returns the routers to try for a shard, in rendezvous order.
func (s *Service) owners(shard int) []fleet.HostID {
	ranked := rendezvous.Order(coreclaim.ShardName(shard), s.routerIDs())
	var owners []fleet.HostID
	for _, id := range ranked[:min(maxOwners, len(ranked))] {
		owners = append(owners, fleet.HostID(id))
	}
	return owners
}

// Begin implements port.Claims.
func (s *Service) Begin(ctx context.Context, claim fleet.Claim) fleet.ClaimResult {
	// SendLimit counts from before the first request to an owner.
	started := time.Now()
	claim.Host = s.members.Self().ID
	result, owner := s.begin(ctx, claim)
	result.SendBy = fleet.DeadlineAt(started.Add(coreclaim.SendLimit))
	if mayBeDurable(result) {
		s.releaseAsync(claim)
	}
	s.recordDecision(claim, result, owner, time.Since(started))
	return result
}

// begin requests the claim from the shard's owners, one after another, and returns the first result
// with its owner.
func (s *Service) begin(ctx context.Context, claim fleet.Claim) (fleet.ClaimResult, fleet.HostID) {
	if refusal := coreclaim.CheckKey(time.Now(), claim.Key); refusal != nil {
		return fleet.ClaimResult{State: fleet.ClaimRefused, Refusal: refusal}, ""
	}
	ctx, cancel := context.WithTimeout(ctx, coreclaim.SendLimit)
	defer cancel()
	for _, owner := range s.owners(coreclaim.ShardOf(claim.Team, claim.Key)) {
		var result fleet.ClaimResult
		if s.call(ctx, owner, methodBegin, claim, &result) == nil && result.State != "" {
			return result, owner
		}
	}
	refusal := fleet.RefuseUnknown(fleet.CodeStoreDown,
		"no owner of the claim answered; this call was not sent, an earlier one with its key may have run")
	refusal.RetryAfter = noOwnerRetryAfter
	return fleet.ClaimResult{State: fleet.ClaimRefused, Refusal: refusal}, ""
}

// call sends a request to one owner and records whether the owner is reachable.
func (s *Service) call(ctx context.Context, owner fleet.HostID, method string, request, response any) error {
	limited, cancel := context.WithTimeout(ctx, ownerCallTimeout)
	defer cancel()
	err := s.peers.Call(limited, owner, method, request, response)
	switch {
	case err == nil:
		s.members.Confirm(owner)
	case errors.Is(err, port.ErrPeerUnreachable) && ctx.Err() == nil:
		s.members.Suspect(owner)
		s.telemetry.Log.Warn("claim owner unreachable", "owner", owner, "method", method, "err", err)
	}
	return err
}

// mayBeDurable reports whether a refused claim may be in the store or may still be written there.
func mayBeDurable(result fleet.ClaimResult) bool {
	if result.State != fleet.ClaimRefused {
		return false
	}
	code := result.Refusal.Code
	return code == fleet.CodeStoreDown || code == fleet.CodeOverloaded
}

// releaseAsync records in the background that a claim's call is never sent, so that a resend can get
// the claim. It doesn't delay the refusal.
func (s *Service) releaseAsync(claim fleet.Claim) {
	s.finishing.Go(func() {
		if err := s.Finish(context.Background(), claim, fleet.ClaimAnswer{Unsent: true}); err != nil {
			s.telemetry.Log.Warn("failed to release the claim of an unsent call; resends get an unknown outcome",
				"request", claim.Holder, "err", err)
		}
	})
}

// Finish implements port.Claims. It retries until the call's end is durable, ctx ends, or
// finishTimeout has elapsed.
func (s *Service) Finish(ctx context.Context, claim fleet.Claim, answer fleet.ClaimAnswer) error {
	s.finishing.Add(1)
	defer s.finishing.Done()
	ctx, cancel := context.WithTimeout(ctx, finishTimeout)
	defer cancel()
	message := finishRequest{Claim: claim, Answer: answer}
	for {
		for _, owner := range s.owners(coreclaim.ShardOf(claim.Team, claim.Key)) {
			var response finishResponse
			if s.call(ctx, owner, methodFinish, message, &response) == nil && response.Recorded {
				return nil
			}
		}
		select {
		case <-time.After(finishRetryInterval):
		case <-ctx.Done():
			return errors.Annotate(ctx.Err(), "recording the end of a claim")
		}
	}
}

// Wait blocks until the ends of all calls are recorded or ctx ends. A stopping router waits so that
// none of its calls is left with an unknown outcome.
func (s *Service) Wait(ctx context.Context) {
	done := make(chan struct{})
	go func() { s.finishing.Wait(); close(done) }()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// recordDecision logs and counts the decision about a claim.
func (s *Service) recordDecision(claim fleet.Claim, result fleet.ClaimResult, owner fleet.HostID, took time.Duration) {
	name, reason := string(result.State), ""
	if result.Refusal != nil {
		name, reason = string(result.Refusal.Code), result.Refusal.Message
	}
	s.metrics.decided(name, took)
	s.telemetry.Log.Info("claim decided", "request", claim.Holder, "team", claim.Team, "pool", claim.Pool,
		"key", claim.Key, "result", name, "reason", reason, "owner", owner, "took", took)
}
