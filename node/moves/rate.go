package moves

import (
	"context"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/core/rendezvous"
	"agateswitch/port"
)

const (
	// rateWindow is the length of a counting window.
	rateWindow = 30 * time.Second
	// maxRateSample is the maximum number of routers, this one included, in a rate estimate.
	maxRateSample = 16
)

// rateCounter counts requests in the current window and keeps the count of the previous one.
type rateCounter struct {
	windowStart                 time.Time
	currentCount, previousCount int
	hasPrevious                 bool
}

// rateCounterOf returns a pool's counter and creates it if needed. The caller holds mu.
func (s *Service) rateCounterOf(pool fleet.PoolID) *rateCounter {
	counter, found := s.rates[pool]
	if !found {
		counter = &rateCounter{windowStart: time.Now()}
		s.rates[pool] = counter
	}
	return counter
}

// rotate starts a new window if the current one has ended.
func (c *rateCounter) rotate(now time.Time) {
	elapsed := now.Sub(c.windowStart)
	if elapsed < rateWindow {
		return
	}
	c.previousCount, c.hasPrevious = c.currentCount, true
	if elapsed >= 2*rateWindow {
		c.previousCount = 0
	}
	c.currentCount, c.windowStart = 0, now
}

func (c *rateCounter) count(now time.Time) {
	c.rotate(now)
	c.currentCount++
}

// perSecond returns the rate over the current and the previous window.
func (c *rateCounter) perSecond(now time.Time) float64 {
	c.rotate(now)
	span := max(now.Sub(c.windowStart), time.Second)
	if c.hasPrevious {
		span += rateWindow
	}
	return float64(c.previousCount+c.currentCount) / span.Seconds()
}

func (s *Service) handleRate(_ context.Context, _ fleet.HostID, decode port.Decode) (any, error) {
	var request rateRequest
	if err := decode(&request); err != nil {
		return nil, err
	}
	return rateResponse{PerSecond: s.localRate(request.Pool)}, nil
}

// localRate returns the rate of a pool's requests that ended on this router.
func (s *Service) localRate(pool fleet.PoolID) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rateCounterOf(pool).perSecond(time.Now())
}

// poolRate estimates a pool's rate in requests per second from a sample of the routers. It queries
// them only when a move is proposed, so that rates cause no continuous control traffic.
func (s *Service) poolRate(ctx context.Context, pool fleet.PoolID) float64 {
	others := s.otherRouters()
	sample := rendezvous.Order("rate/"+string(pool), others)
	sample = sample[:min(maxRateSample-1, len(sample))]
	sum, answered := s.localRate(pool), 1
	for _, to := range sample {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		var answer rateResponse
		err := s.peers.Call(callCtx, fleet.HostID(to), methodRate, rateRequest{Pool: pool}, &answer)
		cancel()
		if err != nil {
			s.members.Suspect(fleet.HostID(to))
			continue
		}
		sum += answer.PerSecond
		answered++
	}
	return sum / float64(answered) * float64(len(others)+1)
}
