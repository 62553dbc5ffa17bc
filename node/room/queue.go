package room

import (
	"context"
	"sync"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/core/room"
	"agateswitch/node/keeper"
	"agateswitch/port"

	"github.com/charmbracelet/log"
	"github.com/juju/errors"
)

const (
	// enterTimeout bounds the wait for a keeper's answer, and for a router's answer to a grant.
	enterTimeout = 50 * time.Millisecond
	// returnTimeout bounds the return of a place.
	returnTimeout = time.Second
	// queuePrefix distinguishes the order of the keepers of queues from others.
	queuePrefix = "queue/"
)

// Methods of the peer protocol.
const (
	methodEnter = "room.enter"
	methodGrant = "room.grant"
	methodLeave = "room.leave"
)

// QueueFleet provides the routers.
type QueueFleet interface {
	// Routers returns those that accept callers, with this one unless it is leaving.
	Routers() []fleet.Host
	Count() int
	Leaving() bool
}

// Queues asks for places on small pools, whose requests wait in one queue for all routers (core/room.Queue). The router with the most
// capacity keeps it; if neither that nor the next one answers, each router has an equal part of the places and a queue of its own. It
// is safe for concurrent use.
type Queues struct {
	self      fleet.HostID
	transport port.Peers
	fleet     QueueFleet
	keepers   *keeper.CapacityOrder
	log       *log.Logger

	mu sync.Mutex
	// kept holds the queues that this router keeps for all, and alone those that it uses while no keeper answers.
	kept, alone map[fleet.PoolID]*room.Queue
	// waits holds this router's requests that have no place yet, by the ticket's number.
	waits      map[uint64]*wait
	lastNumber uint64
}

// wait is a request that has no place yet.
type wait struct {
	number uint64
	keeper fleet.HostID
	until  time.Time
	// granted gets the upstream on which there is a place; it has room for one. lost is closed if the keeper is silent.
	granted chan room.Upstream
	lost    chan struct{}
}

// NewQueues returns the queues of a router and registers its peer methods.
func NewQueues(self fleet.HostID, transport port.Peers, others QueueFleet, logger *log.Logger) *Queues {
	s := &Queues{
		self: self, transport: transport, fleet: others, keepers: keeper.NewCapacityOrder(others.Routers, queuePrefix), log: logger,
		kept: map[fleet.PoolID]*room.Queue{}, alone: map[fleet.PoolID]*room.Queue{}, waits: map[uint64]*wait{},
		// Tickets of a router that has restarted must differ from those before.
		lastNumber: uint64(time.Now().UnixNano()),
	}
	transport.Handle(methodEnter, s.handleEnter)
	transport.Handle(methodGrant, s.handleGrant)
	transport.Handle(methodLeave, s.handleLeave)
	return s
}

type candidate struct {
	Upstream Upstream `msgpack:"u"`
	Slots    int      `msgpack:"s"`
}

type enterRequest struct {
	Pool       fleet.PoolID `msgpack:"p"`
	Number     uint64       `msgpack:"n"`
	Rank       int          `msgpack:"r"`
	Team       fleet.Team   `msgpack:"t,omitempty"`
	AimMs      int64        `msgpack:"a"`
	LeftMs     int64        `msgpack:"l"`
	Candidates []candidate  `msgpack:"c"`
}

type enterResponse struct {
	Outcome  room.Outcome `msgpack:"o,omitempty"`
	Upstream Upstream     `msgpack:"u"`
	// ExpectedUs, PatienceUs and RetryAfterUs are in microseconds.
	ExpectedUs   int64 `msgpack:"e,omitempty"`
	PatienceUs   int64 `msgpack:"w,omitempty"`
	RetryAfterUs int64 `msgpack:"a,omitempty"`
	// Leaving is true if the router leaves and keeps nothing any more.
	Leaving bool `msgpack:"x,omitempty"`
}

type grantRequest struct {
	Number   uint64   `msgpack:"n"`
	Upstream Upstream `msgpack:"u"`
}

type grantResponse struct {
	Accepted bool `msgpack:"a"`
}

