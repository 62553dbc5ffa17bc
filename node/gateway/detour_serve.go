package gateway

import (
	"context"
	"net/http"
	"time"

	"agateswitch/core/admission"
	"agateswitch/core/detour"
	"agateswitch/core/fleet"
	"agateswitch/core/routing"
	"agateswitch/core/warmth"
	node "agateswitch/node/detour"
)

// maxDetourAttempts is how many upstreams this router may fail to reach for a request of another router.
const maxDetourAttempts = 2

// routerOwner precedes the id of another router as the owner of what its requests hold.
const routerOwner = "router "

// retryDecidedByAsker is the reason in the log for an attempt that another router has asked for.
const retryDecidedByAsker admission.RetryReason = "the asking router decides"

// ServeDetour sends a request of another router to an upstream, once, and answers with the upstream's answer or with a report
// of what became of the request.
func (g *Gateway) ServeDetour(w http.ResponseWriter, r *http.Request, from fleet.HostID) {
	g.running.Add(1)
	defer g.running.Done()
	order, err := node.ReadOrder(r.Header)
	held := g.Intake.Begin(r.Context(), w)
	defer held.End()
	held.Allow(true, 0)
	held.Assign(routerOwner + string(from))
	c := &callerRequest{gateway: g, writer: w, request: r, began: time.Now(), call: g.Callers.Read(r), from: from, intake: held}
	c.deadline = c.began.Add(order.TimeLeft)
	if err != nil {
		c.reportFailure(node.Report{Outcome: detour.Busy, Ran: fleet.NotRun, Cause: err.Error()})
		return
	}
	end, admitted := g.Detours.Begin(order.Rank)
	if !admitted || g.isLeaving() {
		c.reportFailure(node.Report{Outcome: detour.Busy, Ran: fleet.NotRun, Cause: "the router takes no more requests of others"})
		return
	}
	defer end()
	if order.Lease != nil && !c.beginWork(*order.Lease) {
		c.reportFailure(node.Report{Outcome: detour.Busy, Ran: fleet.NotRun, Cause: "the lease has ended"})
		return
	}
	if c.work != nil {
		defer c.work.End()
	}
	if report := c.prepareDetour(order); report != nil {
		c.reportFailure(*report)
		return
	}
	ctx, cancel := context.WithDeadline(c.request.Context(), c.deadline)
	defer cancel()
	defer context.AfterFunc(g.working, cancel)()
	c.sendForOther(ctx)
}

// beginWork takes the lease of a request of another router. The end of the lease is like the leaving of a caller.
func (c *callerRequest) beginWork(grant node.Grant) bool {
	ctx, work, isGood := c.gateway.Detours.BeginWork(c.request.Context(), c.from, grant)
	c.request, c.work = c.request.WithContext(ctx), work
	return isGood
}

// prepareDetour sets up a request of another router. It returns a report if it can't be sent.
func (c *callerRequest) prepareDetour(order node.Order) *node.Report {
	c.ran, c.tried, c.engineEnded = fleet.NotRun, map[*engine]bool{}, order.EngineEnded
	c.holding = c.newHolding()
	if c.current = c.gateway.view.current.Load(); c.current == nil {
		return &node.Report{Outcome: detour.NoPath, Ran: fleet.NotRun, Cause: "no desired state is known yet"}
	}
	pool, found := c.current.table.Pool(order.Pool)
	if !found {
		return &node.Report{Outcome: detour.NoPath, Ran: fleet.NotRun, Cause: "the pool is not declared"}
	}
	c.pool = pool
	// The router that took the request decides on further attempts, and on how long this one may take.
	c.route = &routing.Route{
		Name: order.Route, Kind: order.Kind, Target: order.Target, MaxPause: order.MaxPause, MaxAttempts: 1, Rank: order.Rank,
	}
	if order.Team != "" {
		c.team = &routing.Team{Name: order.Team, Rank: order.Rank, HasRank: true}
	}
	for _, part := range c.call.Prompt {
		c.prompt = append(c.prompt, warmth.Part(part))
	}
	c.parts = c.quarantineParts()
	c.stream.lastEventID = order.ResumeAfter
	for _, e := range c.current.engines[order.Pool] {
		for _, tried := range order.Tried {
			c.tried[e] = c.tried[e] || e.id == tried
		}
	}
	for e, isTried := range c.tried {
		if !isTried {
			delete(c.tried, e)
		}
	}
	if err := http.NewResponseController(c.writer).SetReadDeadline(c.deadline); err != nil {
		return &node.Report{Outcome: detour.Busy, Ran: fleet.NotRun, Cause: "the time for the body could not be set: " + err.Error()}
	}
	body, err := c.intake.ReadBody(c.request.Context(), http.MaxBytesReader(c.writer, c.request.Body, c.current.table.State.Limits.BodyBytes), c.request.ContentLength)
	if err != nil {
		return &node.Report{Outcome: detour.Busy, Ran: fleet.NotRun, Cause: "the body could not be read: " + err.Error()}
	}
	c.body = body
	if !c.intake.Keep() {
		return &node.Report{Outcome: detour.Busy, Ran: fleet.NotRun, Cause: "the router holds too much for others"}
	}
	if err := http.NewResponseController(c.writer).SetReadDeadline(time.Time{}); err != nil {
		return &node.Report{Outcome: detour.Busy, Ran: fleet.NotRun, Cause: "the time for the body could not be ended: " + err.Error()}
	}
	return nil
}

