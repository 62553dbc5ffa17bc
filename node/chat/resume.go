package chat

import (
	"context"
	"time"

	"agateswitch/core/fleet"
)

// Resumption is a request for the rest of a stream that any router may have started.
type Resumption struct {
	// Request is the id of the request that started the stream on the engine.
	Request  fleet.RequestID
	Upstream fleet.Upstream
	// After is the id of the last event that the caller received; 0 means none.
	After int64
	// Host is the host of the router that served the stream before; empty means unknown.
	Host fleet.HostID
	// Silence is how long a connection may deliver no byte before a new connection is tried.
	Silence time.Duration
}

// Resume relays the rest of a stream. It acquires no grant, because the engine already has the work.
func (s *Service) Resume(ctx context.Context, resumption Resumption, sink Sink) {
	grant := fleet.Grant{Upstream: resumption.Upstream}
	relay := s.newRelay(resumption.Request, resumption.Silence, grant, resumption.After, sink)
	relay.resumes, relay.sent = true, true
	s.handovers.markTakenOver(resumption.Request)
	s.notifyTakeOver(resumption)
	takenOver := s.handovers.register(resumption.Request)
	ended := relay.run(ctx, relay.resume)
	s.finishStream(relay, ended, takenOver)
	s.logEnd(resumption.Request, resumption.Upstream.ID, outcomeOf(ended), ended)
	if ended.failure == nil {
		return
	}
	if ended.isCancelled() {
		return
	}
	refusal := refusalOf(*ended.failure)
	refusal.Code = fleet.CodeResumeImpossible
	sink.Refuse(refusal)
}