type leaveRequest struct {
	Pool       fleet.PoolID `msgpack:"p"`
	Number     uint64       `msgpack:"n"`
	Used       bool         `msgpack:"u,omitempty"`
	TurnedAway bool         `msgpack:"t,omitempty"`
}

// Entry is what came of a request for a place.
type Entry struct {
	// Seat is the request's place; nil if it has none.
	Seat *Seat
	// Keeper is the router that has decided; empty if this one did so alone.
	Keeper fleet.HostID
	// Waited is the time until the decision, and Expected what the keeper expected.
	Waited, Expected time.Duration
	// RetryAfter is when the caller should come back if there is no seat.
	RetryAfter time.Duration
}

// Seat is a request's place on an upstream of a small pool.
type Seat struct {
	queues   *Queues
	pool     fleet.PoolID
	number   uint64
	keeper   fleet.HostID
	Upstream room.Upstream
}

// Enter asks for a place, and waits for one if that is soon enough for the request. The ticket of the request is set here.
func (s *Queues) Enter(ctx context.Context, pool fleet.PoolID, request room.Request) Entry {
	began := time.Now()
	aim, left := request.Aim, request.Left
	for _, id := range append(s.keepers.Of(string(pool)), "") {
		passed := time.Since(began)
		request.Aim, request.Left = max(0, aim-passed), max(0, left-passed)
		entry, isDecided := s.enterAt(ctx, id, pool, request)
		if isDecided || ctx.Err() != nil {
			entry.Waited, entry.Keeper = time.Since(began), id
			return entry
		}
	}
	return Entry{Waited: time.Since(began)}
}

// enterAt asks one keeper, or this router's own queue if id is empty. It reports false if the keeper is silent.
func (s *Queues) enterAt(ctx context.Context, id fleet.HostID, pool fleet.PoolID, request room.Request) (Entry, bool) {
	began := time.Now()
	w := s.addWait(id, request.Left)
	defer s.removeWait(w.number)
	request.Ticket = room.Ticket{Router: s.self, Number: w.number}
	decision, err := s.ask(ctx, id, pool, request)
	seat := &Seat{queues: s, pool: pool, number: w.number, keeper: id}
	if err != nil || ctx.Err() != nil {
		seat.leave(leaveRequest{})
		if ctx.Err() == nil {
			s.setSilent(id, pool, err)
		}
		return Entry{}, false
	}
	switch decision.Outcome {
	case room.OutcomeGranted:
		seat.Upstream = decision.Upstream
		return Entry{Seat: seat, Expected: decision.Expected}, true
	case room.OutcomeRefused:
		return Entry{Expected: decision.Expected, RetryAfter: decision.RetryAfter}, true
	}
	s.mu.Lock()
	w.until = began.Add(decision.Patience)
	s.mu.Unlock()
	entry, isDecided := s.await(ctx, w, seat)
	entry.Expected = decision.Expected
	if entry.Seat == nil {
		seat.leave(leaveRequest{})
		entry.RetryAfter = decision.RetryAfter
	}
	return entry, isDecided
}

// await waits for a grant.
func (s *Queues) await(ctx context.Context, w *wait, seat *Seat) (Entry, bool) {
	timer := time.NewTimer(time.Until(w.until))
	defer timer.Stop()
	isDecided := true
	select {
	case seat.Upstream = <-w.granted:
		return Entry{Seat: seat}, ctx.Err() == nil
	case <-w.lost:
		isDecided = false
	case <-timer.C:
	case <-ctx.Done():
	}
	s.removeWait(seat.number)
	select {
	case seat.Upstream = <-w.granted:
		return Entry{Seat: seat}, true
	default:
		return Entry{}, isDecided
	}
}

func (s *Queues) addWait(id fleet.HostID, left time.Duration) *wait {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastNumber++
	w := &wait{
		number: s.lastNumber, keeper: id, until: time.Now().Add(left), granted: make(chan room.Upstream, 1), lost: make(chan struct{}),
	}
	s.waits[w.number] = w
	return w
}

func (s *Queues) removeWait(number uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.waits, number)
}

