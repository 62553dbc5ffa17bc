package moves

import (
	"context"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/core/rendezvous"
	"agateswitch/port"
)

const (
	// rateWindow is the time over which a rate is counted.
	rateWindow = 30 * time.Second
	// rateSample is the most routers that are asked for their rate.
	rateSample = 16
)

// rateCounter counts requests in the window that runs and keeps the one before.
type rateCounter struct {
	began         time.Time
	running, last int
	hasLast       bool
}

func (s *Service) rate(pool fleet.PoolID) *rateCounter {
	counter, found := s.rates[pool]
	if !found {
		counter = &rateCounter{began: time.Now()}
		s.rates[pool] = counter
	}
	return counter
}

func (c *rateCounter) turn(now time.Time) {
	passed := now.Sub(c.began)
	if passed < rateWindow {
		return
	}
	c.last, c.hasLast = c.running, true
	if passed >= 2*rateWindow {
		c.last = 0
	}
	c.running, c.began = 0, now
}

func (c *rateCounter) count(now time.Time) {
	c.turn(now)
	c.running++
}

func (c *rateCounter) perSecond(now time.Time) float64 {
	c.turn(now)
	span := max(now.Sub(c.began), time.Second)
	if c.hasLast {
		span += rateWindow
	}
	return float64(c.last+c.running) / span.Seconds()
}

func (s *Service) handleRate(_ context.Context, _ fleet.HostID, decode port.Decode) (any, error) {
	var request rateRequest
	if err := decode(&request); err != nil {
		return nil, err
	}
	return rateResponse{PerSecond: s.ownRate(request.Pool)}, nil
}

func (s *Service) ownRate(pool fleet.PoolID) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rate(pool).perSecond(time.Now())
}

// poolRate estimates a pool's rate in requests a second from a sample of the routers, so
// that no steady traffic is needed for it.
func (s *Service) poolRate(ctx context.Context, pool fleet.PoolID) float64 {
	others := s.others()
	sample := rendezvous.Order("rate/"+string(pool), others)
	sample = sample[:min(rateSample-1, len(sample))]
	sum, answered := s.ownRate(pool), 1
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
