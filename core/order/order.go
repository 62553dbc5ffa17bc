// Package order decides when an order to an engine may be sent. The package does no I/O and reads
// no clock: it derives a decision and its reason from the lease, the engine's state and a time.
//
// An order carries the fencing number of the lease under which it is sent. Engines that check
// fencing numbers refuse an order with an older number. For other engines, a new lease holder
// waits until no order of an earlier holder can still be in transit.
package order

import (
	"fmt"
	"slices"
	"time"
)

// DeliveryTimeout is the maximum time from the check of the lease until an order has arrived or is
// given up.
const DeliveryTimeout = 3 * time.Second

// SlotInterval is the minimum time between two orders that read from the weight store, over the
// whole fleet.
const SlotInterval = 10 * time.Second

// Kind is the kind of change that an order makes.
type Kind string

// Kinds of orders.
const (
	LoadModel   Kind = "load_model"
	LoadAdapter Kind = "load_adapter"
	LoadVersion Kind = "load_version"
	ChangeRole  Kind = "change_role"
)

// Order is one order to an engine.
type Order struct {
	Kind Kind `json:"kind"`
	// Name of the model, adapter, version or role.
	Name string `json:"name"`
	// Fence is the fencing number of the sender's lease.
	Fence int64 `json:"fence"`
}

// State is the state that an engine reports.
type State struct {
	Model    string   `json:"model"`
	Adapters []string `json:"adapters"`
	Version  string   `json:"version"`
	Role     string   `json:"role"`
	// Fence is the highest fencing number that the engine has accepted; 0 if it stores none.
	Fence int64 `json:"fence"`
}

// Validate returns what is wrong with an order. It returns an empty string for a valid order.
func (o Order) Validate() string {
	switch {
	case !slices.Contains([]Kind{LoadModel, LoadAdapter, LoadVersion, ChangeRole}, o.Kind):
		return fmt.Sprintf("%q is not one of load_model, load_adapter, load_version, change_role", o.Kind)
	case o.Name == "":
		return "the name of what to load or of the role is missing"
	}
	return ""
}

// ReadsWeights reports whether the order makes the engine read from the weight store.
func (o Order) ReadsWeights() bool { return o.Kind != ChangeRole }

// Satisfies reports whether the engine is already in the state that the order requests.
func (s State) Satisfies(o Order) bool {
	switch o.Kind {
	case LoadModel:
		return s.Model == o.Name
	case LoadAdapter:
		return slices.Contains(s.Adapters, o.Name)
	case LoadVersion:
		return s.Version == o.Name
	default:
		return s.Role == o.Name
	}
}

// Action is the next action of the lease holder.
type Action string

// Actions.
const (
	ActionSend   Action = "send"
	ActionWait   Action = "wait"
	ActionDone   Action = "done"
	ActionRefuse Action = "refuse"
)

// Decision is an action with its reason.
type Decision struct {
	Action Action
	// Until is when a wait ends.
	Until  time.Time
	Reason string
}

// Input holds everything that a decision depends on.
type Input struct {
	Order Order
	State State
	// HeldSince is when the lease was acquired.
	HeldSince time.Time
	// OutlastsDelivery is true when the lease is valid for at least DeliveryTimeout from now.
	OutlastsDelivery bool
	// FencesOrders is true when the engine refuses orders with a stale fencing number.
	FencesOrders bool
	// NextSlot is the earliest time of the next order that reads from the weight store.
	NextSlot time.Time
	// SentAt is when this holder last sent the order; zero means never.
	SentAt time.Time
}

// Decide returns whether the lease holder sends an order now, waits, has finished or refuses it.
func Decide(now time.Time, in Input) Decision {
	if in.State.Fence > in.Order.Fence {
		return Decision{Action: ActionRefuse, Reason: fmt.Sprintf("the engine has taken an order with fencing number %d, above %d",
			in.State.Fence, in.Order.Fence)}
	}
	// An order sent earlier, by this holder or another, may arrive after the engine's state was
	// read. The state counts only once no such order can be in transit.
	safeAt := in.HeldSince
	if in.SentAt.After(safeAt) {
		safeAt = in.SentAt
	}
	safeAt = safeAt.Add(DeliveryTimeout)
	if !in.FencesOrders && now.Before(safeAt) {
		return Decision{Action: ActionWait, Until: safeAt, Reason: "an order of an earlier holder may be on its way, and the engine would take it"}
	}
	switch {
	case in.State.Satisfies(in.Order):
		return Decision{Action: ActionDone, Reason: "the engine is as ordered"}
	case in.Order.ReadsWeights() && now.Before(in.NextSlot):
		return Decision{Action: ActionWait, Until: in.NextSlot, Reason: "the weight store's rate is used up"}
	case !in.OutlastsDelivery:
		return Decision{Action: ActionRefuse, Reason: "the lease ends too soon for an order to arrive within it"}
	}
	return Decision{Action: ActionSend, Reason: "the lease is held and nothing older is on its way"}
}
