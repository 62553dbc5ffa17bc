package chat

import (
	"bytes"
	"context"
	"net/http"

	"agateswitch/core/exchange"
	"agateswitch/core/fleet"
	"agateswitch/port"
)

// attempt runs a call on the engine of a grant.
func (s *Service) attempt(ctx context.Context, call Call, grant fleet.Grant, sink Sink) result {
	if ctx.Err() != nil {
		// The caller disconnected while the call waited for its grant.
		return result{failure: &exchange.Failure{Fault: exchange.FaultCancelled}}
	}
	send := func(ctx context.Context) (port.UpstreamAnswer, *port.UpstreamError) {
		return s.send(ctx, call, grant)
	}
	if call.Stream {
		relay := s.newRelay(call.Request.ID, call.Silence, grant, 0, sink)
		takenOver := s.handovers.register(call.Request.ID)
		ended := relay.run(ctx, send)
		s.finishStream(relay, ended, takenOver)
		return ended
	}
	ended := s.runBuffered(ctx, call, grant, send, sink)
	if ended.failure != nil && ended.failure.Sent && ended.failure.Fault != exchange.FaultRejected {
		s.cancel(grant.Upstream, call.Request.ID)
	}
	return ended
}

func (s *Service) send(ctx context.Context, call Call, grant fleet.Grant) (port.UpstreamAnswer, *port.UpstreamError) {
	return s.upstreams.Send(ctx, port.UpstreamCall{
		Upstream: grant.Upstream, Request: call.Request.ID, Method: http.MethodPost, Path: completionsPath,
		Header: http.Header{"Content-Type": {"application/json"}},
		Body:   bytes.NewReader(call.Body), ContentLength: int64(len(call.Body)),
	})
}
