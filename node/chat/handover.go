package chat

import (
	"context"
	"sync"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/port"
)

// methodTakeOver is the peer method by which a router notifies the router that served a stream before
// that it now serves the rest of the stream.
const methodTakeOver = "chat.take_over"

const (
	// resumeGrace is how long an engine's work continues after the caller disconnected from a
	// stream, so that the caller can resume the stream at another router.
	resumeGrace = 2 * time.Second
	// takeOverTimeout is the timeout of a take-over notification.
	takeOverTimeout = time.Second
)

type takeOverRequest struct {
	Request fleet.RequestID
	// Sender identifies the process that now serves the stream.
	Sender uint64
}

type takeOverResponse struct {
	// Known is true if the receiving router serves the stream, or if the stream's caller disconnected
	// from it within the last resumeGrace.
	Known bool
}

// handovers tracks which streams of this router were taken over by another router.
type handovers struct {
	// mu guards takenOver: handlers of peer calls close the channels that the streams' goroutines
	// wait for.
	mu sync.Mutex
	// takenOver holds one channel per stream, which is closed when the stream is taken over.
	takenOver map[fleet.RequestID]chan struct{}
}

// register adds a stream. The returned channel is closed when another router takes the stream over.
func (h *handovers) register(id fleet.RequestID) <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.takenOver == nil {
		h.takenOver = map[fleet.RequestID]chan struct{}{}
	}
	takenOver := make(chan struct{})
	h.takenOver[id] = takenOver
	return takenOver
}

// remove removes the registration that returned takenOver. A later one of the same stream stays.
func (h *handovers) remove(id fleet.RequestID, takenOver <-chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.takenOver[id] == takenOver {
		delete(h.takenOver, id)
	}
}

// markTakenOver marks a stream as taken over, and reports whether the stream is registered.
func (h *handovers) markTakenOver(id fleet.RequestID) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	takenOver, found := h.takenOver[id]
	if !found {
		return false
	}
	select {
	case <-takenOver:
	default:
		close(takenOver)
	}
	return true
}

// Join exchanges take-over notifications with the other routers. It must be called before serving.
func (s *Service) Join(peers port.Peers) {
	s.peers = peers
	peers.Handle(methodTakeOver, func(_ context.Context, from fleet.HostID, decode port.Decode) (any, error) {
		var request takeOverRequest
		if err := decode(&request); err != nil {
			return nil, err
		}
		// This router has marked its own earlier part of the stream, and serves the one that is registered.
		known := request.Sender != s.instance && s.handovers.markTakenOver(request.Request)
		s.telemetry.Log.Info("another router took over a stream", "request", request.Request, "by", from, "known", known)
		return takeOverResponse{Known: known}, nil
	})
}

// notifyTakeOver notifies, in the background, the router that served the stream before, so that it does
// not cancel the engine's work. A failure is only logged: if that router has departed, it cannot cancel
// the work either.
func (s *Service) notifyTakeOver(resumption Resumption) {
	if s.peers == nil || resumption.Host == "" {
		return
	}
	s.background.Go(func() {
		ctx, stop := context.WithTimeout(context.Background(), takeOverTimeout)
		defer stop()
		var response takeOverResponse
		err := s.peers.Call(ctx, resumption.Host, methodTakeOver, takeOverRequest{Request: resumption.Request, Sender: s.instance}, &response)
		if err != nil {
			s.telemetry.Log.Info("failed to notify a stream's previous router of its take-over",
				"request", resumption.Request, "peer", resumption.Host, "err", err)
		}
	})
}

// cancelAfterGrace cancels the work on a stream whose caller disconnected, unless a router takes the
// stream over within resumeGrace. It runs in the background.
func (s *Service) cancelAfterGrace(upstream fleet.Upstream, id fleet.RequestID, takenOver <-chan struct{}) {
	s.background.Go(func() {
		defer s.handovers.remove(id, takenOver)
		grace := time.NewTimer(resumeGrace)
		defer grace.Stop()
		select {
		case <-takenOver:
			s.telemetry.Log.Info("caller resumed its stream; engine's work not cancelled", "request", id, "upstream", upstream.ID)
		case <-grace.C:
			s.cancel(upstream, id)
		}
	})
}

// finishStream removes an ended stream from the handovers and cancels the engine's work if it may
// still run. If the caller disconnected after it received its resume token, the stream is left to
// cancelAfterGrace, because another router may take it over.
func (s *Service) finishStream(r *relay, ended result, takenOver <-chan struct{}) {
	switch {
	case ended.failure == nil || !ended.failure.Sent || ended.rejection != nil:
		s.handovers.remove(r.id, takenOver)
	case r.begun && ended.isCancelled():
		s.cancelAfterGrace(r.grant.Upstream, r.id, takenOver)
	default:
		s.handovers.remove(r.id, takenOver)
		s.cancel(r.grant.Upstream, r.id)
	}
}
