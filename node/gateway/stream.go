package gateway

import (
	"context"
	"io"
	"mime"
	"net/http"
	"strconv"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/core/outlier"
	"agateswitch/core/quarantine"
	"agateswitch/port"
	"agateswitch/sse"

	"github.com/juju/errors"
)

// streamState is the state of the stream to the caller, over all attempts.
type streamState struct {
	// begun is true once the header has been sent to the caller.
	begun bool
	// lastEventID is the id of the last event that the caller has received, possibly in an earlier
	// answer.
	lastEventID string
	// eventCount is the number of events that were sent to the caller, and firstByteTime the time from
	// its request to the first of them.
	eventCount    int
	firstByteTime time.Duration
}

// attemptStream attempts a streaming request. It sends the events of one upstream to the caller as
// they arrive.
func (c *callerRequest) attemptStream(ctx context.Context, chosen *choice) attemptResult {
	if c.stream.lastEventID == "" && c.route.Resumable {
		c.stream.lastEventID = c.call.ResumeAfter
	}
	attempt, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := time.AfterFunc(c.firstEventTimeout(), cancel)
	defer watchdog.Stop()
	head, failure := c.callUpstream(attempt, chosen, c.stream.lastEventID)
	if failure != nil {
		return c.handleSendFailure(ctx, chosen, failure)
	}
	defer head.Body.Close()
	c.sentCount++
	c.recordArrival()
	engineAnswer := c.gateway.Engines.Read(head.Status, head.Header)
	c.applySignals(chosen, engineAnswer)
	if engineAnswer.NotRun {
		drain(head.Body)
		return c.handleNotRun(chosen, head.Status, engineAnswer)
	}
	if !engineAnswer.Signed {
		chosen.recordResult(time.Now(), outlier.Failure)
		return attemptResult{sent: true, ran: fleet.RanUnknown, cause: describeIncomplete(nil)}
	}
	if head.Status != http.StatusOK {
		return c.handleNonStream(chosen, head)
	}
	if !isEventStream(head.Header) {
		return c.handleWholeSuccess(chosen, head)
	}
	err := c.copyEvents(chosen, head, watchdog)
	if err == nil {
		chosen.recordResult(time.Now(), outlier.Success)
		c.recordAnswer(chosen)
		c.logAnswer(chosen, head.Status, c.stream.firstByteTime, c.stream.eventCount)
		return attemptResult{delivered: true}
	}
	if errors.Is(err, errCallerDisconnected) {
		c.logCallerDisconnected(err)
		return attemptResult{delivered: true}
	}
	if c.request.Context().Err() == nil {
		chosen.recordResult(time.Now(), outlier.Failure)
	}
	if chosen.eventCount < provenEvents && attempt.Err() == nil && isLostConnection(err) {
		c.recordEnd(chosen, quarantine.BrokenAnswer)
	}
	return attemptResult{sent: true, ran: fleet.RanUnknown, cause: "the stream broke off: " + err.Error()}
}

// isLostConnection reports whether a stream has broken off because its connection ended, and not for what the upstream wrote or
// because it is silent.
func isLostConnection(err error) bool {
	return !errors.Is(err, sse.ErrTooLarge) && !errors.Is(err, sse.ErrForeign) && !errors.Is(err, errNotFollowing) && !port.IsTimeout(err)
}

// firstEventTimeout returns how long an upstream may take to send its first event. It is longer than
// the remaining time if no other upstream may continue the stream.
func (c *callerRequest) firstEventTimeout() time.Duration {
	remaining := time.Until(c.deadline)
	if !c.route.Resumable || c.sentCount+1 >= c.route.MaxAttempts {
		return remaining + deadlineMargin
	}
	return min(3*c.route.Target, remaining/2)
}

// nextEventTimeout returns the corresponding timeout between two events.
func (c *callerRequest) nextEventTimeout() time.Duration {
	remaining := time.Until(c.deadline)
	if !c.route.Resumable || c.sentCount >= c.route.MaxAttempts || c.route.MaxPause == 0 {
		return remaining + deadlineMargin
	}
	return min(3*c.route.MaxPause, remaining+deadlineMargin)
}

// deadlineMargin prevents an attempt's own timeout from expiring at the same time as the request's
// deadline, which would count as a failure of the upstream.
const deadlineMargin = time.Second

// errCallerDisconnected is returned when an event cannot be written to the caller.
const errCallerDisconnected = errors.ConstError("the caller has disconnected")

// errNotFollowing is returned for an event that does not come after the last one that the caller has received, as when an upstream
// begins a stream anew instead of resuming it.
const errNotFollowing = errors.ConstError("an event does not follow the last one")

