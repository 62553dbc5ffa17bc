// Package room divides the room of upstreams among all routers. The places of each upstream (core/room) are kept by one
// router, the first in the upstream's rendezvous order; the others ask it for one before each request to a brittle upstream, or to
// one that may be full by now. A router that gets no answer asks the next one in that order, and as a last resort
// uses its equal part of half of the places of a brittle upstream.
package room

import (
	"context"
	"sync"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/core/pace"
	"agateswitch/core/room"
	"agateswitch/node/keeper"
	"agateswitch/port"

	"github.com/charmbracelet/log"
)

const (
	// takeTimeout bounds the wait for another router's answer.
	takeTimeout = 150 * time.Millisecond
	// fullTime is how long a router that got no place does not ask again.
	fullTime = 2 * time.Millisecond
	// fallbackShare is the part of the places that all routers use which reach no keeper.
	fallbackShare = 0.5
	// idleTime is how long the state of an upstream is kept without requests.
	idleTime = time.Minute
	// keyPrefix distinguishes the rendezvous order from others of the same upstream.
	keyPrefix = "room/"
)

// Methods of the peer protocol.
const (
	methodTake   = "room.take"
	methodReturn = "room.return"
)

// Fleet provides the routers.
type Fleet interface {
	keeper.Fleet
	// Count returns the number of routers that may send to upstreams, and Rank this one's position among them for a key.
	Count() int
	Rank(key string) int
}

// Loads returns how many requests of all routers an upstream holds according to what they have published.
type Loads func(fleet.UpstreamID) int

// Service takes places, and keeps those of some upstreams for all routers. It is safe for concurrent use.
type Service struct {
	self      fleet.HostID
	transport port.Peers
	fleet     Fleet
	keepers   *keeper.Order
	loads     Loads
	log       *log.Logger

	mu        sync.Mutex
	upstreams map[Upstream]*state
	// ignoring holds routers that ignore limits, and until when they are not asked because of one.
	ignoring map[fleet.HostID]time.Time
}

// Upstream is one incarnation of an upstream.
type Upstream struct {
	ID          fleet.UpstreamID `msgpack:"u"`
	Incarnation int64            `msgpack:"i"`
}

// state is the state of one upstream. Service.mu guards it.
type state struct {
	usedAt time.Time
	// room holds the places of all routers, if this one keeps them.
	room room.Room
	// own counts the places that this router has taken without a keeper.
	own int
	// fullUntil is until when no place is asked for, and fullHeld what the upstream held when there was none.
	fullUntil time.Time
	fullHeld  int
}

// New returns the service of a router and registers its peer methods.
func New(self fleet.HostID, transport port.Peers, others Fleet, loads Loads, logger *log.Logger) *Service {
	s := &Service{
		self: self, transport: transport, fleet: others, keepers: keeper.NewOrder(self, others, keyPrefix), loads: loads, log: logger,
		upstreams: map[Upstream]*state{}, ignoring: map[fleet.HostID]time.Time{},
	}
	transport.Handle(methodTake, s.handleTake)
	transport.Handle(methodReturn, s.handleReturn)
	return s
}

// Place is a place for one request in work on an upstream.
type Place struct {
	service  *Service
	upstream Upstream
	need     room.Need
	// keeper is the router that has given the place; empty if none has answered.
	keeper fleet.HostID
	number uint64
}

type takeRequest struct {
	Upstream  Upstream `msgpack:"u"`
	Slots     int      `msgpack:"s"`
	PerSecond float64  `msgpack:"p"`
	Rank      int      `msgpack:"r"`
	LastsMs   int64    `msgpack:"l"`
	// Limit is room.Need.Limit. Routers of earlier versions ignore it.
	Limit float64 `msgpack:"m,omitempty"`
}