// errLate is the error of a keeper whose answer came after enterTimeout, as to a router that stood still meanwhile.
var errLate = errors.WithType(errors.New("the answer came late"), port.ErrPeerUnreachable)

// errLeaving is that of a keeper that is leaving.
var errLeaving = errors.WithType(errors.New("the router is leaving"), port.ErrPeerUnreachable)

// ask asks one keeper for a decision.
func (s *Queues) ask(ctx context.Context, id fleet.HostID, pool fleet.PoolID, request room.Request) (room.Decision, error) {
	if id == "" || id == s.self {
		return s.decide(id, pool, request), nil
	}
	message := enterRequest{
		Pool: pool, Number: request.Ticket.Number, Rank: request.Rank, Team: request.Team,
		AimMs: request.Aim.Milliseconds(), LeftMs: request.Left.Milliseconds(),
	}
	for _, c := range request.Candidates {
		message.Candidates = append(message.Candidates, candidate{Upstream: Upstream(c.Upstream), Slots: c.Slots})
	}
	call, cancel := context.WithTimeout(ctx, enterTimeout)
	defer cancel()
	began := time.Now()
	var response enterResponse
	err := s.transport.Call(call, id, methodEnter, message, &response)
	switch {
	case err != nil:
		return room.Decision{}, errors.Trace(err)
	case response.Leaving:
		return room.Decision{}, errLeaving
	case time.Since(began) > enterTimeout:
		return room.Decision{}, errLate
	}
	return room.Decision{
		Outcome: response.Outcome, Upstream: room.Upstream(response.Upstream), Expected: microseconds(response.ExpectedUs),
		Patience: microseconds(response.PatienceUs), RetryAfter: microseconds(response.RetryAfterUs),
	}, nil
}

func microseconds(us int64) time.Duration { return time.Duration(us) * time.Microsecond }

// setSilent records that a keeper is silent, and wakes the requests that wait for it.
func (s *Queues) setSilent(id fleet.HostID, pool fleet.PoolID, err error) {
	length, isNewlySilent := s.keepers.SetSilent(id, err)
	s.log.Debug("router gave no answer on a pool's queue", "peer", id, "pool", pool, "err", err)
	if isNewlySilent {
		s.log.Info("router gave no answer on a pool's queue; not asking it for a while", "peer", id, "pool", pool, "left_alone", length, "err", err)
		go s.probe(id, pool)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for number, w := range s.waits {
		if w.keeper == id {
			close(w.lost)
			delete(s.waits, number)
		}
	}
}

// probe calls a silent keeper until it answers, so that no request has to wait for that.
func (s *Queues) probe(id fleet.HostID, pool fleet.PoolID) {
	for range keeper.MaxSilentTime / keeper.SilentTime {
		time.Sleep(keeper.SilentTime)
		ctx, cancel := context.WithTimeout(context.Background(), enterTimeout)
		var none struct{}
		err := s.transport.Call(ctx, id, methodLeave, leaveRequest{Pool: pool}, &none)
		cancel()
		if err == nil {
			s.log.Info("router answers again on a pool's queue", "peer", id, "pool", pool)
			s.keepers.SetAnswering(id)
			return
		}
	}
}

// Keeper returns the router that has given the place; empty if this one did so alone.
func (p *Seat) Keeper() fleet.HostID { return p.keeper }

// Return gives the place back. sent is true if the upstream may have received the request, and turnedAway if it has turned it away for
// want of room.
func (p *Seat) Return(sent, turnedAway bool) {
	p.leave(leaveRequest{Used: sent, TurnedAway: turnedAway})
}

// leave gives the place up, or the request for it.
func (p *Seat) leave(message leaveRequest) {
	message.Pool, message.Number = p.pool, p.number
	s := p.queues
	if p.keeper == "" || p.keeper == s.self {
		s.takeOut(p.keeper, s.self, message)
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), returnTimeout)
		defer cancel()
		var none struct{}
		if err := s.transport.Call(ctx, p.keeper, methodLeave, message, &none); err != nil {
			s.log.Debug("failed to return a place; it expires", "peer", p.keeper, "pool", p.pool, "err", err)
		}
	}()
}
