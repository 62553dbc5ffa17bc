package balance

import (
	"math"
	"time"
)

// SmoothingTime is the time constant of SmoothedLoad: long enough for a router that sends to a pool about
// once a second to see more than one moment of it.
const SmoothingTime = 3 * time.Second

// SmoothedLoad is a mean of an upstream's load over the last seconds. The zero value has seen none.
type SmoothedLoad struct {
	mean float64
	at   time.Time
}

// Add adds the load at now and returns the mean.
func (s *SmoothedLoad) Add(now time.Time, load float64) float64 {
	if s.at.IsZero() {
		s.mean, s.at = load, now
		return load
	}
	weight := 1 - math.Exp(-now.Sub(s.at).Seconds()/SmoothingTime.Seconds())
	s.mean, s.at = s.mean+weight*(load-s.mean), now
	return s.mean
}
