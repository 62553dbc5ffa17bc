package engine

import (
	"encoding/json"
	"net/http"
	"sync"

	"agateswitch/adapter/upstreamhttp"
	"agateswitch/core/order"
)

// Orders takes orders for an engine. It is an http.Handler that passes other calls on.
type Orders struct {
	engine http.Handler
	fences bool

	mu    sync.Mutex
	state order.State
	taken []order.Order
}

// WithOrders wraps an engine. Fences makes it refuse orders with an old fencing number.
func WithOrders(engine http.Handler, fences bool) *Orders {
	return &Orders{engine: engine, fences: fences}
}

// Taken returns the orders that were taken, in their order.
func (o *Orders) Taken() []order.Order {
	o.mu.Lock()
	defer o.mu.Unlock()
	return append([]order.Order(nil), o.taken...)
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
	if !o.Take(given) {
		http.Error(w, `{"error":{"message":"the fencing number is old"}}`, http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// State returns what is loaded, and the role.
func (o *Orders) State() order.State {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.state
}

// Take carries out an order, and returns false if its fencing number is old.
func (o *Orders) Take(given order.Order) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.fences && given.Fence < o.state.Fence {
		return false
	}
	if o.fences {
		o.state.Fence = given.Fence
	}
	o.taken = append(o.taken, given)
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
