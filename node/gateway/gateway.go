// Package gateway handles callers' requests by host and path: it looks up the route and the team,
// chooses an upstream, and returns the upstream's complete answer. Each decision is made on this
// router from its replica of the store; no request waits for another router.
package gateway

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"agateswitch/core/balance"
	"agateswitch/core/fleet"
	"agateswitch/core/pace"
	"agateswitch/core/routing"
	"agateswitch/node/detour"
	"agateswitch/node/intake"
	"agateswitch/node/quarantine"
	"agateswitch/node/ratelimit"
	"agateswitch/node/replica"
	"agateswitch/node/room"
	"agateswitch/node/versionmove"
	"agateswitch/node/workload"
	"agateswitch/port"

	"github.com/charmbracelet/log"
)

// Fleet provides the number of routers and this router's rank among them.
type Fleet interface {
	// Count returns the number of routers that may send to upstreams.
	Count() int
	// Rank returns this router's position, from 0, in the rendezvous order of all routers for a key.
	Rank(key string) int
}

// Freshness checks whether the desired state in force is the newest.
type Freshness interface {
	// Confirm returns nil once the desired state in force is known to be the newest.
	Confirm(ctx context.Context) error
	// DesiredAge returns the time since that was last known.
	DesiredAge() time.Duration
}

// RetryLimits limits the retries of the whole fleet for each pool: within Window, their number may
// be Ratio times the requests for the pool, plus Extra.
type RetryLimits struct {
	Ratio  float64
	Extra  float64
	Window time.Duration
}

// Dependencies holds the components that a gateway uses.
type Dependencies struct {
	port.Edge
	Freshness Freshness
	Fleet     Fleet
	Workload  *workload.Workload
	Moves     *versionmove.Service
	// Detours sends requests through other routers.
	Detours *detour.Service
	// RateLimits divides the rate limits that upstreams state.
	RateLimits *ratelimit.Service
	// Room divides the room of brittle upstreams.
	Room *room.Service
	// Queues holds the queues of small pools.
	Queues *room.Queues
	// Quarantine holds back requests that crash engines, and QuarantineKey is the key of the digests by which it
	// knows whole requests.
	Quarantine    *quarantine.Service
	QuarantineKey []byte
	// Intake is the memory that callers hold; nil for one of the default size.
	Intake *intake.Account
	// Answers is the memory that the requests hold of large answers; nil for one of the default size.
	Answers *intake.Account
	// FirstStart is true if the router starts together with the whole fleet for the first time.
	FirstStart bool
	// Begin is called once for each request that an upstream has begun to run; nil if nobody wants to know.
	Begin func(team fleet.Team)
	// Instruments records the gateway's metrics.
	Instruments Instruments
	Log         *log.Logger
}

// Gateway is an http.Handler for callers' requests. It is safe for concurrent use.
type Gateway struct {
	Dependencies
	view        *view
	retryLimits atomic.Pointer[RetryLimits]
	loadBound   atomic.Pointer[balance.Bound]
	smallPool   atomic.Pointer[SmallPool]
	placement   atomic.Pointer[Placement]
	// stopping is nil before a planned stop. working ends with the work on requests.
	stopping atomic.Pointer[stopTimes]
	working  context.Context
	endWork  context.CancelFunc
	// running counts the running requests of callers.
	running sync.WaitGroup
	// checksDue is notified when a path to an upstream has come into doubt.
	checksDue chan struct{}

	mu          sync.Mutex
	retryBudget *pace.FleetRetryBudget[fleet.PoolID]
}

// DefaultIntakeBytes is what callers may make a router hold on a host whose memory is not known.
const DefaultIntakeBytes = 256 << 20

