package room

import (
	"context"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/core/room"
	"agateswitch/port"
)

// queue returns a pool's queue: the one that this router keeps for all, or its own if id is empty. The caller holds mu.
func (s *Queues) queue(id fleet.HostID, pool fleet.PoolID) *room.Queue {
	queues := s.kept
	if id == "" {
		queues = s.alone
	}
	q, found := queues[pool]
	if !found {
		q = &room.Queue{}
		queues[pool] = q
	}
	return q
}

// decide decides on a request in one of this router's queues.
func (s *Queues) decide(id fleet.HostID, pool fleet.PoolID, request room.Request) room.Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.queue(id, pool)
	if id == "" {
		q.Limit = aloneLimit(request.Candidates, s.fleet.Count())
	}
	decision, grants := q.Take(time.Now(), request)
	s.send(id, pool, grants)
	return decision
}

// aloneLimit is a router's equal part of the places, and one at least.
func aloneLimit(candidates []room.Slots, routers int) int {
	places := 0
	for _, c := range candidates {
		places += c.Places()
	}
	return max(1, places/max(1, routers))
}

// takeOut takes a request out of one of this router's queues.
func (s *Queues) takeOut(id, router fleet.HostID, message leaveRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	q, ticket, now := s.queue(id, message.Pool), room.Ticket{Router: router, Number: message.Number}, time.Now()
	if message.Used {
		s.send(id, message.Pool, q.Return(now, ticket, message.TurnedAway))
		return
	}
	s.send(id, message.Pool, q.Leave(now, ticket))
}

// send tells routers of their grants. The caller holds mu.
func (s *Queues) send(id fleet.HostID, pool fleet.PoolID, grants []room.Grant) {
	for _, grant := range grants {
		if grant.Ticket.Router != s.self {
			go s.sendTo(pool, grant)
		} else if !s.accept(id, grantRequest{Number: grant.Ticket.Number, Upstream: Upstream(grant.Upstream)}) {
			go s.takeOut(id, s.self, leaveRequest{Pool: pool, Number: grant.Ticket.Number})
		}
	}
}

// sendTo tells another router of a grant. If it does not answer, it may have taken up the place, which is kept until it can't do so any
// more.
func (s *Queues) sendTo(pool fleet.PoolID, grant room.Grant) {
	ctx, cancel := context.WithTimeout(context.Background(), enterTimeout)
	defer cancel()
	var response grantResponse
	message := grantRequest{Number: grant.Ticket.Number, Upstream: Upstream(grant.Upstream)}
	err := s.transport.Call(ctx, grant.Ticket.Router, methodGrant, message, &response)
	if err == nil && response.Accepted {
		return
	}
	if err != nil {
		s.log.Debug("router gave no answer to a place; keeping it until it has run out", "peer", grant.Ticket.Router, "pool", pool, "err", err)
		time.Sleep(time.Until(grant.Until))
	}
	s.takeOut(s.self, grant.Ticket.Router, leaveRequest{Pool: pool, Number: grant.Ticket.Number})
}

// accept hands a grant to the request that waits for it, and reports whether there is one. The caller holds mu.
func (s *Queues) accept(from fleet.HostID, message grantRequest) bool {
	w, found := s.waits[message.Number]
	if !found || w.keeper != from || !time.Now().Before(w.until) {
		return false
	}
	delete(s.waits, message.Number)
	w.granted <- room.Upstream(message.Upstream)
	return true
}

func (s *Queues) handleEnter(_ context.Context, from fleet.HostID, decode port.Decode) (any, error) {
	var message enterRequest
	if err := decode(&message); err != nil {
		return nil, err
	}
	if s.fleet.Leaving() {
		return enterResponse{Leaving: true}, nil
	}
	request := room.Request{
		Ticket: room.Ticket{Router: from, Number: message.Number}, Rank: message.Rank, Team: message.Team,
		Aim: time.Duration(message.AimMs) * time.Millisecond, Left: time.Duration(message.LeftMs) * time.Millisecond,
	}
	for _, c := range message.Candidates {
		request.Candidates = append(request.Candidates, room.Slots{Upstream: room.Upstream(c.Upstream), Slots: c.Slots})
	}
	decision := s.decide(s.self, message.Pool, request)
	return enterResponse{
		Outcome: decision.Outcome, Upstream: Upstream(decision.Upstream), ExpectedUs: decision.Expected.Microseconds(),
		PatienceUs: decision.Patience.Microseconds(), RetryAfterUs: decision.RetryAfter.Microseconds(),
	}, nil
}

func (s *Queues) handleGrant(_ context.Context, from fleet.HostID, decode port.Decode) (any, error) {
	var message grantRequest
	if err := decode(&message); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return grantResponse{Accepted: s.accept(from, message)}, nil
}

func (s *Queues) handleLeave(_ context.Context, from fleet.HostID, decode port.Decode) (any, error) {
	var message leaveRequest
	if err := decode(&message); err != nil {
		return nil, err
	}
	s.takeOut(s.self, from, message)
	return struct{}{}, nil
}