type takeResponse struct {
	Granted bool   `msgpack:"g"`
	Number  uint64 `msgpack:"n,omitempty"`
	// Leaving is true if the router leaves and keeps nothing any more.
	Leaving bool `msgpack:"x,omitempty"`
	// Held is how many requests the upstream holds, with the one that the place is for. Routers of earlier versions don't say so.
	Held int `msgpack:"h,omitempty"`
}

type returnRequest struct {
	Upstream   Upstream `msgpack:"u"`
	Number     uint64   `msgpack:"n"`
	Slots      int      `msgpack:"s"`
	TurnedAway bool     `msgpack:"t,omitempty"`
}

// Outcome is what came of asking for a place.
type Outcome string

// Outcomes of Take.
const (
	// Granted means that the request has a place.
	Granted Outcome = "granted"
	// Full means that the upstream has no room.
	Full Outcome = "full"
	// Unknown means that no router has answered, and that the upstream is not brittle.
	Unknown Outcome = "unknown"
)

// Take takes a place on an upstream. If it is full, held is the number of requests that it holds, as far as known.
func (s *Service) Take(ctx context.Context, upstream Upstream, need room.Need) (place *Place, held int, outcome Outcome) {
	if held, isFull := s.isFull(upstream); isFull {
		return nil, held, Full
	}
	request := takeRequest{
		Upstream: upstream, Slots: need.Slots, PerSecond: need.PerSecond, Rank: need.Rank, LastsMs: need.Lasts.Milliseconds(), Limit: need.Limit,
	}
	for _, id := range s.keepers.Of(upstream.ID) {
		if !need.IsBrittle() && s.ignoresLimits(id) {
			continue
		}
		response, answered := s.takeFrom(ctx, id, request)
		switch {
		case answered && response.Granted && response.Held == 0 && !need.IsBrittle():
			(&Place{service: s, upstream: upstream, need: need, keeper: id, number: response.Number}).Return(false)
			s.setIgnoresLimits(id)
		case answered && response.Granted:
			return &Place{service: s, upstream: upstream, need: need, keeper: id, number: response.Number}, 0, Granted
		case answered:
			// Routers of earlier versions don't tell what the upstream holds.
			held := max(response.Held, s.loads(upstream.ID))
			s.setFull(upstream, held)
			return nil, held, Full
		case ctx.Err() != nil:
			return nil, 0, Unknown
		}
	}
	if !need.IsBrittle() {
		return nil, 0, Unknown
	}
	if place := s.takeAlone(upstream, need); place != nil {
		return place, 0, Granted
	}
	return nil, s.loads(upstream.ID), Full
}

// takeFrom asks a router for a place. It returns false if that has not answered or is leaving.
func (s *Service) takeFrom(ctx context.Context, from fleet.HostID, request takeRequest) (takeResponse, bool) {
	if from == s.self {
		return s.give(request), true
	}
	call, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	var response takeResponse
	err := s.transport.Call(call, from, methodTake, request, &response)
	if err == nil && !response.Leaving {
		return response, true
	}
	if ctx.Err() != nil {
		return takeResponse{}, false
	}
	s.log.Info("router gave no answer on an upstream's room; not asking it for a while", "peer", from, "upstream", request.Upstream.ID,
		"leaving", response.Leaving, "left_alone", s.keepers.SetSilent(from, err), "err", err)
	return takeResponse{}, false
}

// give gives a place that this router keeps.
func (s *Service) give(request takeRequest) takeResponse {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, known := time.Now(), s.loads(request.Upstream.ID)
	kept := &s.state(request.Upstream, now).room
	number, granted := kept.Take(now, room.Need{
		Slots: request.Slots, PerSecond: request.PerSecond, Rank: request.Rank, Lasts: time.Duration(request.LastsMs) * time.Millisecond,
		Limit: request.Limit, Known: known,
	})
	return takeResponse{Granted: granted, Number: number, Held: kept.Held(now, known)}
}