// New returns a gateway. Its Observe method must be subscribed to the replica.
func New(dependencies Dependencies, limits RetryLimits, bound balance.Bound) *Gateway {
	if dependencies.Intake == nil {
		dependencies.Intake = intake.NewAccount(DefaultIntakeBytes)
	}
	if dependencies.Answers == nil {
		dependencies.Answers = NewAnswerAccount(0)
	}
	g := &Gateway{
		Dependencies: dependencies, checksDue: make(chan struct{}, 1),
		retryBudget: pace.NewFleetRetryBudget[fleet.PoolID](time.Now(), limits.Window, !dependencies.FirstStart),
		view:        newView(dependencies.Codec, dependencies.Workload.RemoveCached, dependencies.Workload.Leaves, dependencies.Log),
	}
	g.working, g.endWork = context.WithCancel(context.Background())
	g.view.onLost = dependencies.Quarantine.Lost
	dependencies.Workload.OnLeaving(g.view.markLeaving)
	g.SetRetryLimits(limits)
	g.SetLoadBound(bound)
	g.SetSmallPool(SmallPool{})
	g.SetPlacement(Placement{})
	return g
}

// SetRetryLimits applies changed limits. A change of the window resets the recorded requests and
// retries, as a restart does.
func (g *Gateway) SetRetryLimits(limits RetryLimits) {
	old := g.retryLimits.Swap(&limits)
	if old != nil && old.Window != limits.Window {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.retryBudget = pace.NewFleetRetryBudget[fleet.PoolID](time.Now(), limits.Window, true)
	}
}

// SetLoadBound applies a changed bound on what one upstream may hold.
func (g *Gateway) SetLoadBound(bound balance.Bound) { g.loadBound.Store(&bound) }

// Observe applies changes of the store apart from the desired state.
func (g *Gateway) Observe(changes []replica.Change) {
	g.view.applyChanges(changes)
	// An upstream may have returned whose path is in doubt.
	g.checkPaths()
}

// ObserveDesired puts a desired state in force.
func (g *Gateway) ObserveDesired(entry port.Entry) { g.view.applyDesired(entry) }

// Ready is closed once a desired state is in force.
func (g *Gateway) Ready() <-chan struct{} { return g.view.ready }

// Wait blocks until no request is running.
func (g *Gateway) Wait() { g.running.Wait() }

// Version returns the version of the desired state in force; 0 means that there is none yet.
func (g *Gateway) Version() int64 {
	if current := g.view.current.Load(); current != nil {
		return current.table.State.Version
	}
	return 0
}

// Limits returns the size and time limits for callers, or false before the first desired state.
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
	if g.isLeaving() {
		w.Header().Set("Connection", "close")
	}
	held := g.Intake.Begin(r.Context(), w)
	defer held.End()
	c := &callerRequest{gateway: g, writer: w, request: r, began: time.Now(), call: g.Callers.Read(r), intake: held}
	c.serve()
}

// recordRequest records a request in its pool's retry budget.
func (g *Gateway) recordRequest(pool fleet.PoolID, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.retryBudget.RecordRequest(now, pool)
}

// fleetSampleInterval is how often the number of routers is recorded when there are no requests.
const fleetSampleInterval = time.Second

// sampleFleet records the number of routers in the retry budget until ctx ends.
func (g *Gateway) sampleFleet(ctx context.Context) {
	for pause(ctx, fleetSampleInterval) {
		routers := g.Fleet.Count()
		g.mu.Lock()
		g.retryBudget.RecordRouters(time.Now(), routers)
		g.mu.Unlock()
	}
}

// allowRetry reports whether this router's share of the pool's retry budget allows a retry, and
// records it if so.
func (g *Gateway) allowRetry(pool fleet.PoolID, now time.Time) bool {
	limits, routers := g.retryLimits.Load(), g.Fleet.Count()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.retryBudget.AllowRetry(now, pool, routers, limits.Ratio*usableRetryFraction, limits.Extra*usableRetryFraction)
}

// usableRetryFraction is the fraction of the retry budget that is used. The rest compensates for
// requests that the router has recorded but that no upstream has received yet, because the limit
// relates to received requests.
const usableRetryFraction = 0.8
