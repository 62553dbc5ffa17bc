// Package ratelimit divides the rate limits that upstreams state among all routers. Each upstream's token bucket
// (core/ratelimit) is kept by one router, the first in the upstream's rendezvous order. The others draw a token from
// it for each request that they send. A router that gets no answer draws from the next one in that order, and as a last
// resort uses a small part of the limit by itself.
package ratelimit

import (
	"context"
	"sync"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/core/ratelimit"
	"agateswitch/node/keeper"
	"agateswitch/port"

	"github.com/charmbracelet/log"
)

// Intervals, timeouts and limits.
const (
	// drawTimeout bounds a draw from another router.
	drawTimeout = 150 * time.Millisecond
	// minWait and maxWait bound how long a router that got no token does not ask again.
	minWait = 10 * time.Millisecond
	maxWait = 2 * time.Second
	// idleTime is how long the state of an upstream is kept without a draw, and pruneInterval the time between
	// two checks for that.
	idleTime      = time.Minute
	pruneInterval = 10 * time.Second
	// rankCount is the number of ranks that are told apart. Less urgent ones count as the last.
	rankCount = 4
)

// keyPrefix distinguishes the rendezvous order from others of the same upstream.
const keyPrefix = "ratelimit/"

// Fleet provides the other routers.
type Fleet interface {
	Others() []fleet.HostID
	// Count returns the number of routers that may send to upstreams.
	Count() int
	// Leaving reports whether this router is leaving.
	Leaving() bool
}

// Limits provides the limits that upstreams have stated to any router.
type Limits interface {
	RateLimit(upstream fleet.UpstreamID, incarnation int64) (perSecond float64, limited bool)
	RateLimitMark(upstream fleet.UpstreamID, incarnation int64) (ratelimit.Mark, bool)
	LearnRateLimits(marks []ratelimit.Mark)
	// RateLimits returns the limits in force.
	RateLimits() []ratelimit.Mark
}

// Service draws tokens, and keeps the buckets of some upstreams for all routers. It is safe for concurrent use.
type Service struct {
	self      fleet.HostID
	transport port.Peers
	fleet     Fleet
	limits    Limits
	keepers   *keeper.Order
	log       *log.Logger

	mu        sync.Mutex
	upstreams map[fleet.UpstreamID]*upstream
	prunedAt  time.Time
}

// upstream is the state of one incarnation of an upstream. Service.mu guards it.
type upstream struct {
	incarnation int64
	usedAt      time.Time
	// bucket has the tokens of all routers, if this one keeps them.
	bucket ratelimit.Bucket
	// fallback has this router's tokens while no keeper answers.
	fallback ratelimit.Bucket
	// grants holds the tokens that this router got lately, to be charged if another keeper takes over.
	grants []*grant
	// dryUntil holds, by rank, until when there is no token.
	dryUntil [rankCount]time.Time
}

// New returns the service of a router and registers its peer method.
func New(self fleet.HostID, transport port.Peers, others Fleet, limits Limits, logger *log.Logger) *Service {
	s := &Service{
		self: self, transport: transport, fleet: others, limits: limits, log: logger,
		upstreams: map[fleet.UpstreamID]*upstream{}, keepers: keeper.NewOrder(self, others, keyPrefix),
	}
	transport.Handle(methodDraw, s.handleDraw)
	return s
}

// Source states where the answer to a draw came from.
type Source string

// Sources of answers.
const (
	// SourceNone means that the upstream has no limit.
	SourceNone Source = ""
	// SourceBucket means that the router that keeps the upstream's bucket answered, and SourceWait that it had no
	// token a moment ago.
	SourceBucket Source = "bucket"
	SourceWait   Source = "wait"
	// SourceFallback means that no router that keeps the bucket answered.
	SourceFallback Source = "fallback"
	// SourceNoTime means that the caller's context ended first.
	SourceNoTime Source = "no_time"
)

// Draw is the answer to a draw.
type Draw struct {
	// Granted is true if a request may be sent.
	Granted bool
	Source  Source
	// PerSecond is the upstream's limit; zero means that it has none.
	PerSecond float64
}

// Limited reports whether an incarnation of an upstream has a limit.
func (s *Service) Limited(id fleet.UpstreamID, incarnation int64) bool {
	_, limited := s.limits.RateLimit(id, incarnation)
	return limited
}

