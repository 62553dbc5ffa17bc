package grants

import (
	"context"
	"time"

	"agateswitch/core/admission"
	"agateswitch/core/fleet"
	"agateswitch/core/placement"
	"agateswitch/port"
)

// handleAcquire decides on a request as the owner of its shard.
func (s *Service) handleAcquire(ctx context.Context, from fleet.HostID, decode port.Decode) (any, error) {
	var message acquireMessage
	if err := decode(&message); err != nil {
		return nil, err
	}
	now := time.Now()
	s.holders.recordMessage(from)
	s.applyEnds(now, endMessage{Completions: message.Completions}, from)
	request := s.placementRequest(now, from, message)
	var decision placement.Decision
	resolved := make(chan placement.Decision, 1)
	poolFound := s.shards.withShard(now, fleet.PoolID(message.Pool), fleet.UpstreamID(message.Home), func(shard *ownedShard) {
		decision = shard.owner.Acquire(now, request)
		if decision.Waiting {
			shard.waiters[request.Ticket] = resolved
		}
	})
	if !poolFound {
		return refusalReply(fleet.Refuse(fleet.CodeNotFound, "the pool is not in the configuration in force", time.Second)), nil
	}
	if decision.Waiting {
		decision = s.awaitDecision(ctx, message, request, resolved)
	}
	return encodeDecision(decision, message.Home), nil
}

// awaitDecision waits for the decision on a queued request, for at most longPollTimeout.
func (s *Service) awaitDecision(ctx context.Context, message acquireMessage, request placement.Request, resolved chan placement.Decision) placement.Decision {
	timer := time.NewTimer(longPollTimeout)
	defer timer.Stop()
	select {
	case decision := <-resolved:
		return decision
	case <-timer.C:
	case <-ctx.Done():
	}
	waiting := placement.Decision{Ticket: request.Ticket, Waiting: true}
	s.shards.withShard(time.Now(), fleet.PoolID(message.Pool), fleet.UpstreamID(message.Home), func(shard *ownedShard) {
		// A later poll for the same request may have registered its own channel.
		if shard.waiters[request.Ticket] == resolved {
			delete(shard.waiters, request.Ticket)
		}
	})
	select {
	case decision := <-resolved:
		return decision
	default:
		return waiting
	}
}

// placementRequest converts a router's message to a request of core/placement.
func (s *Service) placementRequest(now time.Time, from fleet.HostID, message acquireMessage) placement.Request {
	request := placement.Request{
		Ticket: admission.Ticket{From: from, Nonce: message.Nonce}, Chat: message.Chat,
		Team: fleet.Team(message.Team), Version: fleet.Version(message.Version),
		Prefill: fleet.Work(max(0, message.Prefill)), Decode: fleet.Work(max(0, message.Decode)),
	}
	for _, id := range message.Exclude {
		request.Exclude = append(request.Exclude, fleet.UpstreamID(id))
	}
	if message.TimeLeft != 0 {
		request.Deadline = now.Add(milliseconds(message.TimeLeft))
	}
	// Priority and share come only from the contract, never from the message.
	if contract, found := s.config.Current().Contract(request.Team); found {
		request.Priority, request.Share = contract.Priority, contract.Share
	}
	return request
}

// handleEnd handles the ends of grants and the abandoned requests of a router.
func (s *Service) handleEnd(_ context.Context, from fleet.HostID, decode port.Decode) (any, error) {
	var message endMessage
	if err := decode(&message); err != nil {
		return nil, err
	}
	s.holders.recordMessage(from)
	s.applyEnds(time.Now(), message, from)
	return emptyReply{}, nil
}

// applyEnds applies completions and abandoned requests to every owned shard. Shards ignore grants
// that they do not count, and a router owns few shards.
func (s *Service) applyEnds(now time.Time, message endMessage, from fleet.HostID) {
	if len(message.Completions)+len(message.Abandoned) == 0 {
		return
	}
	s.shards.each(func(shard *ownedShard) {
		for _, completion := range message.Completions {
			shard.owner.Complete(now, completion.decode(s.members.Self().ID))
		}
		for _, nonce := range message.Abandoned {
			shard.owner.Abandon(now, admission.Ticket{From: from, Nonce: nonce})
		}
	})
}

// handleAnnounce renews or adopts the grants that a router holds in an owned shard.
func (s *Service) handleAnnounce(_ context.Context, from fleet.HostID, decode port.Decode) (any, error) {
	var message announceMessage
	if err := decode(&message); err != nil {
		return nil, err
	}
	s.holders.recordMessage(from)
	announcements := make([]placement.Announcement, 0, len(message.Held))
	for _, held := range message.Held {
		announcements = append(announcements, placement.Announcement{
			Grant: fleet.GrantID(held.Grant), Upstream: fleet.UpstreamID(held.Upstream), Work: fleet.Work(max(0, held.Work)),
			Holder: from,
		})
	}
	now := time.Now()
	s.shards.withShard(now, fleet.PoolID(message.Pool), fleet.UpstreamID(message.Home), func(shard *ownedShard) {
		shard.owner.Announce(now, announcements)
	})
	return emptyReply{}, nil
}

// handleExplain explains where a request would run, without placing it.
func (s *Service) handleExplain(_ context.Context, from fleet.HostID, decode port.Decode) (any, error) {
	var message acquireMessage
	if err := decode(&message); err != nil {
		return nil, err
	}
	now := time.Now()
	var reply explainReply
	s.shards.withShard(now, fleet.PoolID(message.Pool), fleet.UpstreamID(message.Home), func(shard *ownedShard) {
		reply.Lines = shard.owner.Explain(now, s.placementRequest(now, from, message))
	})
	return reply, nil
}
