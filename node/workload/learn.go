package workload

import (
	"context"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/core/ratelimit"
	"agateswitch/core/warmth"
	"agateswitch/port"
)

// bootstrapResponse lists the parts of prompts that a router assumes to be cached on engines.
type bootstrapResponse struct {
	// Bootstrapped is false while the router has only just started itself.
	Bootstrapped bool                `msgpack:"learned"`
	CachedParts  []warmth.CachedPart `msgpack:"placements"`
	// RateLimits lists the rate limits in force.
	RateLimits []ratelimit.Mark `msgpack:"limits,omitempty"`
	// Brittle lists the upstreams that are brittle.
	Brittle []ratelimit.Mark `msgpack:"brittle,omitempty"`
}

// maxBootstrapPeers is how many routers a starting one queries. A response has about 100 kB, and
// when all routers have started at once, none has anything to return.
const maxBootstrapPeers = 4

// Bootstrap requests the cached parts of all engines from routers near this one, which has just
// started. It returns false when no bootstrapped router has answered.
func (w *Workload) Bootstrap(ctx context.Context) bool {
	nearest := w.peers.Nearest()
	for _, other := range nearest[:min(maxBootstrapPeers, len(nearest))] {
		ctx, cancel := context.WithTimeout(ctx, bootstrapTimeout)
		var response bootstrapResponse
		err := w.transport.Call(ctx, other, methodBootstrap, struct{}{}, &response)
		cancel()
		if err != nil {
			w.log.Info("failed to learn warm prompts from a router", "peer", other, "err", err)
			continue
		}
		w.mu.Lock()
		w.warm.Merge(response.CachedParts, time.Now())
		w.learnRateLimits(response.RateLimits, false)
		w.learnBrittle(response.Brittle, false)
		w.bootstrapped = w.bootstrapped || response.Bootstrapped
		w.mu.Unlock()
		if response.Bootstrapped {
			w.log.Info("warm prompts learned", "peer", other, "placements", len(response.CachedParts))
			return true
		}
	}
	return false
}

// AddCached records parts that an upstream reports as cached, and publishes them.
func (w *Workload) AddCached(upstream fleet.UpstreamID, parts []string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, part := range parts {
		w.recordUse(part, upstream, time.Now())
	}
}

// SetBootstrapped records that the initial sync is over, so that this router may serve others.
func (w *Workload) SetBootstrapped() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.bootstrapped = true
}

// handleBootstrap answers a router that has just started.
func (w *Workload) handleBootstrap(context.Context, fleet.HostID, port.Decode) (any, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return bootstrapResponse{Bootstrapped: w.bootstrapped, CachedParts: w.warm.All(time.Now()), RateLimits: w.limits.InForce(time.Now()), Brittle: w.brittle.InForce(time.Now())}, nil
}