// DryUntil returns until when there is no token for a request of a rank, as far as this router knows. It is in the past
// if there may be one.
func (s *Service) DryUntil(id fleet.UpstreamID, incarnation int64, rank int) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if u, found := s.upstreams[id]; found && u.incarnation == incarnation {
		return u.dryUntil[rankIndex(rank)]
	}
	return time.Time{}
}

// Draw asks whether a request of the given rank may be sent to an upstream.
func (s *Service) Draw(ctx context.Context, id fleet.UpstreamID, incarnation int64, rank int) Draw {
	mark, found := s.limits.RateLimitMark(id, incarnation)
	if !found || mark.PerSecond == 0 {
		return Draw{Granted: true}
	}
	perSecond := mark.PerSecond
	if time.Now().Before(s.DryUntil(id, incarnation, rank)) {
		return Draw{Source: SourceWait, PerSecond: perSecond}
	}
	for _, first := range s.keepers.Of(id) {
		uncounted := s.takeUncounted(id, incarnation, first)
		response, answered := s.drawFrom(ctx, first, drawRequest{Mark: mark, Rank: rank, ChargeAgesMs: agesMs(uncounted)})
		if answered {
			if response.Granted {
				s.recordGrant(id, incarnation, first)
			}
			s.recordDry(id, incarnation, rank, response.wait())
			return Draw{Granted: response.Granted, Source: SourceBucket, PerSecond: perSecond}
		}
		s.putBack(uncounted, first)
		if ctx.Err() != nil {
			return Draw{Source: SourceNoTime, PerSecond: perSecond}
		}
	}
	return s.drawFallback(id, incarnation, rank, perSecond)
}

// drawFrom draws a token from a router. It returns false if that has not answered or is leaving.
func (s *Service) drawFrom(ctx context.Context, from fleet.HostID, request drawRequest) (drawResponse, bool) {
	if from == s.self {
		return s.deal(request), true
	}
	call, cancel := context.WithTimeout(ctx, drawTimeout)
	defer cancel()
	var response drawResponse
	err := s.transport.Call(call, from, methodDraw, request, &response)
	if err == nil && !response.Leaving {
		s.limits.LearnRateLimits([]ratelimit.Mark{response.Mark})
		return response, true
	}
	if ctx.Err() != nil {
		// That the caller has left says nothing of the keeper.
		return drawResponse{}, false
	}
	s.log.Info("router gave no answer on an upstream's rate limit; not asking it for a while", "peer", from,
		"upstream", request.Mark.Upstream, "leaving", response.Leaving, "left_alone", s.keepers.SetSilent(from, err), "err", err)
	return drawResponse{}, false
}

// drawFallback draws a token from this router's own part of the limit.
func (s *Service) drawFallback(id fleet.UpstreamID, incarnation int64, rank int, perSecond float64) Draw {
	now, routers := time.Now(), s.fleet.Count()
	s.mu.Lock()
	u := s.state(id, incarnation, now)
	granted, wait := u.fallback.TakeFallback(now, perSecond, routers)
	s.mu.Unlock()
	if granted {
		s.recordGrant(id, incarnation)
	}
	s.recordDry(id, incarnation, rank, wait)
	return Draw{Granted: granted, Source: SourceFallback, PerSecond: perSecond}
}

// recordDry records that there is no token for requests of a rank, and of less urgent ones, for some time.
func (s *Service) recordDry(id fleet.UpstreamID, incarnation int64, rank int, wait time.Duration) {
	if wait <= 0 {
		return
	}
	now := time.Now()
	until := now.Add(min(max(wait, minWait), maxWait))
	s.mu.Lock()
	defer s.mu.Unlock()
	u := s.state(id, incarnation, now)
	for i := rankIndex(rank); i < rankCount; i++ {
		if until.After(u.dryUntil[i]) {
			u.dryUntil[i] = until
		}
	}
}

// state returns the state of an upstream. The caller holds mu.
func (s *Service) state(id fleet.UpstreamID, incarnation int64, now time.Time) *upstream {
	if now.Sub(s.prunedAt) > pruneInterval {
		s.prunedAt = now
		for other, u := range s.upstreams {
			if now.Sub(u.usedAt) > idleTime {
				delete(s.upstreams, other)
			}
		}
	}
	u, found := s.upstreams[id]
	if !found || u.incarnation < incarnation {
		u = &upstream{incarnation: incarnation}
		s.upstreams[id] = u
	}
	u.usedAt = now
	return u
}

func rankIndex(rank int) int { return min(max(rank, 0), rankCount-1) }
