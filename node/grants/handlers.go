package grants

import (
	"context"
	"time"

	"agateswitch/core/admission"
	"agateswitch/core/fleet"
	"agateswitch/core/placement"
	"agateswitch/port"
)

func (s *Service) handleAcquire(ctx context.Context, from fleet.HostID, decode port.Decode) (any, error) {
	var message acquireMessage
	if err := decode(&message); err != nil {
		return nil, err
	}
	now := time.Now()
	s.holders.hear(from)
	s.end(now, endMessage{Ended: message.Ended}, from)
	request := s.placementRequest(now, from, message)
	var decision placement.Decision
	resolved := make(chan placement.Decision, 1)
	known := s.shards.step(now, fleet.PoolID(message.Pool), fleet.UpstreamID(message.Home), func(shard *ownedShard) {
		decision = shard.owner.Acquire(now, request)
		if decision.Waiting {
			shard.waiter[request.Ticket] = resolved
		}
	})
	if !known {
		return refuseReply(fleet.Refuse(fleet.CodeNotFound, "the pool is not in the configuration in force", time.Second)), nil
	}
	if decision.Waiting {
		decision = s.awaitTurn(ctx, message, request, resolved)
	}
	return encodeDecision(decision, message.Home), nil
}

// awaitTurn waits for a decision, but no longer than a caller waits for an answer.
func (s *Service) awaitTurn(ctx context.Context, message acquireMessage, request placement.Request, resolved chan placement.Decision) placement.Decision {
	timer := time.NewTimer(longPoll)
	defer timer.Stop()
	select {
	case decision := <-resolved:
		return decision
	case <-timer.C:
	case <-ctx.Done():
	}
	still := placement.Decision{Ticket: request.Ticket, Waiting: true}
	s.shards.step(time.Now(), fleet.PoolID(message.Pool), fleet.UpstreamID(message.Home), func(shard *ownedShard) {
		// A later question of the same request may have put its own channel here.
		if shard.waiter[request.Ticket] == resolved {
			delete(shard.waiter, request.Ticket)
		}
	})
	select {
	case decision := <-resolved:
		return decision
	default:
		return still
	}
}

func (s *Service) placementRequest(now time.Time, from fleet.HostID, message acquireMessage) placement.Request {
	request := placement.Request{
		Ticket: admission.Ticket{From: from, Nonce: message.Nonce}, Chat: message.Chat,
		Team: fleet.Team(message.Team), Version: fleet.Version(message.Version),
		Prefill: fleet.Work(max(0, message.Prefill)), Decode: fleet.Work(max(0, message.Decode)),
	}
	for _, id := range message.Exclude {
		request.Exclude = append(request.Exclude, fleet.UpstreamID(id))
	}
	if message.Left != 0 {
		request.Deadline = now.Add(milliseconds(message.Left))
	}
	// Priority and share follow from the contract and from nothing else.
	if contract, found := s.config.Current().Contract(request.Team); found {
		request.Priority, request.Share = contract.Priority, contract.Share
	}
	return request
}

func (s *Service) handleEnd(_ context.Context, from fleet.HostID, decode port.Decode) (any, error) {
	var message endMessage
	if err := decode(&message); err != nil {
		return nil, err
	}
	s.holders.hear(from)
	s.end(time.Now(), message, from)
	return empty{}, nil
}

// end gives completions to every owned shard: only the one that gave a grant knows it, and a
// router owns few shards.
func (s *Service) end(now time.Time, message endMessage, from fleet.HostID) {
	if len(message.Ended)+len(message.Abandoned) == 0 {
		return
	}
	s.shards.each(func(shard *ownedShard) {
		for _, ended := range message.Ended {
			shard.owner.Complete(now, ended.decode(s.members.Self().ID))
		}
		for _, nonce := range message.Abandoned {
			shard.owner.Abandon(now, admission.Ticket{From: from, Nonce: nonce})
		}
	})
}

func (s *Service) handleAnnounce(_ context.Context, from fleet.HostID, decode port.Decode) (any, error) {
	var message announceMessage
	if err := decode(&message); err != nil {
		return nil, err
	}
	s.holders.hear(from)
	announcements := make([]placement.Announcement, 0, len(message.Held))
	for _, held := range message.Held {
		announcements = append(announcements, placement.Announcement{
			Grant: fleet.GrantID(held.Grant), Upstream: fleet.UpstreamID(held.Upstream), Work: fleet.Work(max(0, held.Work)),
			Holder: from,
		})
	}
	now := time.Now()
	s.shards.step(now, fleet.PoolID(message.Pool), fleet.UpstreamID(message.Home), func(shard *ownedShard) {
		shard.owner.Announce(now, announcements)
	})
	return empty{}, nil
}

func (s *Service) handleExplain(_ context.Context, from fleet.HostID, decode port.Decode) (any, error) {
	var message acquireMessage
	if err := decode(&message); err != nil {
		return nil, err
	}
	now := time.Now()
	var reply explainReply
	s.shards.step(now, fleet.PoolID(message.Pool), fleet.UpstreamID(message.Home), func(shard *ownedShard) {
		reply.Lines = shard.owner.Explain(now, s.placementRequest(now, from, message))
	})
	return reply, nil
}
