// Package orders sends orders to engines. Only the holder of a fleet-wide lease sends orders, one at a
// time and with the fencing number of its lease.
package orders

import (
	"context"
	"fmt"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/core/order"
	"agateswitch/node/lease"
	"agateswitch/port"

	"github.com/juju/errors"
)

// Limits of orders. A single lease for the whole fleet enforces the weight store's rate.
const (
	leaseName = "orders"
	leaseTTL  = 15 * time.Second
	// maxSends is the maximum number of times that an order is sent.
	maxSends = 3
	// retryAfter is the Retry-After value of refused orders.
	retryAfter = 5 * time.Second
)

// Service carries out orders to engines. It is safe for concurrent use.
type Service struct {
	config    port.Configuration
	store     port.Store
	members   port.Members
	engines   port.EngineOrders
	telemetry port.Telemetry
}

// New returns a service.
func New(config port.Configuration, store port.Store, members port.Members, engines port.EngineOrders, telemetry port.Telemetry) *Service {
	return &Service{config: config, store: store, members: members, engines: engines, telemetry: telemetry}
}

// Result is the result of an order.
type Result struct {
	Order order.Order `json:"order"`
	// Sends is how often the order was sent; 0 if the engine was already in the requested state.
	Sends int `json:"sends"`
	// State is the last state that the engine reported.
	State order.State `json:"state"`
}

// Give carries out an order. It waits until the order may be sent, and returns when the engine is in
// the requested state.
func (s *Service) Give(ctx context.Context, pool fleet.PoolID, upstream fleet.UpstreamID, wanted order.Order) (Result, *fleet.Refusal) {
	if problem := wanted.Validate(); problem != "" {
		return Result{}, fleet.Refuse(fleet.CodeInvalid, problem, 0)
	}
	settings, found := s.config.Current().Pool(pool)
	engine, listed := s.findUpstream(pool, upstream)
	if !found || !listed {
		return Result{}, fleet.Refuse(fleet.CodeNotFound, fmt.Sprintf("pool %q has no upstream %q", pool, upstream), 0)
	}
	held, err := lease.Acquire(ctx, s.store, leaseName, s.members.Self().ID, leaseTTL)
	if errors.Is(err, lease.ErrHeld) {
		return Result{}, fleet.Refuse(fleet.CodeConflict, "another order is under way: "+err.Error(), retryAfter)
	}
	if err != nil {
		return Result{}, fleet.Refuse(fleet.CodeStoreDown, "no lease for orders: "+err.Error(), retryAfter)
	}
	defer held.Release()
	wanted.Fence = held.Fence
	e := &execution{service: s, held: held, engine: engine, input: order.Input{
		Order: wanted, HeldSince: time.Now(), FencesOrders: settings.FencesOrders,
	}}
	return e.run(ctx)
}

func (s *Service) findUpstream(pool fleet.PoolID, id fleet.UpstreamID) (fleet.Upstream, bool) {
	for _, upstream := range s.members.Upstreams(pool) {
		if upstream.ID == id {
			return upstream, true
		}
	}
	return fleet.Upstream{}, false
}

// execution is the state of one order under one lease.
type execution struct {
	service *Service
	held    *lease.Lease
	engine  fleet.Upstream
	input   order.Input
	sends   int
	slot    slot
}

func (e *execution) run(ctx context.Context) (Result, *fleet.Refusal) {
	for {
		if refusal := e.readState(ctx); refusal != nil {
			return e.result(), refusal
		}
		now := time.Now()
		e.input.OutlastsDelivery = e.held.Valid(now.Add(order.DeliveryTimeout))
		decision := order.Decide(now, e.input)
		e.service.telemetry.Log.Info("engine order decision", "upstream", e.engine.ID, "kind", e.input.Order.Kind, "name", e.input.Order.Name,
			"fence", e.input.Order.Fence, "action", decision.Action, "reason", decision.Reason)
		switch decision.Action {
		case order.ActionDone:
			return e.result(), nil
		case order.ActionRefuse:
			return e.result(), e.refuse(fleet.CodeConflict, decision.Reason)
		case order.ActionWait:
			if refusal := e.wait(ctx, time.Until(decision.Until)); refusal != nil {
				return e.result(), refusal
			}
		case order.ActionSend:
			if refusal := e.send(ctx); refusal != nil {
				return e.result(), refusal
			}
		}
	}
}

func (e *execution) result() Result {
	return Result{Order: e.input.Order, Sends: e.sends, State: e.input.State}
}

// refuse returns a refusal. Its outcome is unknown if the order was sent before.
func (e *execution) refuse(code fleet.Code, message string) *fleet.Refusal {
	refusal := fleet.Refuse(code, message, retryAfter)
	if e.sends > 0 {
		refusal.Ran = fleet.RanUnknown
	}
	return refusal
}

// readState reads the engine's state and, for orders that read weights, the weight store's next slot.
func (e *execution) readState(ctx context.Context) *fleet.Refusal {
	ctx, cancel := context.WithTimeout(ctx, order.DeliveryTimeout)
	defer cancel()
	state, err := e.service.engines.State(ctx, e.engine)
	if err != nil {
		return e.refuse(fleet.CodeUpstreamFailed, err.Error())
	}
	e.input.State = state
	if !e.input.Order.ReadsWeights() {
		return nil
	}
	e.slot, err = readSlot(ctx, e.service.store)
	if err != nil {
		return e.refuse(fleet.CodeStoreDown, err.Error())
	}
	e.input.NextSlot = e.slot.Next
	return nil
}

func (e *execution) wait(ctx context.Context, length time.Duration) *fleet.Refusal {
	select {
	case <-time.After(length):
		return nil
	case <-e.held.Done():
		return e.refuse(fleet.CodeConflict, "the lease of orders was lost")
	case <-ctx.Done():
		return e.refuse(fleet.CodeDeadline, "the order was given up while it waited")
	}
}

func (e *execution) send(ctx context.Context) *fleet.Refusal {
	if e.sends == maxSends {
		return e.refuse(fleet.CodeUpstreamFailed, fmt.Sprintf("the engine is not as ordered after %d orders", maxSends))
	}
	if e.input.Order.ReadsWeights() {
		if err := e.slot.reserve(ctx, e.service.store, time.Now()); err != nil {
			return e.refuse(fleet.CodeStoreDown, "no slot of the weight store: "+err.Error())
		}
	}
	ctx, cancel := context.WithTimeout(ctx, order.DeliveryTimeout)
	defer cancel()
	// The lease is checked right before the order is sent: reserving the slot may have been slow, or
	// the process may have been paused.
	if !e.held.Valid(time.Now().Add(order.DeliveryTimeout)) {
		return e.refuse(fleet.CodeConflict, "the lease ends too soon for an order to arrive within it")
	}
	e.sends++
	e.input.SentAt = time.Now()
	err := e.service.engines.SendOrder(ctx, e.engine, e.input.Order)
	if errors.Is(err, port.ErrStaleFence) {
		return e.refuse(fleet.CodeConflict, "the engine has taken an order with a later fencing number")
	}
	if err != nil {
		// The order may have been carried out; the engine's state shows it after the wait.
		e.service.telemetry.Log.Warn("engine did not answer an order; reading the engine's state after the delivery timeout", "upstream", e.engine.ID, "err", err)
		return e.wait(ctx, time.Until(e.input.SentAt.Add(order.DeliveryTimeout)))
	}
	return nil
}
