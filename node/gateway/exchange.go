package gateway

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"agateswitch/core/admission"
	"agateswitch/core/fleet"
	"agateswitch/core/outlier"
	"agateswitch/core/routing"
	"agateswitch/core/warmth"
	"agateswitch/port"
)

// Times after which a refused caller may come back.
const (
	// startingWait is how long a request waits for the first state of a router that has just
	// started: a few calls to the store.
	startingWait = 300 * time.Millisecond
	// startingRetry is when a caller may come back to a router that lacks a state or cannot
	// make sure of it: the store is away then, mostly for seconds. Callers heed a third of the
	// time that they have left, which is 1 s to 2 s at the users' deadlines.
	startingRetry = time.Second
	// busyRetry lets a cold or full upstream do some of its work.
	busyRetry = 400 * time.Millisecond
)

// exchange is one request of a caller.
type exchange struct {
	gateway *Gateway
	writer  http.ResponseWriter
	request *http.Request
	began   time.Time
	call    port.CallerCall

	current  *snapshot
	route    *routing.Route
	pool     *routing.Pool
	team     *routing.Team
	body     []byte
	deadline time.Time

	// prompt lists the parts of the request's prompt.
	prompt []warmth.Part
	tried  map[*engine]bool
	// sends counts the upstreams that the request was sent to.
	sends int
	// ran tells whether the request can have run on any of them.
	ran fleet.Ran
	// failure is an upstream's own failure, passed on when no other answer can be had.
	failure *answer
	// stream is what the caller has of a stream.
	stream streamState
	// last describes the last attempt that failed, for the log.
	last string
}

// serve answers the request.
func (x *exchange) serve() {
	x.ran = fleet.NotRun
	x.tried = map[*engine]bool{}
	for _, part := range x.call.Prompt {
		x.prompt = append(x.prompt, warmth.Part(part))
	}
	if refusal := x.prepare(); refusal != nil {
		x.refuse(refusal)
		return
	}
	ctx, cancel := context.WithDeadline(x.request.Context(), x.deadline)
	defer cancel()
	x.forward(ctx)
}

// shared returns the parts of the prompt that other requests may share. The last part belongs
// to the request alone.
func (x *exchange) shared() []warmth.Part { return x.prompt[:max(0, len(x.prompt)-1)] }

// forward sends the request to upstreams until one answers it, or none can.
func (x *exchange) forward(ctx context.Context) {
	for {
		x.current = x.gateway.view.current.Load()
		chosen := x.gateway.choose(x.current, x.pool, x.prompt, x.tried, time.Now())
		if chosen == nil {
			x.giveUp(fleet.CodeNoUpstream, "no upstream can take the request now")
			return
		}
		x.tried[chosen.engine] = true
		result := x.attempt(ctx, chosen)
		if result.delivered {
			return
		}
		x.last = result.cause
		if result.ran != fleet.NotRun {
			x.ran = result.ran
		}
		if err := x.request.Context().Err(); err != nil {
			x.logCallerLeft(err)
			return
		}
		retry := admission.RetryExceedsDeadline
		if ctx.Err() == nil {
			retry = x.decideRetry(result)
		}
		x.logAttempt(chosen, result, retry)
		if ctx.Err() != nil {
			x.giveUp(fleet.CodeDeadline, "no answer in time")
			return
		}
		if retry != admission.RetryAllowed {
			x.giveUp(fleet.CodeUpstreamFailed, result.cause)
			return
		}
	}
}

// maxUnsent is how many upstreams a request may fail to reach before it is refused.
const maxUnsent = 4

