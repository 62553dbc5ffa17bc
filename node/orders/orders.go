// Package orders gives orders to engines: one at a time in the fleet, by the holder of a
// lease, with its fencing number.
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

// Lease of orders. One holder in the fleet keeps to the weight store's rate.
const (
	leaseName = "orders"
	leaseTTL  = 15 * time.Second
	// maxSends is how often an order is sent until the engine is as ordered.
	maxSends = 3
	// retryAfter is what an operator is told while another order is under way.
	retryAfter = 5 * time.Second
)

// Service gives orders. It is safe for concurrent use.
type Service struct {
	config    port.Configuration
	store     port.Store
	members   port.Members
	engines   port.EngineOrders
	telemetry port.Telemetry
}

// New makes the service.
func New(config port.Configuration, store port.Store, members port.Members, engines port.EngineOrders, telemetry port.Telemetry) *Service {
	return &Service{config: config, store: store, members: members, engines: engines, telemetry: telemetry}
}

// Result tells what became of an order.
type Result struct {
	Order order.Order `json:"order"`
	// Sends is how often the order was sent; 0 when the engine was as ordered already.
	Sends int `json:"sends"`
	// State of the engine at the end.
	State order.State `json:"state"`
}

// Give carries an order out. It waits until the order may be sent, and returns when the
// engine is as ordered.
func (s *Service) Give(ctx context.Context, pool fleet.PoolID, upstream fleet.UpstreamID, wanted order.Order) (Result, *fleet.Refusal) {
	if problem := wanted.Validate(); problem != "" {
		return Result{}, fleet.Refuse(fleet.CodeInvalid, problem, 0)
	}
	settings, found := s.config.Current().Pool(pool)
	engine, listed := s.find(pool, upstream)
	if !found || !listed {
		return Result{}, fleet.Refuse(fleet.CodeNotFound, fmt.Sprintf("pool %q has no upstream %q", pool, upstream), 0)
	}
	held, err := lease.Hold(ctx, s.store, leaseName, s.members.Self().ID, leaseTTL)
	if errors.Is(err, lease.ErrHeld) {
		return Result{}, fleet.Refuse(fleet.CodeConflict, "another order is under way: "+err.Error(), retryAfter)
	}
	if err != nil {
		return Result{}, fleet.Refuse(fleet.CodeStoreDown, "no lease for orders: "+err.Error(), retryAfter)
	}
	defer held.Release()
	wanted.Fence = held.Fence
	g := &giving{service: s, held: held, engine: engine, input: order.Input{
		Order: wanted, HeldSince: time.Now(), FencesOrders: settings.FencesOrders,
	}}
	return g.run(ctx)
}

func (s *Service) find(pool fleet.PoolID, id fleet.UpstreamID) (fleet.Upstream, bool) {
	for _, upstream := range s.members.Upstreams(pool) {
		if upstream.ID == id {
			return upstream, true
		}
	}
	return fleet.Upstream{}, false
}

// giving is one order under one lease.
type giving struct {
	service *Service
	held    *lease.Lease
	engine  fleet.Upstream
	input   order.Input
	sends   int
	slot    slot
}

func (g *giving) run(ctx context.Context) (Result, *fleet.Refusal) {
	for {
		if refusal := g.read(ctx); refusal != nil {
			return g.result(), refusal
		}
		now := time.Now()
		g.input.OutlastsDelivery = g.held.Valid(now.Add(order.DeliveryTimeout))
		decision := order.Decide(now, g.input)
		g.service.telemetry.Log.Info("engine order", "upstream", g.engine.ID, "kind", g.input.Order.Kind, "name", g.input.Order.Name,
			"fence", g.input.Order.Fence, "action", decision.Action, "reason", decision.Reason)
		switch decision.Action {
		case order.ActionDone:
			return g.result(), nil
		case order.ActionRefuse:
			return g.result(), g.refuse(fleet.CodeConflict, decision.Reason)
		case order.ActionWait:
			if refusal := g.wait(ctx, time.Until(decision.Until)); refusal != nil {
				return g.result(), refusal
			}
		case order.ActionSend:
			if refusal := g.send(ctx); refusal != nil {
				return g.result(), refusal
			}
		}
	}
}

func (g *giving) result() Result {
	return Result{Order: g.input.Order, Sends: g.sends, State: g.input.State}
}

// refuse says whether the order can have been carried out.
func (g *giving) refuse(code fleet.Code, message string) *fleet.Refusal {
	refusal := fleet.Refuse(code, message, retryAfter)
	if g.sends > 0 {
		refusal.Ran = fleet.RanUnknown
	}
	return refusal
}

// read brings the engine's state and the weight store's next slot up to date.
func (g *giving) read(ctx context.Context) *fleet.Refusal {
	ctx, cancel := context.WithTimeout(ctx, order.DeliveryTimeout)
	defer cancel()
	state, err := g.service.engines.State(ctx, g.engine)
	if err != nil {
		return g.refuse(fleet.CodeUpstreamFailed, err.Error())
	}
	g.input.State = state
	if !g.input.Order.ReadsWeights() {
		return nil
	}
	g.slot, err = readSlot(ctx, g.service.store)
	if err != nil {
		return g.refuse(fleet.CodeStoreDown, err.Error())
	}
	g.input.NextSlot = g.slot.Next
	return nil
}

func (g *giving) wait(ctx context.Context, length time.Duration) *fleet.Refusal {
	select {
	case <-time.After(length):
		return nil
	case <-g.held.Done():
		return g.refuse(fleet.CodeConflict, "the lease of orders was lost")
	case <-ctx.Done():
		return g.refuse(fleet.CodeDeadline, "the order was given up while it waited")
	}
}

func (g *giving) send(ctx context.Context) *fleet.Refusal {
	if g.sends == maxSends {
		return g.refuse(fleet.CodeUpstreamFailed, fmt.Sprintf("the engine is not as ordered after %d orders", maxSends))
	}
	if g.input.Order.ReadsWeights() {
		if err := g.slot.take(ctx, g.service.store, time.Now()); err != nil {
			return g.refuse(fleet.CodeStoreDown, "no slot of the weight store: "+err.Error())
		}
	}
	ctx, cancel := context.WithTimeout(ctx, order.DeliveryTimeout)
	defer cancel()
	// The check comes right before the order leaves: the slot may have taken long, or the
	// process may have been paused.
	if !g.held.Valid(time.Now().Add(order.DeliveryTimeout)) {
		return g.refuse(fleet.CodeConflict, "the lease ends too soon for an order to arrive within it")
	}
	g.sends++
	g.input.SentAt = time.Now()
	err := g.service.engines.SendOrder(ctx, g.engine, g.input.Order)
	if errors.Is(err, port.ErrStaleFence) {
		return g.refuse(fleet.CodeConflict, "the engine has taken an order with a later fencing number")
	}
	if err != nil {
		// The order may have been carried out: the engine's state tells.
		g.service.telemetry.Log.Warn("engine order without an answer", "upstream", g.engine.ID, "err", err)
		return g.wait(ctx, time.Until(g.input.SentAt.Add(order.DeliveryTimeout)))
	}
	return nil
}
