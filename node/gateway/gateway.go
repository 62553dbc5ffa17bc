// Package gateway serves callers' requests by host and path: it finds the route and the team,
// chooses an upstream, and brings its answer back whole. Every decision is made on this router
// from its replica of the store; nothing on the path of a request waits for another router.
package gateway

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/core/pace"
	"agateswitch/core/routing"
	"agateswitch/node/replica"
	"agateswitch/node/versionmove"
	"agateswitch/node/workload"
	"agateswitch/port"

	"github.com/charmbracelet/log"
)

// Fleet tells about the other routers.
type Fleet interface {
	// Count is the number of routers that may send to upstreams.
	Count() int
	// Rank is this router's place in the order of all routers for a key.
	Rank(key string) int
}

// Newest makes sure that the desired state in force is the newest.
type Newest interface {
	Confirm(ctx context.Context) error
	// Age is how old the state may be.
	Age() time.Duration
}

// Bounds are the platform's figures that decisions depend on.
type Bounds struct {
	// RetryRatio and RetryExtra bound the retries of the whole fleet in RetryWindow:
	// RetryRatio of the requests for a pool, and RetryExtra more.
	RetryRatio  float64
	RetryExtra  float64
	RetryWindow time.Duration
}

// Parts are what a gateway works with.
type Parts struct {
	port.Edge
	Newest   Newest
	Fleet    Fleet
	Workload *workload.Workload
	Moves    *versionmove.Service
	// Instruments count what the gateway does.
	Instruments Instruments
	Log         *log.Logger
}

// Gateway is an http.Handler. It is safe for concurrent use.
type Gateway struct {
	Parts
	view    *view
	bounds  atomic.Pointer[Bounds]
	leaving atomic.Bool
	// running counts requests from callers.
	running sync.WaitGroup

	mu      sync.Mutex
	retries map[fleet.PoolID]*pace.WindowedRetryBudget
}

// New makes a gateway. Its Observe is to be subscribed to the replica.
func New(parts Parts, bounds Bounds) *Gateway {
	g := &Gateway{
		Parts: parts, view: newView(parts.Codec, parts.Workload.RemoveCached, parts.Log), retries: map[fleet.PoolID]*pace.WindowedRetryBudget{},
	}
	g.SetBounds(bounds)
	return g
}

// SetBounds puts changed bounds in force. A changed window counts from now on.
func (g *Gateway) SetBounds(bounds Bounds) {
	old := g.bounds.Swap(&bounds)
	if old != nil && old.RetryWindow != bounds.RetryWindow {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.retries = map[fleet.PoolID]*pace.WindowedRetryBudget{}
	}
}

// Observe takes changes of the store.
func (g *Gateway) Observe(changes []replica.Change) { g.view.observe(changes) }

// Ready is closed once a desired state is in force.
func (g *Gateway) Ready() <-chan struct{} { return g.view.ready }

// Leave makes callers move their connections to other routers: each answer closes its own.
func (g *Gateway) Leave() { g.leaving.Store(true) }

// Wait returns when no request runs.
func (g *Gateway) Wait() { g.running.Wait() }

// Limits returns what callers may send and how long they may take; false before the first
// desired state.
func (g *Gateway) Limits() (routing.Limits, bool) {
	current := g.view.current.Load()
	if current == nil {
		return routing.Limits{}, false
	}
	return current.table.State.Limits, true
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.running.Add(1)
	defer g.running.Done()
	if g.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	x := &exchange{gateway: g, writer: w, request: r, began: time.Now(), call: g.Callers.Read(r)}
	x.serve()
}

// countRequest counts a request in its pool's retry budget.
func (g *Gateway) countRequest(pool fleet.PoolID, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget(pool).RecordRequest(now)
}

// mayRetry takes a retry from this router's share of its pool's budget.
func (g *Gateway) mayRetry(pool fleet.PoolID, now time.Time) bool {
	bounds := g.bounds.Load()
	extra := bounds.RetryExtra / float64(g.Fleet.Count())
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget(pool).AllowRetry(now, bounds.RetryRatio*retryMargin, extra*retryMargin)
}

// retryMargin is the part of the retry budget that is used: requests that a router has counted
// and an upstream has not yet seen are no base of the budget.
const retryMargin = 0.8

func (g *Gateway) budget(pool fleet.PoolID) *pace.WindowedRetryBudget {
	budget, found := g.retries[pool]
	if !found {
		budget = pace.NewWindowedRetryBudget(g.bounds.Load().RetryWindow)
		g.retries[pool] = budget
	}
	return budget
}
