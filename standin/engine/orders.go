package engine

import (
	"encoding/json"
	"net/http"
	"sync"

	"agateswitch/adapter/upstreamhttp"
	"agateswitch/core/order"
)

// Orders handles orders to an engine. It is an http.Handler that passes other requests to the engine.
type Orders struct {
	engine http.Handler
	fences bool

	mu       sync.Mutex
	state    order.State
	accepted []order.Order
}

// WithOrders wraps an engine to handle orders. If fences is true, orders with an outdated fencing
// number are refused.
func WithOrders(engine http.Handler, fences bool) *Orders {
	return &Orders{engine: engine, fences: fences}
}

// Accepted returns the accepted orders in the order of arrival.
func (o *Orders) Accepted() []order.Order {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]order.Order(nil), o.accepted...)
}

// ServeHTTP implements http.Handler.
func (o *Orders) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != upstreamhttp.PathOrders {
		o.engine.ServeHTTP(w, r)
		return
	}
	if r.Method == http.MethodGet {
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(o.State())
		return
	}
	var given order.Order
	if err := json.NewDecoder(r.Body).Decode(&given); err != nil || given.Validate() != "" {
		http.Error(w, `{"error":{"message":"not an order"}}`, http.StatusBadRequest)
		return
	}
	if !o.Apply(given) {
		http.Error(w, `{"error":{"message":"the fencing number is old"}}`, http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// State returns the loaded model, adapters and version, the role and the fencing number.
func (o *Orders) State() order.State {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.state
}

// Apply applies an order. It returns false if the order is refused for its outdated fencing number.
func (o *Orders) Apply(given order.Order) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.fences && given.Fence < o.state.Fence {
		return false
	}
	if o.fences {
		o.state.Fence = given.Fence
	}
	o.accepted = append(o.accepted, given)
	switch given.Kind {
	case order.LoadModel:
		o.state.Model = given.Name
	case order.LoadAdapter:
		o.state.Adapters = append(append([]string(nil), o.state.Adapters...), given.Name)
	case order.LoadVersion:
		o.state.Version = given.Name
	case order.ChangeRole:
		o.state.Role = given.Name
	}
	return true
}
