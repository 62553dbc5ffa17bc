package chat

import (
	"context"
	"time"

	"agateswitch/core/fleet"
)

const (
	// cancelTimeout is the timeout of one cancel request to an engine.
	cancelTimeout = 2 * time.Second
	// cancelAttempts is the maximum number of cancel requests. If all of them fail, the engine
	// completes the work.
	cancelAttempts = 2
)

// cancel requests, in the background, that an engine stops the work on a request whose answer is
// no longer needed.
func (s *Service) cancel(upstream fleet.Upstream, id fleet.RequestID) {
	s.background.Go(func() {
		for range cancelAttempts {
			err := s.tryCancel(upstream, id)
			if err == nil {
				return
			}
			s.telemetry.Log.Warn("failed to cancel a request on its engine", "request", id, "upstream", upstream.ID, "err", err)
		}
	})
}

func (s *Service) tryCancel(upstream fleet.Upstream, id fleet.RequestID) error {
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	return s.upstreams.Cancel(ctx, upstream, id)
}
