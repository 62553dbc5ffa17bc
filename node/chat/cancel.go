package chat

import (
	"context"
	"time"

	"agateswitch/core/fleet"
)

const (
	// cancelTimeout bounds one cancel of an engine's work.
	cancelTimeout = 2 * time.Second
	// cancelAttempts is how often a cancel is tried. The work ends by itself in the end.
	cancelAttempts = 2
)

// cancel tells an engine in the background to stop the work on a request whose answer
// nobody waits for.
func (s *Service) cancel(upstream fleet.Upstream, id fleet.RequestID) {
	s.cancelling.Go(func() {
		for range cancelAttempts {
			err := s.cancelOnce(upstream, id)
			if err == nil {
				return
			}
			s.telemetry.Log.Warn("engine's work not cancelled", "request", id, "upstream", upstream.ID, "err", err)
		}
	})
}

func (s *Service) cancelOnce(upstream fleet.Upstream, id fleet.RequestID) error {
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	return s.upstreams.Cancel(ctx, upstream, id)
}
