package forward

import (
	"context"
	"time"

	"agateswitch/core/exchange"
	"agateswitch/core/fleet"
	"agateswitch/port"

	"github.com/juju/errors"
)

// errNoAnswer is returned when no answer started within the stall limit.
var errNoAnswer = errors.New("the service started no answer within the stall limit")

// openResult is the start of an answer over one connection, or the failure of that connection.
type openResult struct {
	connection int
	answer     port.UpstreamAnswer
	failure    *port.UpstreamError
}

// opening waits for the start of an answer. If the first connection stays silent, a call with a safe
// method is also sent over a new connection, and the first answer is used.
type opening struct {
	run   *plainRun
	grant fleet.Grant
	// results has capacity for both connections, so that neither sender blocks.
	results chan openResult
	// cancels holds one function per connection, which closes it.
	cancels []context.CancelFunc
	// pending counts the connections that have not returned a result.
	pending int
}

// open returns the start of an answer. Its connection remains open until ctx ends.
func (r *plainRun) open(ctx context.Context, grant fleet.Grant) (port.UpstreamAnswer, *port.UpstreamError) {
	o := &opening{run: r, grant: grant, results: make(chan openResult, 2)}
	limits := exchange.NewLimits(r.call.silence())
	silence := time.NewTimer(limits.Silence)
	defer silence.Stop()
	end := time.NewTimer(limits.Stall)
	defer end.Stop()
	o.connect(ctx, false)
	for {
		select {
		case got := <-o.results:
			o.pending--
			if got.failure == nil || o.pending == 0 {
				o.closeOthers(got.connection)
				return got.answer, got.failure
			}
			r.sent = r.sent || got.failure.Ran != fleet.NotRun
		case <-silence.C:
			if isSafe(r.call.Method) && r.body.isRepeatable() {
				r.service.telemetry.Log.Info("service did not answer in time; sending the call again over a new connection", "request", r.call.Request.ID,
					"upstream", grant.Upstream.ID, "fault", exchange.FaultSilent)
				o.connect(ctx, true)
			}
		case <-end.C:
			o.closeOthers(-1)
			return port.UpstreamAnswer{}, &port.UpstreamError{
				Cause: errNoAnswer, Ran: fleet.RanUnknown, Fault: exchange.FaultSilent,
			}
		case <-ctx.Done():
			o.closeOthers(-1)
			return port.UpstreamAnswer{}, &port.UpstreamError{
				Cause: ctx.Err(), Ran: fleet.RanUnknown, Fault: exchange.FaultCancelled,
			}
		}
	}
}

func (o *opening) connect(ctx context.Context, fresh bool) {
	ctx, cancel := context.WithCancel(ctx)
	index := len(o.cancels)
	o.cancels = append(o.cancels, cancel)
	o.pending++
	call := o.run.call
	go func() {
		answer, failure := o.run.service.upstreams.Send(ctx, port.UpstreamCall{
			Upstream: o.grant.Upstream, Request: call.Request.ID, Method: call.Method, Path: call.Path,
			Header: call.Header, Body: o.run.body.reader(), ContentLength: o.run.body.length, Fresh: fresh,
		})
		o.results <- openResult{connection: index, answer: answer, failure: failure}
	}()
}

// closeOthers closes all connections except keep, and the answers that they may still return.
func (o *opening) closeOthers(keep int) {
	for i, cancel := range o.cancels {
		if i != keep {
			cancel()
		}
	}
	pending := o.pending
	go func() {
		for range pending {
			if late := <-o.results; late.failure == nil {
				late.answer.Body.Close()
			}
		}
	}()
}
