// Package scaling orders engines for pools whose number of engines the desired state leaves open, as a duty of one router for each pool and
// data centre. core/scaling decides.
package scaling

import (
	"context"
	"maps"
	"sync"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/core/routing"
	"agateswitch/core/scaling"
	"agateswitch/node/duty"
	"agateswitch/port"

	"github.com/charmbracelet/log"
	"github.com/juju/errors"
)

// Name is the name of the duty, and Subject its only subject. One holder for all pools and data centres costs the store less than one for
// each, and sees the orders for all of them.
const (
	Name    = "engines"
	Subject = "all"
)

// Intervals.
const (
	// minInterval and maxInterval bound the time between two decisions.
	minInterval = 200 * time.Millisecond
	maxInterval = 500 * time.Millisecond
	// retryDelay is the time until an order that failed is decided again, and rejectedDelay the one after the platform has rejected it.
	retryDelay    = time.Second
	rejectedDelay = 30 * time.Second
	// sendTimeout bounds one order, so that decisions don't pause for longer than core/scaling bridges.
	sendTimeout = 1500 * time.Millisecond
	// quietTime is the least time between two log lines on why nothing is ordered for a place.
	quietTime = 5 * time.Second
)

// Pools provides the pools and engines that a router knows.
type Pools interface {
	ScaledPools() []routing.Pool
	PoolEngines(fleet.PoolID) ([]scaling.Engine, map[fleet.DataCentre]bool)
}

// Loads says how current the loads of engines are.
type Loads interface {
	// Age returns the time since the load of other routers last arrived, or false if none has.
	Age() (time.Duration, bool)
	// Unheard returns how many routers, or relays of about twenty routers each, the load lacks.
	Unheard() (count int, throughRelays bool)
}

// Fleet provides the number of routers.
type Fleet interface{ Count() int }

// Dependencies of a Service.
type Dependencies struct {
	Pools  Pools
	Loads  Loads
	Fleet  Fleet
	Duties port.Duties
	// CopyAge returns the age of the router's copy of the store's entries, and MaxCopyAge bounds it.
	CopyAge    func() time.Duration
	MaxCopyAge time.Duration
	Log        *log.Logger
}

// place is a pool in a data centre.
type place struct {
	pool       fleet.PoolID
	dataCentre fleet.DataCentre
}

// Service implements duty.Duty. It is safe for concurrent use.
type Service struct {
	Dependencies
	instruments instruments

	mu sync.Mutex
	// places holds the data centres in which each pool has had engines, and holdings what this router has decided as a holder.
	places   map[fleet.PoolID]map[fleet.DataCentre]bool
	holdings map[place]*holding
}

// holding is what a holder keeps for a pool in a data centre.
type holding struct {
	decider scaling.Decider
	// plan is the last decision, at decidedAt.
	plan      Plan
	decidedAt time.Time
	// loggedAt is when a decision to order nothing was last logged, and logged why.
	loggedAt time.Time
	logged   string
	// notBefore is when an order may be sent again.
	notBefore time.Time
}

// New returns a service that orders through d.Duties.
func New(d Dependencies) *Service {
	return &Service{Dependencies: d, places: map[fleet.PoolID]map[fleet.DataCentre]bool{}, holdings: map[place]*holding{}}
}

// Name implements duty.Duty.
func (s *Service) Name() string { return Name }

// Subjects implements duty.Duty.
func (s *Service) Subjects() []string {
	if len(s.Pools.ScaledPools()) == 0 {
		return nil
	}
	return []string{Subject}
}

// placesOf returns the data centres of a pool. One that has lost all engines stays one of them.
func (s *Service) placesOf(pool fleet.PoolID) map[fleet.DataCentre]bool {
	engines, _ := s.Pools.PoolEngines(pool)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.places[pool] == nil {
		s.places[pool] = map[fleet.DataCentre]bool{}
	}
	for _, e := range engines {
		s.places[pool][e.DataCentre] = true
	}
	return maps.Clone(s.places[pool])
}

// Work implements duty.Duty.
func (s *Service) Work(ctx context.Context, _ string, grant duty.Grant) time.Duration {
	next := maxInterval
	var sending sync.WaitGroup
	for _, pool := range s.Pools.ScaledPools() {
		next = min(next, interval(pool))
		for dataCentre := range s.placesOf(pool.ID) {
			plan, h, isDue := s.decide(pool, place{pool.ID, dataCentre})
			if isDue {
				sending.Go(func() { s.order(ctx, h, plan, policyOf(pool), grant) })
			}
		}
	}
	sending.Wait()
	return next
}

