package gateway

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"agateswitch/core/admission"
	"agateswitch/core/exchange"
	"agateswitch/core/fleet"
	"agateswitch/core/outlier"
	"agateswitch/core/quarantine"
	"agateswitch/core/rollout"
	"agateswitch/core/routing"
	"agateswitch/core/warmth"
	"agateswitch/node/detour"
	"agateswitch/node/intake"
	"agateswitch/port"

	"github.com/juju/errors"
)

// Limits on the wait for the desired state, and retry delays for refused callers.
const (
	// initialStateTimeout is how long a request waits for the first desired state of a router that
	// has just started. It is sufficient for a few calls to the store.
	initialStateTimeout = 300 * time.Millisecond
	// stateRetryAfter is the mean retry delay for callers of a router that has no desired state or
	// cannot confirm it, because the store is unavailable, mostly for seconds. Callers limit the
	// delay to a third of their remaining time, which is 1 s to 2 s with the users' deadlines.
	stateRetryAfter = time.Second
	// busyRetryAfter is the mean retry delay when no upstream admits a request. A cold or fully
	// loaded upstream completes some of its work in that time.
	busyRetryAfter = 400 * time.Millisecond
)

// callerRequest is one request of a caller and the state of its handling.
type callerRequest struct {
	gateway *Gateway
	writer  http.ResponseWriter
	request *http.Request
	began   time.Time
	call    port.CallerCall

	// current is the snapshot that applies to the current step.
	current *snapshot
	route   *routing.Route
	pool    *routing.Pool
	team    *routing.Team
	body    []byte
	// bodyBegun is true once the body is being read, and bodyRead once it is complete.
	bodyBegun, bodyRead bool

	deadline time.Time
	// intake is what the request holds of its caller's.
	intake *intake.Holder

	// prompt lists the parts of the request's prompt, and parts those that other requests may share.
	prompt []warmth.Part
	parts  []quarantine.Part
	// asked lists the routers that the request was offered to, and from is the one that has asked this router to send it.
	asked []fleet.HostID
	from  fleet.HostID
	// work is the lease under which this router sends the request for from; nil if it has none.
	work *detour.Work
	// connectFailed is true if the last attempt found no connection to its upstream.
	connectFailed bool
	// unreached is the number of attempts that found no connection, or another upstream at the address.
	unreached int
	// whole is the id of the request as a whole; empty until it is needed.
	whole quarantine.Part
	// engineEnded is true once an engine has ended while it worked on the request.
	engineEnded bool
	tried       map[*engine]bool
	// sentCount is the number of upstreams that the request was sent to.
	sentCount int
	// arrivals is the number of times that the request may have reached an upstream, whatever came of it.
	arrivals int
	// isRepeatDrawn is true if the next arrival has been drawn from the retry budget.
	isRepeatDrawn bool
	// ran states whether the request may have run on any of them.
	ran fleet.Ran
	// hasBegun is true once an upstream has begun to run the request.
	hasBegun bool
	// failureAnswer is an upstream's error answer. The caller receives it if no upstream returns
	// another answer.
	failureAnswer *answer
	// stream is the state of the stream to the caller.
	stream streamState
	// queue is the request's queueing on small pools.
	queue queueing
	// holding is what the request holds of large answers.
	holding holding
	// lastCause is the cause of the last failed attempt, for the log.
	lastCause string
}

// serve handles the request.
func (c *callerRequest) serve() {
	c.ran = fleet.NotRun
	c.holding = c.newHolding()
	defer c.holding.release()
	c.tried = map[*engine]bool{}
	for _, part := range c.call.Prompt {
		c.prompt = append(c.prompt, warmth.Part(part))
	}
	c.parts = c.quarantineParts()
	if refusal := c.prepare(); refusal != nil {
		c.refuse(refusal)
		return
	}
	ctx, cancel := context.WithDeadline(c.request.Context(), c.deadline)
	defer cancel()
	defer context.AfterFunc(c.gateway.working, cancel)()
	c.forward(ctx)
}

// sharedParts returns the parts of the prompt that other requests may share. The last part is
// specific to the request.
func (c *callerRequest) sharedParts() []warmth.Part { return c.prompt[:max(0, len(c.prompt)-1)] }

