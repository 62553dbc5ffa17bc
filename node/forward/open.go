package forward

import (
	"context"
	"time"

	"agateswitch/core/exchange"
	"agateswitch/core/fleet"
	"agateswitch/port"

	"github.com/juju/errors"
)

var errNoAnswer = errors.New("no answer within the limit")

// opened is what one connection brought.
type opened struct {
	connection int
	answer     port.UpstreamAnswer
	failure    *port.UpstreamError
}

// opening waits for the start of an answer. A call that changes nothing is made again
// over a fresh connection when the first stays silent, and the first answer counts.
type opening struct {
	run   *plainRun
	grant fleet.Grant
	// results has room for both connections, so that neither is held up.
	results chan opened
	cancels []context.CancelFunc
	waiting int
}

// open returns the start of an answer. Its connection lives as long as ctx.
func (r *plainRun) open(ctx context.Context, grant fleet.Grant) (port.UpstreamAnswer, *port.UpstreamError) {
	o := &opening{run: r, grant: grant, results: make(chan opened, 2)}
	limits := exchange.NewLimits(r.call.silence())
	silence := time.NewTimer(limits.Silence)
	defer silence.Stop()
	end := time.NewTimer(limits.Stall)
	defer end.Stop()
	o.connect(ctx, false)
	for {
		select {
		case got := <-o.results:
			o.waiting--
			if got.failure == nil || o.waiting == 0 {
				o.drop(got.connection)
				return got.answer, got.failure
			}
			r.sent = r.sent || got.failure.Ran != fleet.NotRun
		case <-silence.C:
			if isSafe(r.call.Method) && r.body.isRepeatable() {
				r.service.telemetry.Log.Info("asking over a new connection", "request", r.call.Request.ID,
					"upstream", grant.Upstream.ID, "fault", exchange.FaultSilent)
				o.connect(ctx, true)
			}
		case <-end.C:
			o.drop(-1)
			return port.UpstreamAnswer{}, &port.UpstreamError{
				Cause: errNoAnswer, Ran: fleet.RanUnknown, Fault: exchange.FaultSilent,
			}
		case <-ctx.Done():
			o.drop(-1)
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
	o.waiting++
	call := o.run.call
	go func() {
		answer, failure := o.run.service.upstreams.Send(ctx, port.UpstreamCall{
			Upstream: o.grant.Upstream, Request: call.Request.ID, Method: call.Method, Path: call.Path,
			Header: call.Header, Body: o.run.body.reader(), ContentLength: o.run.body.length, Fresh: fresh,
		})
		o.results <- opened{connection: index, answer: answer, failure: failure}
	}()
}

// drop ends all connections but one, and closes what they may still bring.
func (o *opening) drop(keep int) {
	for i, cancel := range o.cancels {
		if i != keep {
			cancel()
		}
	}
	waiting := o.waiting
	go func() {
		for range waiting {
			if late := <-o.results; late.failure == nil {
				late.answer.Body.Close()
			}
		}
	}()
}
