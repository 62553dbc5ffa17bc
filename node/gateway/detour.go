package gateway

import (
	"bytes"
	"context"
	"slices"
	"time"

	"agateswitch/core/detour"
	"agateswitch/core/exchange"
	"agateswitch/core/fleet"
	"agateswitch/core/outlier"
	node "agateswitch/node/detour"
	"agateswitch/node/quarantine"
	"agateswitch/port"
)

// routerPatience is how long a request waits for a connection to another router. Its handshake needs that router's processor,
// which may stand still for a tenth of a second on a busy host, as this one's may.
const routerPatience = 400 * time.Millisecond

// choose chooses where to send the request: an upstream, or another router if this one has no path. It returns nil if
// there is neither.
func (c *callerRequest) choose(ctx context.Context) (*choice, *fleet.Refusal) {
	c.current = c.gateway.view.current.Load()
	if c.connectFailed {
		if chosen := c.chooseRouter(); chosen != nil {
			return chosen, nil
		}
	}
	permit, refusal := c.permit(ctx)
	if refusal != nil {
		return nil, refusal
	}
	s := selection{
		current: c.current, pool: c.pool, prompt: c.prompt, rank: c.rank(), tried: c.tried, alone: permit.Alone, now: time.Now(),
		lasts:     time.Until(c.deadline),
		mayDetour: c.mayDetour(), sendsForOther: c.from != "", queue: c.queueing(),
	}
	chosen := c.gateway.chooseUpstream(ctx, s)
	if chosen == nil && s.mayDetour || chosen != nil && s.isPathless(chosen) {
		if through := c.chooseRouter(); through != nil {
			c.gateway.Quarantine.Return(permit)
			return through, nil
		}
		s.mayDetour = false
		chosen = c.gateway.chooseUpstream(ctx, s)
	}
	if chosen == nil {
		c.gateway.Quarantine.Return(permit)
		return nil, nil
	}
	chosen.permit = permit
	c.tried[chosen.engine] = true
	return chosen, nil
}

// mayDetour reports whether another router may be asked, because a path of this one is in doubt. A request that was sent for
// another router goes no further.
func (c *callerRequest) mayDetour() bool {
	return c.from == "" && len(c.asked) < detour.MaxAsked && c.gateway.Fleet.Count() > 1 && c.isPoolInDoubt()
}

// isPoolInDoubt reports whether this router may not send all that it should to one of the pool's upstreams, because it was not
// reached lately.
func (c *callerRequest) isPoolInDoubt() bool {
	now := time.Now()
	return slices.ContainsFunc(c.current.engines[c.pool.ID], func(e *engine) bool {
		status := e.status(now)
		return status.upstream.State == fleet.Live && (status.path != pathUsable || status.isRecovering)
	})
}

// chooseRouter chooses the router to offer the request to, or returns nil.
func (c *callerRequest) chooseRouter() *choice {
	if !c.mayDetour() {
		return nil
	}
	via, found := c.gateway.Detours.Choose(c.pool.ID, c.asked)
	if !found {
		return nil
	}
	c.asked = append(c.asked, via)
	return &choice{via: via, permit: &quarantine.Permit{}}
}

// attemptThroughRouter has another router send the request, and passes on the answer.
func (c *callerRequest) attemptThroughRouter(ctx context.Context, chosen *choice) attemptResult {
	result := c.exchange(ctx, chosen)
	chosen.lease.End()
	outcome, hints := detour.Silent, []fleet.HostID(nil)
	if chosen.report != nil {
		outcome, hints = chosen.report.Outcome, chosen.report.Hints
	}
	if chosen.report != nil || c.request.Context().Err() == nil {
		c.gateway.Detours.Observe(c.pool.ID, chosen.via, outcome, hints)
	}
	c.gateway.Instruments.recordDetour(string(outcome))
	c.connectFailed = !result.delivered && !result.sent
	return result
}

