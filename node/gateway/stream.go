package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/core/outlier"
	"agateswitch/port"
	"agateswitch/sse"

	"github.com/juju/errors"
)

// streamState is a stream of which the caller may have a part already.
type streamState struct {
	// begun is true once the caller has the header of the first upstream.
	begun bool
	// lastID is the last event that the caller has.
	lastID string
	events int
	first  time.Duration
}

// attemptStream passes the events of one upstream on, as they come.
func (x *exchange) attemptStream(ctx context.Context, chosen *choice) attemptResult {
	if x.stream.lastID == "" && x.route.Resumable {
		x.stream.lastID = x.call.ResumeAfter
	}
	attempt, cancel := context.WithCancel(ctx)
	defer cancel()
	watchdog := time.AfterFunc(x.firstEventLimit(), cancel)
	defer watchdog.Stop()
	head, failure := x.send(attempt, chosen, x.stream.lastID)
	if failure != nil {
		return x.failed(ctx, chosen, failure)
	}
	defer head.Body.Close()
	x.sends++
	told := x.gateway.Engines.Read(head.Status, head.Header)
	if told.NotRun {
		return x.notRun(chosen, head.Status, told)
	}
	if !told.Signed {
		chosen.engine.observe(time.Now(), outlier.Failure)
		return attemptResult{sent: true, ran: fleet.RanUnknown, cause: incomplete(nil)}
	}
	if head.Status != http.StatusOK {
		return x.streamRefused(chosen, head)
	}
	err := x.pass(chosen, head, watchdog)
	if err == nil {
		chosen.engine.observe(time.Now(), outlier.Success)
		x.logAnswer(chosen, head.Status, x.stream.first, x.stream.events)
		return attemptResult{delivered: true}
	}
	if errors.Is(err, errCallerGone) {
		x.logCallerLeft(err)
		return attemptResult{delivered: true}
	}
	if x.request.Context().Err() == nil {
		chosen.engine.observe(time.Now(), outlier.Failure)
	}
	return attemptResult{sent: true, ran: fleet.RanUnknown, cause: "the stream broke off: " + err.Error()}
}

// firstEventLimit is how long an upstream may take for its first event where another one can
// go on.
func (x *exchange) firstEventLimit() time.Duration {
	left := time.Until(x.deadline)
	if !x.route.Resumable || x.sends+1 >= x.route.MaxAttempts {
		return left + afterDeadline
	}
	return min(3*x.route.Target, left/2)
}

// pauseLimit is the same for the pause between two events.
func (x *exchange) pauseLimit() time.Duration {
	left := time.Until(x.deadline)
	if !x.route.Resumable || x.sends >= x.route.MaxAttempts || x.route.MaxPause == 0 {
		return left + afterDeadline
	}
	return min(3*x.route.MaxPause, left+afterDeadline)
}

// afterDeadline keeps an attempt's own limit from ending it at the very moment of the request's
// deadline, which would look like a failure of the upstream.
const afterDeadline = time.Second

const errCallerGone = errors.ConstError("the caller is gone")

// pass writes events to the caller until the stream ends. An error other than errCallerGone
// means that the stream has not come to its end.
func (x *exchange) pass(chosen *choice, head port.UpstreamAnswer, watchdog *time.Timer) error {
	events := sse.NewRawReader(head.Body)
	control := http.NewResponseController(x.writer)
	for {
		raw, id, err := events.Next()
		if err == io.EOF {
			x.beginStream(head)
			return nil
		}
		if err != nil {
			return err
		}
		watchdog.Reset(x.pauseLimit())
		x.beginStream(head)
		chosen.ticket.EndPrefill()
		if chosen.events == 0 {
			chosen.first = time.Since(chosen.sentAt)
		}
		chosen.events++
		if x.stream.events == 0 {
			x.stream.first = time.Since(x.began)
		}
		x.stream.events++
		if id != "" {
			x.stream.lastID = id
		}
		if _, err := x.writer.Write(raw); err != nil {
			return errors.WithType(err, errCallerGone)
		}
		if err := control.Flush(); err != nil {
			return errors.WithType(err, errCallerGone)
		}
	}
}

// beginStream gives the caller the header of the first upstream, once.
func (x *exchange) beginStream(head port.UpstreamAnswer) {
	if x.stream.begun {
		return
	}
	x.copyHeader(head.Header)
	x.writer.Header().Del("Content-Length")
	x.writer.WriteHeader(head.Status)
	x.stream.begun = true
}

// streamRefused judges an answer that is not a stream.
func (x *exchange) streamRefused(chosen *choice, head port.UpstreamAnswer) attemptResult {
	body, err := readWhole(head.Body)
	chosen.engine.observe(time.Now(), outlier.Failure)
	if err != nil {
		return attemptResult{sent: true, ran: fleet.RanUnknown, cause: incomplete(err)}
	}
	if !x.stream.begun {
		x.failure = &answer{chosen: chosen, status: head.Status, header: head.Header, body: body}
	}
	return attemptResult{sent: true, ran: fleet.DidRun, cause: "the upstream answered " + strconv.Itoa(head.Status)}
}
