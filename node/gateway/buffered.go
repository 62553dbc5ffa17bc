package gateway

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/core/outlier"
	"agateswitch/core/quarantine"
	"agateswitch/core/routing"
	"agateswitch/port"
)

// answer is an upstream's complete answer.
type answer struct {
	chosen *choice
	status int
	header http.Header
	body   []byte
}

// attemptBuffered attempts a request that is not streamed. It buffers the answer and sends it to the
// caller only once it is complete.
func (c *callerRequest) attemptBuffered(ctx context.Context, chosen *choice) attemptResult {
	attempt, cancel := c.bufferedContext(ctx)
	defer cancel()
	head, failure := c.callUpstream(attempt, chosen, "")
	if failure != nil {
		return c.handleSendFailure(ctx, chosen, failure)
	}
	defer head.Body.Close()
	c.sentCount++
	c.recordArrival()
	engineAnswer := c.gateway.Engines.Read(head.Status, head.Header)
	c.applySignals(chosen, engineAnswer)
	chosen.firstByteTime = time.Since(chosen.sentAt)
	if engineAnswer.NotRun {
		drain(head.Body)
		return c.handleNotRun(chosen, head.Status, engineAnswer)
	}
	if engineAnswer.Signed && head.Status < http.StatusInternalServerError {
		c.recordBegin()
	}
	var body []byte
	var err error
	if engineAnswer.Signed {
		body, err = c.holding.readComplete(head.Body)
	}
	switch {
	case err == nil && engineAnswer.Signed:
		c.recordAnswer(chosen)
	case err != nil && len(body) == 0 && attempt.Err() == nil && !port.IsTimeout(err):
		c.recordEnd(chosen, quarantine.BrokenAnswer)
	}
	if err != nil || !engineAnswer.Signed {
		chosen.recordResult(time.Now(), outlier.Failure)
		return attemptResult{sent: true, ran: fleet.RanUnknown, cause: describeIncomplete(err)}
	}
	complete := &answer{chosen: chosen, status: head.Status, header: head.Header, body: body}
	if head.Status >= http.StatusInternalServerError {
		chosen.recordResult(time.Now(), outlier.Failure)
		c.failureAnswer = complete
		return attemptResult{sent: true, ran: fleet.DidRun, cause: "the upstream answered " + strconv.Itoa(head.Status)}
	}
	chosen.recordResult(time.Now(), outlier.Success)
	c.deliver(complete)
	return attemptResult{delivered: true}
}

// bufferedContext returns the context of an attempt. It has a timeout of its own if another upstream
// may be tried after it.
func (c *callerRequest) bufferedContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if c.route.Kind != routing.Idempotent || c.sentCount+1 >= c.route.MaxAttempts {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, min(2*c.route.Target, time.Until(c.deadline)/2))
}

// describeIncomplete returns the cause of an attempt whose answer is incomplete, or, if err is nil,
// not signed.
func describeIncomplete(err error) string {
	if err != nil {
		return "the answer is not complete: " + err.Error()
	}
	return "the answer is not signed by an upstream"
}

// handleNotRun evaluates an answer which states that the upstream has not run the request.
func (c *callerRequest) handleNotRun(chosen *choice, status int, engineAnswer port.EngineAnswer) attemptResult {
	if engineAnswer.Misdirected {
		// The address belongs to another upstream, so the intended one did not receive the request.
		c.sentCount--
		c.unreached++
		c.markDisplaced(chosen)
		chosen.recordResult(time.Now(), outlier.Unreachable)
		return attemptResult{ran: fleet.NotRun, cause: "another upstream has the address"}
	}
	if engineAnswer.Pause == 0 {
		chosen.recordResult(time.Now(), outlier.Failure)
	}
	return attemptResult{sent: true, ran: fleet.NotRun, cause: "the upstream refused with " + strconv.Itoa(status)}
}

// hopByHopHeaders are headers that apply to one connection only (RFC 9110, section 7.6.1).
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Transfer-Encoding", "Trailer", "Upgrade"}

// copyHeader copies an upstream's header, without hop-by-hop headers, to the caller's answer.
func (c *callerRequest) copyHeader(header http.Header) {
	into := c.writer.Header()
	for name, values := range header {
		into[name] = values
	}
	for _, name := range hopByHopHeaders {
		into.Del(name)
	}
	if c.gateway.isLeaving() {
		into.Set("Connection", "close")
	}
}

// deliver sends a complete answer to the caller.
func (c *callerRequest) deliver(complete *answer) {
	firstByteTime := time.Since(c.began)
	c.copyHeader(complete.header)
	c.writer.Header().Set("Content-Length", strconv.Itoa(len(complete.body)))
	c.writer.WriteHeader(complete.status)
	if err := c.holding.deliver(c.writer, complete.body); err != nil {
		c.logCallerDisconnected(err)
	}
	c.logAnswer(complete.chosen, complete.status, firstByteTime, 0)
}