// follows reports whether an event may come after the last one: ids that are numbers increase.
func follows(id, last string) bool {
	number, err := strconv.ParseInt(id, 10, 64)
	if err != nil {
		return true
	}
	lastNumber, err := strconv.ParseInt(last, 10, 64)
	return err != nil || number > lastNumber
}

// isEventStream reports whether an answer is a stream of events. One that does not say what it is counts as such.
func isEventStream(header http.Header) bool {
	contentType := header.Get("Content-Type")
	if contentType == "" {
		return true
	}
	mediaType, _, err := mime.ParseMediaType(contentType)
	return err == nil && mediaType == "text/event-stream"
}

// copyEvents copies events from the upstream to the caller until the stream ends. An error other
// than errCallerDisconnected means that the stream is incomplete.
func (c *callerRequest) copyEvents(chosen *choice, head port.UpstreamAnswer, watchdog *time.Timer) error {
	events := sse.NewRawReader(head.Body)
	events.Grow = c.holding.grow
	control := http.NewResponseController(c.writer)
	for {
		raw, id, err := events.Next()
		if err == io.EOF && chosen.eventCount == 0 && (c.stream.lastEventID == "" || !head.Framed) {
			// Without a length or chunks, the end of the connection before the first event looks like that of a stream.
			return io.ErrUnexpectedEOF
		}
		if err == io.EOF {
			c.writeStreamHeader(head)
			return nil
		}
		if err != nil {
			return err
		}
		if !follows(id, c.stream.lastEventID) {
			return errors.Trace(errNotFollowing)
		}
		if id != "" || sse.HasData(raw) {
			watchdog.Reset(c.nextEventTimeout())
		}
		c.writeStreamHeader(head)
		chosen.endPrefill()
		c.recordBegin()
		if chosen.eventCount == 0 {
			chosen.firstByteTime = time.Since(chosen.sentAt)
			c.gateway.judgeWorkTime(chosen)
		}
		chosen.eventCount++
		if chosen.eventCount == provenEvents {
			c.recordAnswer(chosen)
		}
		if c.stream.eventCount == 0 {
			c.stream.firstByteTime = time.Since(c.began)
		}
		c.stream.eventCount++
		if id != "" {
			c.stream.lastEventID = id
		}
		if err := c.holding.deliver(c.writer, raw); err != nil {
			return errors.WithType(err, errCallerDisconnected)
		}
		if err := control.Flush(); err != nil {
			return errors.WithType(err, errCallerDisconnected)
		}
	}
}

// writeStreamHeader sends the header of the first upstream to the caller, once.
func (c *callerRequest) writeStreamHeader(head port.UpstreamAnswer) {
	if c.stream.begun {
		return
	}
	c.copyHeader(head.Header)
	c.writer.Header().Del("Content-Length")
	c.writer.WriteHeader(head.Status)
	c.stream.begun = true
}

// handleWholeSuccess delivers a success that is no stream of events. It can't continue a stream that has begun.
func (c *callerRequest) handleWholeSuccess(chosen *choice, head port.UpstreamAnswer) attemptResult {
	if c.stream.begun {
		chosen.recordResult(time.Now(), outlier.Failure)
		return attemptResult{sent: true, ran: fleet.DidRun, cause: "the upstream continued a stream without events"}
	}
	body, err := c.holding.readComplete(head.Body)
	if err != nil {
		chosen.recordResult(time.Now(), outlier.Failure)
		return attemptResult{sent: true, ran: fleet.RanUnknown, cause: describeIncomplete(err)}
	}
	chosen.recordResult(time.Now(), outlier.Success)
	c.recordBegin()
	c.recordAnswer(chosen)
	c.deliver(&answer{chosen: chosen, status: head.Status, header: head.Header, body: body})
	return attemptResult{delivered: true}
}

// handleNonStream evaluates an answer with an error status, which has no stream of events.
func (c *callerRequest) handleNonStream(chosen *choice, head port.UpstreamAnswer) attemptResult {
	body, err := c.holding.readComplete(head.Body)
	chosen.recordResult(time.Now(), outlier.Failure)
	if err != nil {
		return attemptResult{sent: true, ran: fleet.RanUnknown, cause: describeIncomplete(err)}
	}
	if !c.stream.begun {
		c.failureAnswer = &answer{chosen: chosen, status: head.Status, header: head.Header, body: body}
	}
	return attemptResult{sent: true, ran: fleet.DidRun, cause: "the upstream answered " + strconv.Itoa(head.Status)}
}
