// Package order decides when an order to an engine may be sent. It is pure: the lease, the
// engine's state and a time go in, and a decision with its reason comes out.
//
// Orders carry the fencing number of the lease under which they are sent. Engines that
// check it refuse an order with an older one. For those that do not, a new holder waits
// until no order of an earlier holder can be on its way.
package order

import (
	"fmt"
	"slices"
	"time"
)

// Flight is the longest time from the check of the lease until an order has arrived or is
// given up.
const Flight = 3 * time.Second

// SlotInterval is the time between two orders that read from the weight store, over the
// whole fleet.
const SlotInterval = 10 * time.Second

// Kind names what an order changes.
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

// State is what an engine tells about itself.
type State struct {
	Model    string   `json:"model"`
	Adapters []string `json:"adapters"`
	Version  string   `json:"version"`
	Role     string   `json:"role"`
	// Fence is the highest fencing number that the engine has taken; 0 if it keeps none.
	Fence int64 `json:"fence"`
}

// Validate explains what is wrong with an order; empty when nothing is.
func (o Order) Validate() string {
	switch {
	case !slices.Contains([]Kind{LoadModel, LoadAdapter, LoadVersion, ChangeRole}, o.Kind):
		return fmt.Sprintf("%q is not one of load_model, load_adapter, load_version, change_role", o.Kind)
	case o.Name == "":
		return "the name of what to load or of the role is missing"
	}
	return ""
}

// ReadsWeights tells whether the order makes the engine read from the weight store.
func (o Order) ReadsWeights() bool { return o.Kind != ChangeRole }

// Fulfils tells whether an engine is as the order wants it.
func (s State) Fulfils(o Order) bool {
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

// Action is what the holder of the lease does next.
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

// Input is what a decision depends on.
type Input struct {
	Order Order
	State State
	// HeldSince is when the lease was taken.
	HeldSince time.Time
	// OutlastsFlight is true when the lease is valid for Flight from now.
	OutlastsFlight bool
	// FencesOrders is true when the engine refuses orders with an old fencing number.
	FencesOrders bool
	// NextSlot is when the weight store may be read next.
	NextSlot time.Time
	// SentAt is when this holder last sent the order; zero before the first time.
	SentAt time.Time
}

// Decide tells whether an order may be sent now.
func Decide(now time.Time, in Input) Decision {
	if in.State.Fence > in.Order.Fence {
		return Decision{Action: ActionRefuse, Reason: fmt.Sprintf("the engine has taken an order with fencing number %d, above %d",
			in.State.Fence, in.Order.Fence)}
	}
	// An earlier holder's order may come after the engine's state was read.
	quiet := in.HeldSince
	if in.SentAt.After(quiet) {
		quiet = in.SentAt
	}
	quiet = quiet.Add(Flight)
	if !in.FencesOrders && now.Before(quiet) {
		return Decision{Action: ActionWait, Until: quiet, Reason: "an order of an earlier holder may be on its way, and the engine would take it"}
	}
	switch {
	case in.State.Fulfils(in.Order):
		return Decision{Action: ActionDone, Reason: "the engine is as ordered"}
	case in.Order.ReadsWeights() && now.Before(in.NextSlot):
		return Decision{Action: ActionWait, Until: in.NextSlot, Reason: "the weight store's rate is used up"}
	case !in.OutlastsFlight:
		return Decision{Action: ActionRefuse, Reason: "the lease ends too soon for an order to arrive within it"}
	}
	return Decision{Action: ActionSend, Reason: "the lease is held and nothing older is on its way"}
}
