package enginemodel

import (
	"math"
	"time"

	"agateswitch/core/balance"
	"agateswitch/core/rendezvous"
)

// speeds is what routers know of the engines' speed.
type speeds struct {
	seed uint64
	// own holds what each router was told itself, and shared what they tell each other.
	own    []balance.WorkTimes
	shared balance.WorkTimes
}

func newSpeeds(load Load, seed uint64) speeds {
	return speeds{seed: rendezvous.Mix(seed, 2), own: make([]balance.WorkTimes, load.Routers)}
}

// slowness returns how long work takes at an engine now, relative to the usual time.
func (s *simulation) slowness(engine int) float64 {
	noise := s.load.Noise
	if noise.Every <= 0 {
		return 1
	}
	draw := rendezvous.Mix(s.speeds.seed, uint64(engine)+1)
	phase := time.Duration(draw % uint64(noise.Every))
	period := uint64((s.now + phase) / noise.Every)
	if float64(rendezvous.Mix(draw, period+1)) < noise.Share*math.MaxUint64 {
		return noise.Factor
	}
	return 1
}

// clock returns a virtual moment.
func clock(at time.Duration) time.Time { return time.Unix(0, 0).Add(at) }

// stateSpeed lets an engine state its speed to a router.
func (s *simulation) stateSpeed(router, engine int) {
	percent, statedAt := 100*s.slowness(engine), s.now
	id := s.identity[engine].ID
	switch s.load.Speeds {
	case KnowOwn:
		s.speeds.own[router].State(id, percent, clock(statedAt))
	case KnowShared:
		s.after(s.load.LoadAge, func() {
			age := int((s.now - statedAt).Milliseconds())
			s.speeds.shared.Merge(balance.WorkTimeMark{Upstream: id, Percent: int(percent), AgeMs: age}, clock(s.now), false)
		})
	}
}

// workTime returns what a router assumes of an engine's speed; 0 if routers know nothing of it.
func (s *simulation) workTime(router, engine int) float64 {
	switch id := s.identity[engine].ID; s.load.Speeds {
	case KnowOwn:
		return s.speeds.own[router].WorkTime(id, clock(s.now))
	case KnowShared:
		return s.speeds.shared.WorkTime(id, clock(s.now))
	case KnowAll:
		return s.slowness(engine)
	}
	return 0
}
