// Package scaling orders engines for pools whose number of engines the desired state leaves open, as a duty of one router for each pool and
// data centre. core/scaling decides.
package scaling

import (
	"context"
	"maps"
	"slices"
	"strings"
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

// Name is the name of the duty.
const Name = "engines"

// Intervals.
const (
	// minInterval and maxInterval bound the time between two decisions.
	minInterval = 200 * time.Millisecond
	maxInterval = 500 * time.Millisecond
	// retryDelay is the time until an order that failed is decided again, and rejectedDelay the one after the platform has rejected it.
	retryDelay    = time.Second
	rejectedDelay = 30 * time.Second
	// quietTime is the least time between two log lines on why nothing is ordered for a subject.
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

// subject is a pool in a data centre.
type subject struct {
	pool       fleet.PoolID
	dataCentre fleet.DataCentre
}

func (s subject) String() string { return string(s.pool) + "/" + string(s.dataCentre) }

// Service implements duty.Duty. It is safe for concurrent use.
type Service struct {
	Dependencies
	instruments instruments

	mu sync.Mutex
	// places holds the data centres in which each pool has had engines, and holdings what this router has decided as a holder.
	places   map[fleet.PoolID]map[fleet.DataCentre]bool
	holdings map[subject]*holding
}

// holding is what a holder keeps for a subject.
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
	return &Service{Dependencies: d, places: map[fleet.PoolID]map[fleet.DataCentre]bool{}, holdings: map[subject]*holding{}}
}

// Name implements duty.Duty.
func (s *Service) Name() string { return Name }

// Subjects implements duty.Duty. A data centre that has lost all engines of a pool stays one of its subjects.
func (s *Service) Subjects() []string {
	var subjects []string
	for _, pool := range s.Pools.ScaledPools() {
		for dataCentre := range s.placesOf(pool.ID) {
			subjects = append(subjects, subject{pool.ID, dataCentre}.String())
		}
	}
	slices.Sort(subjects)
	return subjects
}

// placesOf returns the data centres of a pool.
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

// find returns the pool and the data centre of a subject.
func (s *Service) find(name string) (routing.Pool, subject, bool) {
	for _, pool := range s.Pools.ScaledPools() {
		if dataCentre, found := strings.CutPrefix(name, string(pool.ID)+"/"); found && s.placesOf(pool.ID)[fleet.DataCentre(dataCentre)] {
			return pool, subject{pool.ID, fleet.DataCentre(dataCentre)}, true
		}
	}
	return routing.Pool{}, subject{}, false
}

// Work implements duty.Duty.
func (s *Service) Work(ctx context.Context, name string, grant duty.Grant) time.Duration {
	pool, subject, found := s.find(name)
	if !found {
		return maxInterval
	}
	now := time.Now()
	interval := interval(pool)
	plan, policy := s.look(pool, subject), policyOf(pool)
	h := s.holding(subject)
	s.mu.Lock()
	var decision scaling.Decision
	if plan.Problem != "" {
		decision = h.decider.Unknown(now)
	} else {
		decision = h.decider.Decide(now, policy, limitsOf(pool), plan.pool, subject.dataCentre)
	}
	plan.take(decision)
	plan.LastOrder = h.plan.LastOrder
	h.plan, h.decidedAt = plan, now
	isDue := decision.Order && !now.Before(h.notBefore)
	s.mu.Unlock()
	if !isDue {
		s.logQuiet(h, plan, now)
		return interval
	}
	return max(interval, s.order(ctx, h, plan, policy, grant))
}

// order sends an order, and returns after how long the subject is to be decided again.
func (s *Service) order(ctx context.Context, h *holding, plan Plan, policy scaling.Policy, grant duty.Grant) time.Duration {
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
	return delay
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

func (s *Service) holding(subject subject) *holding {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.holdings[subject] == nil {
		s.holdings[subject] = &holding{}
	}
	return s.holdings[subject]
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
