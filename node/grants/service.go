// Package grants places requests: it asks the owner of a request's shard for a grant,
// and is that owner for the shards that fall to this router.
package grants

import (
	"context"
	"sync"
	"time"

	"agateswitch/core/configuration"
	"agateswitch/core/fleet"
	"agateswitch/core/placement"
	"agateswitch/core/rendezvous"
	"agateswitch/port"
)

// Methods of the peer protocol.
const (
	methodAcquire  = "grants.acquire"
	methodComplete = "grants.complete"
	methodExplain  = "grants.explain"
)

// Times of the grant protocol.
const (
	callTimeout = 500 * time.Millisecond
	grantLife   = 5 * time.Minute
	// maxAttempts is how many owners are asked before a request is refused.
	maxAttempts = 3
)

// Service is a port.Placer. It is safe for concurrent use.
type Service struct {
	members   port.Members
	config    port.Configuration
	versions  port.Versions
	peers     port.Peers
	telemetry port.Telemetry
	epoch     int64

	mu     sync.Mutex
	owners map[fleet.PoolID]*placement.Owner
}

// New makes the service and registers its methods with the peers. Epoch distinguishes
// lives of the same host.
func New(members port.Members, config port.Configuration, versions port.Versions, peers port.Peers,
	epoch int64, telemetry port.Telemetry) *Service {
	s := &Service{
		members: members, config: config, versions: versions, peers: peers, telemetry: telemetry, epoch: epoch,
		owners: map[fleet.PoolID]*placement.Owner{},
	}
	peers.Handle(methodAcquire, s.handleAcquire)
	peers.Handle(methodComplete, s.handleComplete)
	peers.Handle(methodExplain, s.handleExplain)
	return s
}

// Run keeps the state of owned shards up to date until ctx ends.
func (s *Service) Run(ctx context.Context) {
	<-ctx.Done()
}

type acquireRequest struct {
	Request fleet.Request
	Version fleet.Version
}

type acquireResponse struct {
	Grant   fleet.Grant
	Refusal *fleet.Refusal
}

type completeResponse struct{}

type explainResponse struct{ Lines []string }

// Acquire implements port.Placer.
func (s *Service) Acquire(ctx context.Context, request fleet.Request) (fleet.Grant, *fleet.Refusal) {
	version := s.versions.Choose(request.Pool, request.Chat)
	for range maxAttempts {
		owner := s.owner(request.Pool)
		var response acquireResponse
		err := s.call(ctx, owner, methodAcquire, acquireRequest{Request: request, Version: version}, &response)
		if err == nil {
			s.logDecision(request, response)
			return response.Grant, response.Refusal
		}
		s.telemetry.Log.Warn("shard owner unreachable", "owner", owner, "pool", request.Pool, "err", err)
		if ctx.Err() != nil {
			break
		}
	}
	return fleet.Grant{}, fleet.Refuse(fleet.CodeNoUpstream, "the shard's owner cannot be reached", time.Second)
}

func (s *Service) logDecision(request fleet.Request, response acquireResponse) {
	if response.Refusal != nil {
		s.telemetry.Log.Info("refused", "request", request.ID, "team", request.Team, "chat", request.Chat,
			"pool", request.Pool, "reason", response.Refusal.Code, "retry_after", response.Refusal.RetryAfter)
		return
	}
	grant := response.Grant
	s.telemetry.Log.Info("placed", "request", request.ID, "team", request.Team, "chat", request.Chat,
		"pool", request.Pool, "upstream", grant.Upstream.ID, "reason", grant.Reason,
		"load", grant.Load, "bound", grant.Bound, "owner", grant.Owner)
}

func (s *Service) owner(pool fleet.PoolID) fleet.HostID {
	routers := s.members.Routers()
	names := make([]string, 0, len(routers))
	for _, router := range routers {
		names = append(names, string(router.ID))
	}
	first, found := rendezvous.First("shard/"+string(pool), names)
	if !found {
		return s.members.Self().ID
	}
	return fleet.HostID(first)
}

func (s *Service) call(ctx context.Context, owner fleet.HostID, method string, request, response any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := s.peers.Call(ctx, owner, method, request, response)
	if err != nil {
		s.members.Suspect(owner)
		return err
	}
	s.members.Confirm(owner)
	return nil
}

// Release implements port.Placer.
func (s *Service) Release(grant fleet.Grant, completion fleet.Completion) {
	go func() {
		var response completeResponse
		err := s.call(context.Background(), grant.Owner, methodComplete,
			completeRequest{Pool: grant.Upstream.Pool, Completion: completion}, &response)
		if err != nil {
			s.telemetry.Log.Warn("completion not delivered, the grant will expire", "grant", grant.ID, "err", err)
		}
	}()
}

type completeRequest struct {
	Pool       fleet.PoolID
	Completion fleet.Completion
}

// Explain implements port.Placer.
func (s *Service) Explain(ctx context.Context, request fleet.Request) ([]string, error) {
	version := s.versions.Choose(request.Pool, request.Chat)
	var response explainResponse
	err := s.call(ctx, s.owner(request.Pool), methodExplain, acquireRequest{Request: request, Version: version}, &response)
	return response.Lines, err
}

// withOwner runs a step on the owner state of a pool, brought up to date first.
func (s *Service) withOwner(pool fleet.PoolID, step func(*placement.Owner)) bool {
	settings, found := s.config.Current().Pool(pool)
	if !found {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	owner, found := s.owners[pool]
	if !found {
		owner = placement.NewOwner(s.members.Self().ID, s.epoch, ownerSettings(settings))
		s.owners[pool] = owner
	}
	owner.SetUpstreams(s.members.Usable(pool))
	step(owner)
	return true
}

func ownerSettings(pool configuration.Pool) placement.Settings {
	return placement.Settings{
		BoundFactor: pool.BoundFactor, ColdConcurrency: pool.ColdConcurrency,
		MaxConcurrency: pool.MaxConcurrency, GrantLife: grantLife,
	}
}
