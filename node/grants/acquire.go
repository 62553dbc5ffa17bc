package grants

import (
	"context"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/core/placement"
)

// Acquire implements port.Placer. It blocks while the request is queued, until ctx ends.
func (s *Service) Acquire(ctx context.Context, request fleet.Request) (fleet.Grant, *fleet.Refusal) {
	refusal := s.admit(ctx, request)
	if refusal != nil {
		s.logRefused(request, refusal)
		return fleet.Grant{}, refusal
	}
	grant, refusal := s.place(ctx, request)
	if refusal != nil {
		s.teams.release(request.Team)
		s.logRefused(request, refusal)
		return fleet.Grant{}, refusal
	}
	s.logPlaced(request, grant)
	return grant, nil
}

// acquisition is the state of one request's acquisition of a grant.
type acquisition struct {
	request fleet.Request
	version fleet.Version
	nonce   uint64
	owner   fleet.HostID
	home    fleet.Upstream
	table   *poolRoutes
}

// place obtains a grant from the owner of the request's shard. While the request waits, it polls
// the owner with the same nonce. It follows changes of the owner.
func (s *Service) place(ctx context.Context, request fleet.Request) (fleet.Grant, *fleet.Refusal) {
	acq := acquisition{request: request, version: s.versions.Choose(request.Pool, request.Chat), nonce: s.nonce.Add(1)}
	for failures := 0; failures < maxAttempts; {
		if !s.route(&acq) {
			return fleet.Grant{}, fleet.Refuse(fleet.CodeNoUpstream, "no upstream of the pool takes new work", time.Second)
		}
		reply, err := s.requestGrant(ctx, acq)
		if ctx.Err() != nil {
			s.outbox.addAbandoned(acq.owner, acq.nonce)
			return fleet.Grant{}, fleet.Refuse(fleet.CodeDeadline, "the caller went away or its time ran out", 0)
		}
		if err != nil {
			failures++
			s.outbox.addAbandoned(acq.owner, acq.nonce)
			s.telemetry.Log.Warn("shard owner unreachable", "owner", acq.owner, "pool", request.Pool, "err", err)
			continue
		}
		if reply.Waiting {
			continue
		}
		if reply.Refusal != nil {
			return fleet.Grant{}, reply.Refusal.decode()
		}
		if grant, listed := s.recordGrant(acq, reply); listed {
			return grant, nil
		}
		// The owner granted an upstream that this router's list does not contain yet.
		failures++
		s.outbox.addAbandoned(acq.owner, acq.nonce)
		if reply.Upstream == "" {
			reply.Upstream = string(acq.home.ID)
		}
		acq.request.Exclude = append(acq.request.Exclude[:len(acq.request.Exclude):len(acq.request.Exclude)], fleet.UpstreamID(reply.Upstream))
		acq.nonce = s.nonce.Add(1)
	}
	return fleet.Grant{}, fleet.Refuse(fleet.CodeNoUpstream, "the shard's owner cannot be reached", time.Second)
}

// route sets the request's home upstream and shard owner. If the owner changes while the request
// waits, the request is abandoned at the previous owner.
func (s *Service) route(acq *acquisition) bool {
	acq.table = s.routes.pool(time.Now(), acq.request.Pool)
	home, found := acq.table.home(placement.ChatHash(acq.request.Chat), acq.version, acq.request.Exclude)
	if !found {
		home, found = s.fallbackHome(acq)
	}
	if !found {
		return false
	}
	owner := acq.table.owner(home.ID)
	if acq.owner != "" && acq.owner != owner {
		s.outbox.addAbandoned(acq.owner, acq.nonce)
	}
	acq.home, acq.owner = home, owner
	return true
}

