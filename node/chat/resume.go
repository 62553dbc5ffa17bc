package chat

import (
	"context"
	"time"

	"agateswitch/core/fleet"
)

// Resumption asks for the rest of a stream, whichever router began it.
type Resumption struct {
	// Request is the id under which the engine knows the stream.
	Request  fleet.RequestID
	Upstream fleet.Upstream
	// After is the id of the last event that the caller has; 0 means none.
	After int64
	// Host is the router that served the stream before; empty means that it is not known.
	Host fleet.HostID
	// Silence is how long a connection may bring nothing before a fresh one is tried.
	Silence time.Duration
}

// Resume passes the rest of a stream on. It needs no grant: the engine has the work.
func (s *Service) Resume(ctx context.Context, resumption Resumption, sink Sink) {
	grant := fleet.Grant{Upstream: resumption.Upstream}
	relay := s.newRelay(resumption.Request, resumption.Silence, grant, resumption.After, sink)
	relay.resumes, relay.sent = true, true
	s.takeOver(resumption)
	taken := s.handovers.begin(resumption.Request)
	ended := relay.run(ctx, relay.resume)
	s.abandon(relay, ended, taken)
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