// forward sends the request to one upstream after another until one answers it or no further
// attempt is allowed.
func (c *callerRequest) forward(ctx context.Context) {
	for {
		chosen, refusal := c.choose(ctx)
		if refusal != nil {
			c.failQuarantined(refusal)
			return
		}
		if chosen == nil {
			c.failRequest(fleet.CodeNoUpstream, "no upstream can take the request now")
			return
		}
		result := c.attempt(ctx, chosen)
		c.gateway.Quarantine.Return(chosen.permit)
		if result.refusal != nil {
			c.failQuarantined(result.refusal)
			return
		}
		if result.delivered {
			return
		}
		c.lastCause = result.cause
		if result.ran != fleet.NotRun {
			c.ran = result.ran
		}
		if err := c.request.Context().Err(); err != nil {
			c.logCallerDisconnected(err)
			return
		}
		retry := admission.RetryExceedsDeadline
		if ctx.Err() == nil {
			retry = c.decideRetry(result)
		}
		c.logAttempt(chosen, result, retry)
		if ctx.Err() != nil {
			c.failEnded()
			return
		}
		if retry != admission.RetryAllowed {
			c.failRequest(fleet.CodeUpstreamFailed, result.cause)
			return
		}
		if !c.awaitStop(ctx, chosen, result) {
			c.failEnded()
			return
		}
	}
}

// maxUnreachableAttempts is how many upstreams a request may fail to reach before it is refused. Those whose address belongs to
// another one count.
const maxUnreachableAttempts = 4

// connectPatience is how long a request waits for a connection while there is another way. A connection takes some
// milliseconds; a busy host with a share of a core may stand still for a tenth of a second.
const connectPatience = 200 * time.Millisecond

// decideRetry returns RetryAllowed if the request may be sent to another upstream, and otherwise the
// reason why not.
func (c *callerRequest) decideRetry(result attemptResult) admission.RetryReason {
	switch {
	case !result.sent && c.unreached >= maxUnreachableAttempts:
		return admission.RetryAttemptsExhausted
	case result.sent && (c.ran != fleet.NotRun && !c.route.Repeatable() || c.stream.begun && c.stream.lastEventID == ""):
		return admission.RetryMayHaveRun
	case result.sent && c.sentCount >= c.route.MaxAttempts:
		return admission.RetryAttemptsExhausted
	case !c.drawRepeat():
		return admission.RetryBudgetExhausted
	}
	return admission.RetryAllowed
}

// drawRepeat draws the request's next arrival from the retry budget, if it is not the first one. It reports false if the budget is spent.
// A draw holds until the request arrives, however many upstreams it fails to reach before.
func (c *callerRequest) drawRepeat() bool {
	if c.arrivals > 0 && !c.isRepeatDrawn {
		c.isRepeatDrawn = c.gateway.allowRetry(c.pool.ID, time.Now())
		return c.isRepeatDrawn
	}
	return true
}

// recordArrival records that the request may have reached an upstream.
func (c *callerRequest) recordArrival() {
	if c.arrivals > 0 {
		c.gateway.Instruments.recordRepeat(string(c.pool.ID), c.isRepeatDrawn)
	}
	c.arrivals++
	c.isRepeatDrawn = false
}

// failRequest ends a request that no upstream has answered: it aborts a stream that has begun, and
// otherwise sends an upstream's error answer or a refusal.
func (c *callerRequest) failRequest(code fleet.Code, why string) {
	if c.stream.begun {
		c.gateway.Log.Info("stream to the caller aborted before its end", "request", c.call.ID, "route", c.route.Name,
			"events", c.stream.eventCount, "cause", why, "took", time.Since(c.began))
		panic(http.ErrAbortHandler)
	}
	if c.failureAnswer != nil {
		c.deliver(c.failureAnswer)
		return
	}
	if c.ran == fleet.NotRun {
		if code == fleet.CodeDeadline {
			c.refuse(fleet.Refuse(code, why, 0))
			return
		}
		c.refuse(fleet.Refuse(code, why, c.retryAfter()))
		return
	}
	c.refuse(fleet.RefuseUnknown(code, why))
}

// failQuarantined ends a request that must not be sent because it is held back or suspected.
func (c *callerRequest) failQuarantined(refusal *fleet.Refusal) {
	if c.ran == fleet.NotRun && !c.stream.begun {
		c.refuse(refusal)
		return
	}
	c.failRequest(fleet.CodeUpstreamFailed, refusal.Message)
}

// rank returns the request's urgency. The team's rank takes precedence over the route's.
func (c *callerRequest) rank() int {
	if c.team != nil && c.team.HasRank {
		return c.team.Rank
	}
	return c.route.Rank
}

// callUpstream sends the call of an attempt. A non-empty resumeAfter requests only the events after
// that event.
func (c *callerRequest) callUpstream(ctx context.Context, chosen *choice, resumeAfter string) (port.UpstreamAnswer, *port.UpstreamError) {
	if chosen.via != "" {
		return c.callThroughRouter(ctx, chosen, resumeAfter)
	}
	call := port.EngineCall{
		ID: c.call.ID, Upstream: chosen.upstream.ID, TimeLeft: time.Until(c.deadline), Rank: c.rank(), ResumeAfter: resumeAfter,
		FetchFrom: chosen.fetchFrom,
	}
	if c.team != nil {
		call.Team = c.team.Name
	}
	patience := time.Duration(0)
	if chosen.hasAlternative {
		patience = connectPatience
	}
	return c.gateway.Upstreams.Send(ctx, port.UpstreamCall{
		ConnectTimeout: patience,
		Upstream:       chosen.upstream, Request: c.call.ID, Method: c.request.Method, Path: c.request.RequestURI,
		Host: c.request.Host, Header: c.gateway.Engines.Header(c.request.Header, call),
		Body: bytes.NewReader(c.body), ContentLength: int64(len(c.body)),
		MaySend: func() bool { return c.maySend(chosen) },
	})
}