// sendForOther sends the request to an upstream. Only upstreams that were not reached are followed by another one: the router that took
// the request draws its further arrivals from the retry budget.
func (c *callerRequest) sendForOther(ctx context.Context) {
	defer c.holding.release()
	report := node.Report{Outcome: detour.NoPath, Ran: fleet.NotRun, Cause: "no upstream can take the request now"}
	for range maxDetourAttempts {
		chosen, refusal := c.choose(ctx)
		if refusal != nil {
			report = node.Report{Outcome: detour.Reached, Ran: fleet.NotRun, Cause: refusal.Message, Refusal: refusal}
			break
		}
		if chosen == nil {
			if c.hasReachable() {
				report.Outcome = detour.Busy
			}
			break
		}
		report = node.Report{Outcome: detour.Reached, Upstream: chosen.upstream.ID, Incarnation: chosen.engine.incarnation, Version: chosen.upstream.Version}
		if err := node.WriteReport(c.writer.Header(), c.call.ID, report); err != nil {
			c.gateway.Log.Error("failed to write the report of a detour", "request", c.call.ID, "err", err)
		}
		result := c.attempt(ctx, chosen)
		c.gateway.Quarantine.Return(chosen.permit)
		if result.delivered {
			return
		}
		c.logAttempt(chosen, result, retryDecidedByAsker)
		if c.failureAnswer != nil {
			c.deliver(c.failureAnswer)
			return
		}
		if c.stream.begun {
			panic(http.ErrAbortHandler)
		}
		report.Sent, report.Ran, report.Cause, report.EngineEnded = result.sent, result.ran, result.cause, c.engineEnded
		report.Arrived = c.arrivals > 0
		if report.Arrived || ctx.Err() != nil {
			break
		}
		report.Outcome = detour.NoPath
	}
	c.reportFailure(report)
}

// hasReachable reports whether this router reaches an upstream of the pool, as far as it knows.
func (c *callerRequest) hasReachable() bool {
	now := time.Now()
	for _, e := range c.current.engines[c.pool.ID] {
		if status := e.status(now); status.upstream.State == fleet.Live && status.path == pathUsable {
			return true
		}
	}
	return false
}

// reportFailure answers another router with a report only.
func (c *callerRequest) reportFailure(report node.Report) {
	report.Failed = true
	if report.Outcome == detour.NoPath && c.pool != nil {
		report.Hints = c.gateway.Detours.Hints(c.pool.ID)
	}
	c.gateway.Log.Info("request of another router not answered", "request", c.call.ID, "from", c.from, "outcome", report.Outcome,
		"sent", report.Sent, "ran", report.Ran, "cause", report.Cause, "took", time.Since(c.began))
	if err := node.WriteReport(c.writer.Header(), c.call.ID, report); err != nil {
		c.gateway.Log.Error("failed to write the report of a detour", "request", c.call.ID, "err", err)
	}
	c.writer.Header().Set("Content-Length", "0")
	c.writer.WriteHeader(http.StatusServiceUnavailable)
}
