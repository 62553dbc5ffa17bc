package grants

import (
	"context"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/core/placement"
)

// Acquire implements port.Placer. It blocks while the request waits for its turn; ctx ends
// the wait.
func (s *Service) Acquire(ctx context.Context, request fleet.Request) (fleet.Grant, *fleet.Refusal) {
	refusal := s.admit(ctx, request)
	if refusal != nil {
		s.logRefused(request, refusal)
		return fleet.Grant{}, refusal
	}
	grant, refusal := s.place(ctx, request)
	if refusal != nil {
		s.teams.leave(request.Team)
		s.logRefused(request, refusal)
		return fleet.Grant{}, refusal
	}
	s.logPlaced(request, grant)
	return grant, nil
}

// question is one request on its way to a grant.
type question struct {
	request fleet.Request
	version fleet.Version
	nonce   uint64
	owner   fleet.HostID
	home    fleet.Upstream
	table   *poolRoutes
}

func (s *Service) place(ctx context.Context, request fleet.Request) (fleet.Grant, *fleet.Refusal) {
	q := question{request: request, version: s.versions.Choose(request.Pool, request.Chat), nonce: s.nonce.Add(1)}
	for failures := 0; failures < maxAttempts; {
		if !s.route(&q) {
			return fleet.Grant{}, fleet.Refuse(fleet.CodeNoUpstream, "no upstream of the pool takes new work", time.Second)
		}
		reply, err := s.ask(ctx, q)
		if ctx.Err() != nil {
			s.outbox.abandon(q.owner, q.nonce)
			return fleet.Grant{}, fleet.Refuse(fleet.CodeDeadline, "the caller went away or its time ran out", 0)
		}
		if err != nil {
			failures++
			s.outbox.abandon(q.owner, q.nonce)
			s.telemetry.Log.Warn("shard owner unreachable", "owner", q.owner, "pool", request.Pool, "err", err)
			continue
		}
		if reply.Waiting {
			continue
		}
		if reply.Refusal != nil {
			return fleet.Grant{}, reply.Refusal.decode()
		}
		if grant, known := s.hold(q, reply); known {
			return grant, nil
		}
		// The owner's list of upstreams is ahead of this router's.
		failures++
		s.outbox.abandon(q.owner, q.nonce)
		if reply.Upstream == "" {
			reply.Upstream = string(q.home.ID)
		}
		q.request.Exclude = append(q.request.Exclude[:len(q.request.Exclude):len(q.request.Exclude)], fleet.UpstreamID(reply.Upstream))
		q.nonce = s.nonce.Add(1)
	}
	return fleet.Grant{}, fleet.Refuse(fleet.CodeNoUpstream, "the shard's owner cannot be reached", time.Second)
}

// route finds the owner to ask. A change of owner while the request waits ends the wait there.
func (s *Service) route(q *question) bool {
	q.table = s.routes.pool(time.Now(), q.request.Pool)
	home, found := q.table.home(placement.ChatHash(q.request.Chat), q.version, q.request.Exclude)
	if !found {
		home, found = s.fallBack(q)
	}
	if !found {
		return false
	}
	owner := q.table.owner(home.ID)
	if q.owner != "" && q.owner != owner {
		s.outbox.abandon(q.owner, q.nonce)
	}
	q.home, q.owner = home, owner
	return true
}

func (s *Service) ask(ctx context.Context, q question) (acquireReply, error) {
	message := s.acquireMessage(time.Now(), q.request, q.version, q.home, q.nonce)
	ended := s.outbox.takeEnded(q.owner)
	message.Ended = aged(time.Now(), ended)
	var reply acquireReply
	err := s.call(ctx, q.owner, methodAcquire, message, &reply)
	if err != nil {
		s.outbox.putBack(q.owner, ended)
	}
	return reply, err
}

func (s *Service) acquireMessage(now time.Time, request fleet.Request, version fleet.Version, home fleet.Upstream, nonce uint64) acquireMessage {
	message := acquireMessage{
		Pool: string(request.Pool), Home: string(home.ID), Nonce: nonce, Chat: placement.ChatHash(request.Chat),
		Team: string(request.Team), Version: string(version), Prefill: int64(request.Prefill), Decode: int64(request.Decode),
	}
	for _, id := range request.Exclude {
		message.Exclude = append(message.Exclude, string(id))
	}
	if !request.Deadline.IsZero() {
		message.Left = request.Deadline.Sub(now).Milliseconds()
		if message.Left == 0 {
			message.Left = -1
		}
	}
	return message
}

// hold notes a grant as held by this router. It returns false when the upstream is not on
// this router's list.
func (s *Service) hold(q question, reply acquireReply) (fleet.Grant, bool) {
	if reply.Upstream == "" {
		reply.Upstream = string(q.home.ID)
	}
	upstream, found := q.table.listed[fleet.UpstreamID(reply.Upstream)]
	if !found {
		return fleet.Grant{}, false
	}
	now := time.Now()
	grant := fleet.Grant{
		ID: fullGrant(reply.Grant, q.owner), Owner: q.owner, Upstream: upstream, Work: fleet.Work(reply.Work),
		Expires: now.Add(grantLife), Reason: decodeReason(reply.Reason), Load: fleet.Work(reply.Load),
		Bound: fleet.Work(reply.Bound), Warm: reply.Warm,
	}
	s.held.add(now, grant, q.request.Team, shardKey{pool: upstream.Pool, shard: q.table.shards.Shard(upstream.ID)}, epochOf(reply.Grant))
	return grant, true
}

// Release implements port.Placer.
func (s *Service) Release(grant fleet.Grant, completion fleet.Completion) {
	held, found := s.held.remove(grant.ID)
	if !found {
		return
	}
	s.teams.leave(held.team)
	now := time.Now()
	s.outbox.end(held.told, encodeEnd(now, held.told, completion))
	if held.told != grant.Owner {
		// Both may count the grant: the owner that gave it may be alive, and its successor adopted it.
		s.outbox.end(grant.Owner, encodeEnd(now, grant.Owner, completion))
	}
	if completion.Outcome == fleet.OutcomeFailed || completion.Outcome == fleet.OutcomeUnsent {
		// A failure is a sign of a restart, which the owner must hear at once.
		s.flush(context.Background())
	}
}

func (s *Service) logRefused(request fleet.Request, refusal *fleet.Refusal) {
	s.metrics.refused(request, refusal)
	s.telemetry.Log.Info("refused", "request", request.ID, "team", request.Team, "chat", request.Chat,
		"pool", request.Pool, "code", refusal.Code, "reason", refusal.Message, "retry_after", refusal.RetryAfter)
}

func (s *Service) logPlaced(request fleet.Request, grant fleet.Grant) {
	s.metrics.placed(request, grant)
	s.telemetry.Log.Info("placed", "request", request.ID, "team", request.Team, "chat", request.Chat,
		"pool", request.Pool, "upstream", grant.Upstream.ID, "reason", grant.Reason, "warm", grant.Warm,
		"load", grant.Load, "bound", grant.Bound, "owner", grant.Owner)
}