// maySend reports whether the request may still be sent to the upstream, once there is a connection to it.
func (c *callerRequest) maySend(chosen *choice) bool {
	g := c.gateway
	return (c.work == nil || c.work.MaySend()) && g.view.current.Load().acceptsWork(c.pool.ID, chosen.engine) &&
		!g.isDisplaced(chosen.engine, chosen.upstream) && g.Moves.MaySend(c.pool.ID, chosen.upstream.Version) &&
		g.Quarantine.MaySend(c.suspectParts()) && g.isWithinLimit(chosen) && g.hasPlace(c.pool.ID, chosen)
}

// attemptResult is the result of an attempt.
type attemptResult struct {
	// delivered is true when the caller has received the answer, or disconnected while it was sent.
	delivered bool
	// sent is true when the upstream may have received the request.
	sent bool
	ran  fleet.Ran
	// cause describes the failure when the answer was not delivered.
	cause string
	// refusal is set if another router has found that the request must not be sent now.
	refusal *fleet.Refusal
}

// attempt sends the request to one upstream and its answer to the caller.
func (c *callerRequest) attempt(ctx context.Context, chosen *choice) (result attemptResult) {
	if chosen.via != "" {
		return c.attemptThroughRouter(ctx, chosen)
	}
	chosen.ticket = c.gateway.Workload.Start(chosen.engine.id, chosen.uncached, c.sharedParts())
	defer chosen.ticket.End()
	defer func() { chosen.leaveSeat(result) }()
	stratum := rollout.Stratum{Route: c.route.Name, Cold: chosen.isCold()}
	c.gateway.Moves.Start(c.pool.ID, chosen.upstream.Version, stratum)
	c.recordSent(chosen)
	result = c.exchange(ctx, chosen)
	if chosen.place != nil {
		chosen.place.Return(result.sent && result.ran == fleet.NotRun)
	}
	if !result.delivered && !result.sent {
		c.gateway.Moves.Reached(&chosen.versions, "")
	}
	switch {
	case !result.delivered && result.ran == fleet.NotRun:
		c.gateway.Moves.Refuse(c.pool.ID, chosen.upstream.Version, stratum)
	case result.delivered || result.sent && c.request.Context().Err() == nil && !c.gateway.hasEndedWork():
		c.gateway.Moves.Add(c.evidence(chosen, result))
	}
	return result
}

// exchange sends the request and passes on the answer, as the route's kind requires.
func (c *callerRequest) exchange(ctx context.Context, chosen *choice) attemptResult {
	chosen.sentAt = time.Now()
	if c.route.Kind == routing.Streaming {
		return c.attemptStream(ctx, chosen)
	}
	return c.attemptBuffered(ctx, chosen)
}

// handleSendFailure evaluates a call that returned no answer. It counts the failure against the
// upstream unless the caller disconnected.
func (c *callerRequest) handleSendFailure(ctx context.Context, chosen *choice, failure *port.UpstreamError) attemptResult {
	if chosen.via != "" {
		return c.handleDetourFailure(chosen, failure)
	}
	result := attemptResult{sent: failure.Ran != fleet.NotRun, ran: failure.Ran, cause: failure.Error()}
	if result.sent {
		c.sentCount++
		c.recordArrival()
	}
	c.connectFailed = !result.sent && failure.Fault == exchange.FaultUnreachable
	if !result.sent {
		c.unreached++
	}
	if errors.Is(failure.Cause, port.ErrConnectTimeout) {
		chosen.engine.setPath(pathSilent)
		c.gateway.checkPaths()
		return result
	}
	if result.sent && failure.Fault == exchange.FaultLost {
		c.recordEnd(chosen, quarantine.NoAnswer)
	}
	if failure.Fault != exchange.FaultWithdrawn && (ctx.Err() == nil || time.Now().After(c.deadline)) {
		if result.sent {
			chosen.engine.recordResult(time.Now(), outlier.Failure)
			return result
		}
		chosen.engine.recordNoConnection(time.Now(), pathRefused)
		c.gateway.checkPaths()
		if failure.Fault == exchange.FaultUnreachable {
			c.gateway.Quarantine.Lost(engineOf(chosen), c.pool.ID, quarantine.Refused)
		}
	}
	return result
}

// jitter returns a random duration whose mean is length, so that callers that are refused at the
// same time do not retry at the same time.
func jitter(length time.Duration) time.Duration {
	return length/2 + rand.N(length)
}
