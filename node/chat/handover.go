package chat

import (
	"context"
	"sync"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/port"
)

// methodTakeOver is the method of the peer protocol by which a router tells the one that
// began a stream that it now serves the rest.
const methodTakeOver = "chat.take_over"

const (
	// leaveGrace is how long the work of a caller that left a stream goes on, so that the
	// caller can resume it at another router.
	leaveGrace = 2 * time.Second
	// takeOverTimeout bounds the call to the router that began a stream.
	takeOverTimeout = time.Second
)

type takeOverRequest struct {
	Request fleet.RequestID
}

type takeOverResponse struct {
	// Known is true when the asked router served the stream, or did so a moment ago.
	Known bool
}

// handovers knows which streams of this router another one has taken over.
type handovers struct {
	// mu guards taken: peers' calls close what the streams' goroutines wait for.
	mu    sync.Mutex
	taken map[fleet.RequestID]chan struct{}
}

// begin notes a stream. The channel is closed when another router takes it over.
func (h *handovers) begin(id fleet.RequestID) <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.taken == nil {
		h.taken = map[fleet.RequestID]chan struct{}{}
	}
	taken := make(chan struct{})
	h.taken[id] = taken
	return taken
}

func (h *handovers) end(id fleet.RequestID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.taken, id)
}

// take marks a stream as taken over.
func (h *handovers) take(id fleet.RequestID) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	taken, found := h.taken[id]
	if !found {
		return false
	}
	select {
	case <-taken:
	default:
		close(taken)
	}
	return true
}

// Join lets routers tell each other which streams they have taken over. It is called
// before serving.
func (s *Service) Join(peers port.Peers) {
	s.peers = peers
	peers.Handle(methodTakeOver, func(_ context.Context, from fleet.HostID, decode port.Decode) (any, error) {
		var request takeOverRequest
		if err := decode(&request); err != nil {
			return nil, err
		}
		known := s.handovers.take(request.Request)
		s.telemetry.Log.Info("stream taken over", "request", request.Request, "by", from, "known", known)
		return takeOverResponse{Known: known}, nil
	})
}

// takeOver tells the router that began a stream, in the background. If that router is
// gone it cannot cancel the work either.
func (s *Service) takeOver(resumption Resumption) {
	if s.peers == nil || resumption.Host == "" {
		return
	}
	s.cancelling.Go(func() {
		ctx, stop := context.WithTimeout(context.Background(), takeOverTimeout)
		defer stop()
		var response takeOverResponse
		err := s.peers.Call(ctx, resumption.Host, methodTakeOver, takeOverRequest{Request: resumption.Request}, &response)
		if err != nil {
			s.telemetry.Log.Info("the router that began a stream was not told", "request", resumption.Request, "peer", resumption.Host, "err", err)
		}
	})
}

// leave cancels the work on a stream whose caller left, unless another router takes the
// stream over within the grace.
func (s *Service) leave(upstream fleet.Upstream, id fleet.RequestID, taken <-chan struct{}) {
	s.cancelling.Go(func() {
		defer s.handovers.end(id)
		grace := time.NewTimer(leaveGrace)
		defer grace.Stop()
		select {
		case <-taken:
			s.telemetry.Log.Info("work goes on for another router", "request", id, "upstream", upstream.ID)
		case <-grace.C:
			s.cancel(upstream, id)
		}
	})
}

// abandon ends the work on a failed stream, or leaves it to who takes it over.
func (s *Service) abandon(r *relay, ended result, taken <-chan struct{}) {
	switch {
	case ended.failure == nil || !ended.failure.Sent || ended.rejection != nil:
		s.handovers.end(r.id)
	case r.begun && ended.isCancelled():
		s.leave(r.grant.Upstream, r.id, taken)
	default:
		s.handovers.end(r.id)
		s.cancel(r.grant.Upstream, r.id)
	}
}
