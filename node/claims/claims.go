// Package claims makes calls that may not be repeated run at most once. An entry router
// asks the owner of the key's claim shard, which commits the claims and answers of many
// calls together in the platform's key-value service.
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
	// maxOwners is how many routers are asked for one claim, in the shard's order.
	maxOwners = 3
	// askTimeout bounds one call of an owner; it is above the owner's own limit.
	askTimeout = beginLimit + 500*time.Millisecond
	// finishTimeout bounds the recording of an end, with all its retries.
	finishTimeout = 30 * time.Second
	// finishRetry is the pause between two tries to record an end.
	finishRetry = 500 * time.Millisecond
)

// noOwnerRetryAfter is when a caller is told to come back while no owner answers.
const noOwnerRetryAfter = 2 * time.Second

// Service is a port.Claims, and the owner of claim shards. It is safe for concurrent use.
type Service struct {
	store     port.Store
	members   port.Members
	peers     port.Peers
	telemetry port.Telemetry
	metrics   metrics
	workers   [coreclaim.ShardCount]*worker
	// finishing counts the ends that are being recorded.
	finishing sync.WaitGroup
}

// New makes the service. WritesPerSecond is the whole fleet's share of the writes of the
// key-value service for claims; zero means coreclaim.DefaultWritesPerSecond.
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

// routerIDs returns the routers that take work.
func (s *Service) routerIDs() []string {
	var ids []string
	for _, host := range s.members.Routers() {
		ids = append(ids, string(host.ID))
	}
	return ids
}

// owners returns the routers to ask about a shard, best first.
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
	// The limit for sending counts from before the first owner is asked.
	asked := time.Now()
	claim.Host = s.members.Self().ID
	result, owner := s.begin(ctx, claim)
	result.SendBy = fleet.DeadlineAt(asked.Add(coreclaim.SendLimit))
	if mayBeDurable(result) {
		s.releaseLater(claim)
	}
	s.explain(claim, result, owner, time.Since(asked))
	return result
}

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

// call asks one owner and notes whether it can be reached.
func (s *Service) call(ctx context.Context, owner fleet.HostID, method string, request, response any) error {
	limited, cancel := context.WithTimeout(ctx, askTimeout)
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

// mayBeDurable tells whether a refused claim may be in the store, or get there late.
func mayBeDurable(result fleet.ClaimResult) bool {
	if result.State != fleet.ClaimRefused {
		return false
	}
	code := result.Refusal.Code
	return code == fleet.CodeStoreDown || code == fleet.CodeOverloaded
}

// releaseLater lets resends take over a claim that is never sent, without holding up the
// refusal.
func (s *Service) releaseLater(claim fleet.Claim) {
	s.finishing.Go(func() {
		if err := s.Finish(context.Background(), claim, fleet.ClaimAnswer{Unsent: true}); err != nil {
			s.telemetry.Log.Warn("claim not released, resends will be told that its outcome is unknown",
				"request", claim.Holder, "err", err)
		}
	})
}

// Finish implements port.Claims. It tries until the end is durable, ctx ends, or 30 s.
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
		case <-time.After(finishRetry):
		case <-ctx.Done():
			return errors.Annotate(ctx.Err(), "recording the end of a claim")
		}
	}
}

// Wait blocks until no end is being recorded, or ctx ends. A router that stops waits, so
// that no call of its own ends as unknown.
func (s *Service) Wait(ctx context.Context) {
	done := make(chan struct{})
	go func() { s.finishing.Wait(); close(done) }()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// explain logs and counts the decision about a claim.
func (s *Service) explain(claim fleet.Claim, result fleet.ClaimResult, owner fleet.HostID, took time.Duration) {
	name, reason := string(result.State), ""
	if result.Refusal != nil {
		name, reason = string(result.Refusal.Code), result.Refusal.Message
	}
	s.metrics.decided(name, took)
	s.telemetry.Log.Info("claim decided", "request", claim.Holder, "team", claim.Team, "pool", claim.Pool,
		"key", claim.Key, "result", name, "reason", reason, "owner", owner, "took", took)
}
