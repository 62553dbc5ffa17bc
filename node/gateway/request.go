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
	"agateswitch/port"
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
	current  *snapshot
	route    *routing.Route
	pool     *routing.Pool
	team     *routing.Team
	body     []byte
	deadline time.Time

	// prompt lists the parts of the request's prompt, and parts those that other requests may share.
	prompt []warmth.Part
	parts  []quarantine.Part
	// whole is the id of the request as a whole; empty until it is needed.
	whole quarantine.Part
	// engineEnded is true once an engine has ended while it worked on the request.
	engineEnded bool
	tried       map[*engine]bool
	// sentCount is the number of upstreams that the request was sent to.
	sentCount int
	// ran states whether the request may have run on any of them.
	ran fleet.Ran
	// failureAnswer is an upstream's error answer. The caller receives it if no upstream returns
	// another answer.
	failureAnswer *answer
	// stream is the state of the stream to the caller.
	stream streamState
	// holding is what the request holds of large answers.
	holding holding
	// lastCause is the cause of the last failed attempt, for the log.
	lastCause string
}

// serve handles the request.
func (c *callerRequest) serve() {
	c.ran = fleet.NotRun
	c.holding.all = &c.gateway.held
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
	c.forward(ctx)
}

// sharedParts returns the parts of the prompt that other requests may share. The last part is
// specific to the request.
func (c *callerRequest) sharedParts() []warmth.Part { return c.prompt[:max(0, len(c.prompt)-1)] }

// forward sends the request to one upstream after another until one answers it or no further
// attempt is allowed.
func (c *callerRequest) forward(ctx context.Context) {
	for {
		permit, refusal := c.permit(ctx)
		if refusal != nil {
			c.failQuarantined(refusal)
			return
		}
		c.current = c.gateway.view.current.Load()
		chosen := c.gateway.chooseUpstream(ctx, selection{
			current: c.current, pool: c.pool, prompt: c.prompt, rank: c.rank(), tried: c.tried, alone: permit.Alone, now: time.Now(),
		})
		if chosen == nil {
			c.gateway.Quarantine.Return(permit)
			c.failRequest(fleet.CodeNoUpstream, "no upstream can take the request now")
			return
		}
		chosen.permit = permit
		c.tried[chosen.engine] = true
		result := c.attempt(ctx, chosen)
		c.gateway.Quarantine.Return(permit)
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
			c.failRequest(fleet.CodeDeadline, "no answer in time")
			return
		}
		if retry != admission.RetryAllowed {
			c.failRequest(fleet.CodeUpstreamFailed, result.cause)
			return
		}
	}
}

// maxUnreachableAttempts is how many upstreams a request may fail to reach before it is refused.
const maxUnreachableAttempts = 4

// decideRetry returns RetryAllowed if the request may be sent to another upstream, and otherwise the
// reason why not.
func (c *callerRequest) decideRetry(result attemptResult) admission.RetryReason {
	switch {
	case !result.sent && len(c.tried) < maxUnreachableAttempts+c.sentCount:
		return admission.RetryAllowed
	case !result.sent:
		return admission.RetryAttemptsExhausted
	case c.ran != fleet.NotRun && !c.route.Repeatable(), c.stream.begun && c.stream.lastEventID == "":
		return admission.RetryMayHaveRun
	case c.sentCount >= c.route.MaxAttempts:
		return admission.RetryAttemptsExhausted
	case !c.gateway.allowRetry(c.pool.ID, time.Now()):
		return admission.RetryBudgetExhausted
	}
	return admission.RetryAllowed
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
	call := port.EngineCall{
		ID: c.call.ID, Upstream: chosen.upstream.ID, TimeLeft: time.Until(c.deadline), Rank: c.rank(), ResumeAfter: resumeAfter,
		FetchFrom: chosen.fetchFrom,
	}
	if c.team != nil {
		call.Team = c.team.Name
	}
	return c.gateway.Upstreams.Send(ctx, port.UpstreamCall{
		Upstream: chosen.upstream, Request: c.call.ID, Method: c.request.Method, Path: c.request.RequestURI,
		Host: c.request.Host, Header: c.gateway.Engines.Header(c.request.Header, call),
		Body: bytes.NewReader(c.body), ContentLength: int64(len(c.body)),
		MaySend: func() bool {
			return c.gateway.view.current.Load().acceptsWork(c.pool.ID, chosen.engine) &&
				c.gateway.Moves.MaySend(c.pool.ID, chosen.upstream.Version) && c.gateway.Quarantine.MaySend(c.suspectParts()) &&
				c.gateway.isWithinLimit(chosen)
		},
	})
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
}

// attempt sends the request to one upstream and its answer to the caller.
func (c *callerRequest) attempt(ctx context.Context, chosen *choice) attemptResult {
	chosen.ticket = c.gateway.Workload.Start(chosen.engine.id, chosen.uncached, c.sharedParts())
	defer chosen.ticket.End()
	stratum := rollout.Stratum{Route: c.route.Name, Cold: chosen.isCold()}
	c.gateway.Moves.Start(c.pool.ID, chosen.upstream.Version, stratum)
	chosen.sentAt = time.Now()
	send := c.attemptBuffered
	if c.route.Kind == routing.Streaming {
		send = c.attemptStream
	}
	result := send(ctx, chosen)
	if !result.delivered && !result.sent {
		c.gateway.Moves.Reached(&chosen.versions, "")
	}
	switch {
	case !result.delivered && result.ran == fleet.NotRun:
		c.gateway.Moves.Refuse(c.pool.ID, chosen.upstream.Version, stratum)
	case result.delivered || result.sent && c.request.Context().Err() == nil:
		c.gateway.Moves.Add(c.evidence(chosen, result))
	}
	return result
}

// handleSendFailure evaluates a call that returned no answer. It counts the failure against the
// upstream unless the caller disconnected.
func (c *callerRequest) handleSendFailure(ctx context.Context, chosen *choice, failure *port.UpstreamError) attemptResult {
	result := attemptResult{sent: failure.Ran != fleet.NotRun, ran: failure.Ran, cause: failure.Error()}
	if result.sent {
		c.sentCount++
	}
	if result.sent && failure.Fault == exchange.FaultLost {
		c.recordEnd(chosen)
	}
	if failure.Fault != exchange.FaultWithdrawn && (ctx.Err() == nil || time.Now().After(c.deadline)) {
		verdict := outlier.Failure
		if !result.sent {
			verdict = outlier.Unreachable
		}
		chosen.engine.recordResult(time.Now(), verdict)
	}
	return result
}

// jitter returns a random duration whose mean is length, so that callers that are refused at the
// same time do not retry at the same time.
func jitter(length time.Duration) time.Duration {
	return length/2 + rand.N(length)
}