// decide decides for a pool in a data centre, and reports whether to order that now.
func (s *Service) decide(pool routing.Pool, at place) (Plan, *holding, bool) {
	plan, h, now := s.look(pool, at), s.holding(at), time.Now()
	s.mu.Lock()
	var decision scaling.Decision
	if plan.Problem != "" {
		decision = h.decider.Unknown(now)
	} else {
		decision = h.decider.Decide(now, policyOf(pool), limitsOf(pool), plan.pool, at.dataCentre)
	}
	plan.take(decision)
	plan.LastOrder = h.plan.LastOrder
	h.plan, h.decidedAt = plan, now
	isDue := decision.Order && !now.Before(h.notBefore)
	s.mu.Unlock()
	if !isDue {
		s.logQuiet(h, plan, now)
	}
	return plan, h, isDue
}

// order sends an order.
func (s *Service) order(ctx context.Context, h *holding, plan Plan, policy scaling.Policy, grant duty.Grant) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	order := port.EngineOrder{Pool: plan.Pool, DataCentre: plan.DataCentre, Engines: plan.Engines}
	var token uint64
	startedAt := time.Now()
	err := grant.Send(ctx, func(ctx context.Context, call port.DutyCall) error {
		token = call.Token
		return s.Duties.OrderEngines(ctx, call, order)
	})
	now := time.Now()
	outcome, delay := classify(err)
	s.mu.Lock()
	switch outcome {
	case outcomeAccepted:
		h.decider.Ordered(now, policy, order.Engines)
	case outcomeUnknown:
		h.decider.Unsure(now, policy, order.Engines)
	}
	h.notBefore = now.Add(delay)
	if outcome != outcomeNotHeld {
		h.plan.LastOrder = &LastOrder{Engines: order.Engines, Outcome: string(outcome), At: now}
	}
	s.mu.Unlock()
	s.instruments.recordOrder(order, outcome)
	fields := append(plan.fields(), "outcome", outcome, "token", token, "took", now.Sub(startedAt))
	switch outcome {
	case outcomeAccepted:
		s.Log.Info("engines ordered", fields...)
	case outcomeNotHeld:
		s.Log.Info("engines not ordered; another router may hold the duty", append(fields, "err", err)...)
	default:
		s.Log.Warn("failed to order engines", append(fields, "retry_after", delay, "err", err)...)
	}
}

// Outcomes of orders.
type outcome string

const (
	outcomeAccepted    outcome = "accepted"
	outcomeNotHeld     outcome = "not_held"
	outcomeRateLimited outcome = "rate_limited"
	outcomeRejected    outcome = "rejected"
	// outcomeUnknown means that the order may be in force.
	outcomeUnknown outcome = "unknown"
)

// classify returns what came of an order, and how long to wait before another one.
func classify(err error) (outcome, time.Duration) {
	switch {
	case err == nil:
		return outcomeAccepted, 0
	case errors.Is(err, duty.ErrNotHeld):
		return outcomeNotHeld, 0
	case errors.Is(err, port.ErrDutyRateLimited):
		return outcomeRateLimited, retryDelay
	case errors.Is(err, port.ErrDutyRejected):
		return outcomeRejected, rejectedDelay
	}
	return outcomeUnknown, retryDelay
}

// logQuiet logs why nothing is ordered, when the reason changes.
func (s *Service) logQuiet(h *holding, plan Plan, now time.Time) {
	s.mu.Lock()
	reason := plan.Reason + plan.Problem
	isNew := h.logged != reason && now.Sub(h.loggedAt) >= quietTime
	if isNew {
		h.logged, h.loggedAt = reason, now
	}
	s.mu.Unlock()
	if isNew {
		s.Log.Info("number of engines kept", plan.fields()...)
	}
}

func (s *Service) holding(at place) *holding {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.holdings[at] == nil {
		s.holdings[at] = &holding{}
	}
	return s.holdings[at]
}

func limitsOf(pool routing.Pool) scaling.Limits {
	return scaling.Limits{Min: pool.Scaling.Min, Max: pool.Scaling.Max, Boot: pool.Scaling.Boot}
}

func policyOf(pool routing.Pool) scaling.Policy {
	return scaling.NewPolicy(pool.Scaling.Boot, pool.ColdStart)
}

// interval returns the time between two decisions for a pool.
func interval(pool routing.Pool) time.Duration {
	return max(minInterval, min(policyOf(pool).Up/4, maxInterval))
}