// decideRetry tells whether another upstream may get the request, and why not.
func (x *exchange) decideRetry(result attemptResult) admission.RetryReason {
	switch {
	case !result.sent && len(x.tried) < maxUnsent+x.sends:
		return admission.RetryAllowed
	case !result.sent:
		return admission.RetryAttemptsExhausted
	case x.ran != fleet.NotRun && !x.route.Repeatable(), x.stream.begun && x.stream.lastID == "":
		return admission.RetryMayHaveRun
	case x.sends >= x.route.MaxAttempts:
		return admission.RetryAttemptsExhausted
	case !x.gateway.mayRetry(x.pool.ID, time.Now()):
		return admission.RetryBudgetExhausted
	}
	return admission.RetryAllowed
}

// giveUp answers a request that no upstream answers.
func (x *exchange) giveUp(code fleet.Code, why string) {
	if x.stream.begun {
		x.gateway.Log.Info("stream broken off", "request", x.call.ID, "route", x.route.Name,
			"events", x.stream.events, "cause", why, "took", time.Since(x.began))
		panic(http.ErrAbortHandler)
	}
	if x.failure != nil {
		x.deliver(x.failure)
		return
	}
	if x.ran == fleet.NotRun {
		if code == fleet.CodeDeadline {
			x.refuse(fleet.Refuse(code, why, 0))
			return
		}
		x.refuse(fleet.Refuse(code, why, jitter(busyRetry)))
		return
	}
	x.refuse(fleet.RefuseUnknown(code, why))
}

// rank is the request's urgency: the team's goes before the route's.
func (x *exchange) rank() int {
	if x.team != nil && x.team.HasRank {
		return x.team.Rank
	}
	return x.route.Rank
}

// send makes the call of an attempt. Resume asks for the events after one.
func (x *exchange) send(ctx context.Context, chosen *choice, resume string) (port.UpstreamAnswer, *port.UpstreamError) {
	call := port.EngineCall{
		ID: x.call.ID, Upstream: chosen.upstream.ID, TimeLeft: time.Until(x.deadline), Rank: x.rank(), ResumeAfter: resume,
		FetchFrom: chosen.fetchFrom,
	}
	if x.team != nil {
		call.Team = x.team.Name
	}
	return x.gateway.Upstreams.Send(ctx, port.UpstreamCall{
		Upstream: chosen.upstream, Request: x.call.ID, Method: x.request.Method, Path: x.request.RequestURI,
		Host: x.request.Host, Header: x.gateway.Engines.Header(x.request.Header, call),
		Body: bytes.NewReader(x.body), ContentLength: int64(len(x.body)),
	})
}

// attemptResult is the end of an attempt that did not answer the caller, or did.
type attemptResult struct {
	delivered bool
	// sent is true when the upstream can have read the request.
	sent  bool
	ran   fleet.Ran
	cause string
}

// attempt sends the request to one upstream and brings back what it answers.
func (x *exchange) attempt(ctx context.Context, chosen *choice) attemptResult {
	chosen.ticket = x.gateway.Workload.Start(chosen.engine.id, chosen.uncached, x.shared())
	defer chosen.ticket.End()
	chosen.sentAt = time.Now()
	send := x.attemptPlain
	if x.route.Kind == routing.Streaming {
		send = x.attemptStream
	}
	result := send(ctx, chosen)
	if result.delivered || result.sent && x.request.Context().Err() == nil {
		x.gateway.Moves.Add(x.evidence(chosen, result))
	}
	return result
}

// failed judges a call that brought no answer.
func (x *exchange) failed(ctx context.Context, chosen *choice, failure *port.UpstreamError) attemptResult {
	result := attemptResult{sent: failure.Ran != fleet.NotRun, ran: failure.Ran, cause: failure.Error()}
	if result.sent {
		x.sends++
	}
	if ctx.Err() == nil || time.Now().After(x.deadline) {
		verdict := outlier.Failure
		if !result.sent {
			verdict = outlier.Unreachable
		}
		chosen.engine.observe(time.Now(), verdict)
	}
	return result
}

// jitter spreads callers that were refused at the same moment.
func jitter(length time.Duration) time.Duration {
	return length/2 + rand.N(length)
}