// takeAlone takes a place from this router's own part while no keeper answers.
func (s *Service) takeAlone(upstream Upstream, need room.Need) *Place {
	share := pace.Share(float64(need.Slots)*fallbackShare, s.fleet.Count(), s.fleet.Rank(string(upstream.ID)))
	s.mu.Lock()
	defer s.mu.Unlock()
	u := s.state(upstream, time.Now())
	if u.own >= share {
		return nil
	}
	u.own++
	return &Place{service: s, upstream: upstream, need: need}
}

// Keeper returns the router that has given the place; empty if none has answered.
func (p *Place) Keeper() fleet.HostID { return p.keeper }

// Return gives the place back. turnedAway is true if the upstream has turned the request away for want of room.
func (p *Place) Return(turnedAway bool) {
	s := p.service
	turnedAway = turnedAway && p.need.IsBrittle()
	if turnedAway {
		s.setFull(p.upstream, p.need.Slots)
	}
	request := returnRequest{Upstream: p.upstream, Number: p.number, Slots: p.need.Slots, TurnedAway: turnedAway}
	switch p.keeper {
	case "":
		s.mu.Lock()
		defer s.mu.Unlock()
		s.state(p.upstream, time.Now()).own--
	case s.self:
		s.takeBack(request)
	default:
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), takeTimeout)
			defer cancel()
			var none struct{}
			if err := s.transport.Call(ctx, p.keeper, methodReturn, request, &none); err != nil {
				s.log.Debug("failed to return a place; it expires", "peer", p.keeper, "upstream", p.upstream.ID, "err", err)
			}
		}()
	}
}

// takeBack takes a place back that this router keeps.
func (s *Service) takeBack(request returnRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	u := s.state(request.Upstream, now)
	u.room.Return(now, request.Number)
	if request.TurnedAway {
		u.room.TurnedAway(now, request.Slots)
		s.log.Info("brittle upstream turned a request away", "upstream", request.Upstream.ID, "in_work", u.room.InWork())
	}
}

// isFull reports whether the upstream had no room a moment ago, and what it held.
func (s *Service) isFull(upstream Upstream) (held int, isFull bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	u, found := s.upstreams[upstream]
	if !found || !time.Now().Before(u.fullUntil) {
		return 0, false
	}
	return u.fullHeld, true
}

func (s *Service) setFull(upstream Upstream, held int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	u := s.state(upstream, now)
	u.fullUntil, u.fullHeld = now.Add(fullTime), held
}

// state returns the state of an upstream. The caller holds mu.
func (s *Service) state(upstream Upstream, now time.Time) *state {
	u, found := s.upstreams[upstream]
	if !found {
		for other, u := range s.upstreams {
			if now.Sub(u.usedAt) > idleTime {
				delete(s.upstreams, other)
			}
		}
		u = &state{}
		s.upstreams[upstream] = u
	}
	u.usedAt = now
	return u
}

// ignoresLimits reports whether a router of an earlier version has given a place without regard to the limit.
func (s *Service) ignoresLimits(id fleet.HostID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.ignoring[id])
}

func (s *Service) setIgnoresLimits(id fleet.HostID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ignoring[id] = time.Now().Add(keeper.UnableTime)
	s.log.Info("router of an earlier version keeps no limits; not asking it for a while", "peer", id, "left_alone", keeper.UnableTime)
}

func (s *Service) handleTake(_ context.Context, _ fleet.HostID, decode port.Decode) (any, error) {
	var request takeRequest
	if err := decode(&request); err != nil {
		return nil, err
	}
	if s.fleet.Leaving() {
		return takeResponse{Leaving: true}, nil
	}
	return s.give(request), nil
}

func (s *Service) handleReturn(_ context.Context, _ fleet.HostID, decode port.Decode) (any, error) {
	var request returnRequest
	if err := decode(&request); err != nil {
		return nil, err
	}
	s.takeBack(request)
	return struct{}{}, nil
}