// callThroughRouter sends the call of an attempt through another router.
func (c *callerRequest) callThroughRouter(ctx context.Context, chosen *choice, resumeAfter string) (port.UpstreamAnswer, *port.UpstreamError) {
	order := node.Order{
		Route: c.route.Name, Kind: c.route.Kind, Target: c.route.Target, MaxPause: c.route.MaxPause, Pool: c.pool.ID, Rank: c.rank(),
		TimeLeft: time.Until(c.deadline), ResumeAfter: resumeAfter, EngineEnded: c.engineEnded,
	}
	if c.team != nil {
		order.Team = c.team.Name
	}
	for e := range c.tried {
		if e.status(time.Now()).path == pathUsable {
			order.Tried = append(order.Tried, e.id)
		}
	}
	lease, err := c.lease(ctx, chosen.via)
	if err != nil {
		return port.UpstreamAnswer{}, &port.UpstreamError{Cause: err, Ran: fleet.NotRun, Fault: exchange.FaultUnreachable}
	}
	chosen.lease, order.Lease = lease, lease.Grant()
	call := port.EngineCall{ID: c.call.ID, TimeLeft: order.TimeLeft, Rank: order.Rank}
	answer, report, failure := c.gateway.Detours.Send(ctx, chosen.via, order, port.UpstreamCall{
		Request: c.call.ID, Method: c.request.Method, Path: c.request.RequestURI, Host: c.request.Host,
		Header: c.gateway.Engines.Header(c.request.Header, call), Body: bytes.NewReader(c.body), ContentLength: int64(len(c.body)),
		ConnectTimeout: routerPatience,
	})
	chosen.report = report
	if report != nil {
		c.applyReport(chosen, report)
	}
	return answer, failure
}

// lease returns a lease for a router that is going to send the request. Work that is sent nowhere else goes on without news.
func (c *callerRequest) lease(ctx context.Context, via fleet.HostID) (*node.Lease, error) {
	ctx, cancel := context.WithTimeout(ctx, routerPatience)
	defer cancel()
	return c.gateway.Detours.Lease(ctx, via, !c.route.Repeatable())
}

// awaitStop waits until no upstream works on the request any longer for the router that an attempt went through. It reports false
// if ctx ends before.
func (c *callerRequest) awaitStop(ctx context.Context, chosen *choice, result attemptResult) bool {
	hasEnded := !result.sent || result.ran != fleet.RanUnknown || chosen.report != nil && chosen.report.Failed
	return hasEnded || chosen.lease.Stop(ctx)
}

// applyReport applies what another router tells of the upstream that it has sent the request to.
func (c *callerRequest) applyReport(chosen *choice, report *node.Report) {
	chosen.upstream = fleet.Upstream{ID: report.Upstream, Version: report.Version, Pool: c.pool.ID}
	for _, e := range c.current.engines[c.pool.ID] {
		if e.id != report.Upstream {
			continue
		}
		chosen.engine = e
		if !report.Failed && report.Incarnation == e.incarnation {
			e.recordAliveElsewhere(time.Now())
		}
		if report.Sent {
			c.tried[e] = true
		}
	}
}

// handleDetourFailure evaluates a call through another router that returned no answer of an upstream.
func (c *callerRequest) handleDetourFailure(chosen *choice, failure *port.UpstreamError) attemptResult {
	result := attemptResult{sent: failure.Ran != fleet.NotRun, ran: failure.Ran, cause: failure.Error()}
	if report := chosen.report; report != nil {
		result.sent, result.refusal = report.Sent, report.Refusal
		c.engineEnded = c.engineEnded || report.EngineEnded
	}
	if result.sent {
		c.sentCount++
	}
	isMisdirected := !result.sent && chosen.report != nil && chosen.report.Arrived
	if isMisdirected {
		c.unreached++
	}
	if result.sent || isMisdirected {
		c.recordArrival()
	}
	return result
}

// isPathless reports whether the choice is an upstream to which this router has no path.
func (s *selection) isPathless(chosen *choice) bool {
	return s.mayDetour && chosen.engine.status(s.now).isPathLost
}

// recordResult records the result of a call to the upstream, unless another router has made it.
func (c *choice) recordResult(now time.Time, result outlier.Result) {
	if c.via == "" {
		c.engine.recordResult(now, result)
	}
}

// endPrefill records that the upstream has read the prompt.
func (c *choice) endPrefill() {
	if c.ticket != nil {
		c.ticket.EndPrefill()
	}
}

// incarnation returns the incarnation of the upstream; 0 if another router has chosen it.
func (c *choice) incarnation() int64 {
	if c.engine == nil {
		return 0
	}
	return c.engine.incarnation
}
