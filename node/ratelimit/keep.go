package ratelimit

import (
	"context"
	"math"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/core/ratelimit"
	"agateswitch/port"
)

// methodDraw requests a token from the router that keeps an upstream's bucket.
const methodDraw = "ratelimit.draw"

// deal takes a token from the bucket that this router keeps.
func (s *Service) deal(request drawRequest) drawResponse {
	id, incarnation := request.Mark.Upstream, request.Mark.Incarnation
	s.limits.LearnRateLimits([]ratelimit.Mark{request.Mark})
	mark, found := s.limits.RateLimitMark(id, incarnation)
	if !found {
		mark = request.Mark
	}
	if !(mark.PerSecond > 0) {
		return drawResponse{Granted: true, Mark: mark}
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	bucket := &s.state(id, incarnation, now).bucket
	for _, age := range request.ChargeAgesMs[:min(len(request.ChargeAgesMs), maxGrants)] {
		bucket.Charge(now.Add(-time.Duration(age)*time.Millisecond), mark.PerSecond)
	}
	granted, wait := bucket.Take(now, mark.PerSecond, request.Rank)
	return drawResponse{Granted: granted, WaitMs: int64(math.Ceil(float64(wait) / float64(time.Millisecond))), Mark: mark}
}

// drawRequest requests a token. Mark is what the sender knows of the limit.
type drawRequest struct {
	Mark ratelimit.Mark `msgpack:"m"`
	Rank int            `msgpack:"r"`
	// ChargeAgesMs are the ages of requests that the sender has sent lately without a token of the receiver.
	ChargeAgesMs []int64 `msgpack:"c,omitempty"`
}

// drawResponse is the answer of the router that keeps the bucket.
type drawResponse struct {
	Granted bool `msgpack:"g"`
	// WaitMs is how long it takes until there is a token, if none was granted.
	WaitMs int64 `msgpack:"w,omitempty"`
	// Leaving is true if the router leaves and keeps no buckets any more.
	Leaving bool `msgpack:"x,omitempty"`
	// Mark is what the router knows of the limit.
	Mark ratelimit.Mark `msgpack:"m"`
}

func (r drawResponse) wait() time.Duration {
	if r.Granted {
		return 0
	}
	return time.Duration(min(r.WaitMs, maxWait.Milliseconds())) * time.Millisecond
}

func (s *Service) handleDraw(_ context.Context, _ fleet.HostID, decode port.Decode) (any, error) {
	var request drawRequest
	if err := decode(&request); err != nil {
		return nil, err
	}
	if s.fleet.Leaving() {
		return drawResponse{Leaving: true, Mark: request.Mark}, nil
	}
	return s.deal(request), nil
}