// requestGrant sends the request to the shard's owner, with the pending completions for the owner.
func (s *Service) requestGrant(ctx context.Context, acq acquisition) (acquireReply, error) {
	message := s.acquireMessage(time.Now(), acq.request, acq.version, acq.home, acq.nonce)
	completions := s.outbox.removeCompletions(acq.owner)
	message.Completions = withAges(time.Now(), completions)
	var reply acquireReply
	err := s.call(ctx, acq.owner, methodAcquire, message, &reply)
	if err != nil {
		s.outbox.requeueCompletions(acq.owner, completions)
	}
	return reply, err
}

// acquireMessage encodes a request for a shard's owner. A deadline within one millisecond of now
// becomes a TimeLeft of -1, because 0 means no deadline.
func (s *Service) acquireMessage(now time.Time, request fleet.Request, version fleet.Version, home fleet.Upstream, nonce uint64) acquireMessage {
	message := acquireMessage{
		Pool: string(request.Pool), Home: string(home.ID), Nonce: nonce, Chat: placement.ChatHash(request.Chat),
		Team: string(request.Team), Version: string(version), Prefill: int64(request.Prefill), Decode: int64(request.Decode),
	}
	for _, id := range request.Exclude {
		message.Exclude = append(message.Exclude, string(id))
	}
	if !request.Deadline.IsZero() {
		message.TimeLeft = request.Deadline.Sub(now).Milliseconds()
		if message.TimeLeft == 0 {
			message.TimeLeft = -1
		}
	}
	return message
}

// recordGrant records a grant as held by this router. It returns false if this router's list does
// not contain the granted upstream.
func (s *Service) recordGrant(acq acquisition, reply acquireReply) (fleet.Grant, bool) {
	if reply.Upstream == "" {
		reply.Upstream = string(acq.home.ID)
	}
	upstream, found := acq.table.listed[fleet.UpstreamID(reply.Upstream)]
	if !found {
		return fleet.Grant{}, false
	}
	now := time.Now()
	grant := fleet.Grant{
		ID: fullGrantID(reply.Grant, acq.owner), Owner: acq.owner, Upstream: upstream, Work: fleet.Work(reply.Work),
		Expires: now.Add(grantTTL), Reason: decodeReason(reply.Reason), Load: fleet.Work(reply.Load),
		Bound: fleet.Work(reply.Bound), Warm: reply.Warm,
	}
	s.held.add(now, grant, acq.request.Team, shardKey{pool: upstream.Pool, shard: acq.table.shards.Shard(upstream.ID)}, epochOf(reply.Grant))
	return grant, true
}

// Release implements port.Placer.
func (s *Service) Release(grant fleet.Grant, completion fleet.Completion) {
	held, found := s.held.remove(grant.ID)
	if !found {
		return
	}
	s.teams.release(held.team)
	now := time.Now()
	s.outbox.addCompletion(held.currentOwner, encodeCompletion(now, held.currentOwner, completion))
	if held.currentOwner != grant.Owner {
		// Both owners may count the grant: the one that issued it may still run, and its
		// successor has adopted it.
		s.outbox.addCompletion(grant.Owner, encodeCompletion(now, grant.Owner, completion))
	}
	if completion.Outcome == fleet.OutcomeFailed || completion.Outcome == fleet.OutcomeUnsent {
		// A failure can be a symptom of a restart, so the owner must learn of it at once.
		s.flush(context.Background())
	}
}

func (s *Service) logRefused(request fleet.Request, refusal *fleet.Refusal) {
	s.metrics.countRefused(request, refusal)
	s.telemetry.Log.Info("request refused at admission or placement", "request", request.ID, "team", request.Team, "chat", request.Chat,
		"pool", request.Pool, "code", refusal.Code, "reason", refusal.Message, "retry_after", refusal.RetryAfter)
}

func (s *Service) logPlaced(request fleet.Request, grant fleet.Grant) {
	s.metrics.countPlaced(request, grant)
	s.telemetry.Log.Info("request placed on an upstream", "request", request.ID, "team", request.Team, "chat", request.Chat,
		"pool", request.Pool, "upstream", grant.Upstream.ID, "reason", grant.Reason, "warm", grant.Warm,
		"load", grant.Load, "bound", grant.Bound, "owner", grant.Owner)
}
