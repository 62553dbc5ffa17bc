package quarantine

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"agateswitch/core/quarantine"

	"github.com/shoenig/test/must"
)

// A trial used to begin, and to fail, in a wave of which the latest engines ended without a request in work.
func TestTrialWaitsForTheEndsOfIdleEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, services := newFleet(3)
		defer runAll(services)()
		playWave(services, "p")
		for i := range 10 {
			for _, s := range services {
				s.Lost(engine(40+i), "", quarantine.EntryGone)
			}
			time.Sleep(waveInterval)
			must.True(t, isHeldBy(services[2], "p"))
		}
		time.Sleep(2 * time.Second)
		try(t, services, "p")
	})
}

// An engine whose entry is gone before its connections end has still ended on what it worked on.
func TestLostEntryHidesNoEndInWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, services := newFleet(2)
		defer runAll(services)()
		for i := range 4 {
			services[0].Lost(engine(i), "", quarantine.EntryGone)
			services[1].Lost(engine(i), "", quarantine.Refused)
			time.Sleep(time.Second)
			services[i%2].Ended(engine(i), []quarantine.Part{"bad"}, &Permit{}, quarantine.Origin{})
			// A lost entry is no second end of the engine.
			services[0].Lost(engine(i), "", quarantine.EntryGone)
			time.Sleep(time.Second)
		}
		for _, s := range services {
			held := s.Admit(context.Background(), []quarantine.Part{"bad"}, false, deadline())
			must.True(t, held.Held)
			must.False(t, held.InDoubt)
		}
	})
}

// An engine that answers has not ended, whatever became of its entry.
func TestAnswerRefutesALostEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, services := newFleet(1)
		services[0].Lost(engine(1), "lm", quarantine.EntryGone)
		must.True(t, services[0].HasEnded(engine(1)))
		time.Sleep(time.Second)
		services[0].Answered(engine(1), []quarantine.Part{"p"}, time.Now())
		must.False(t, services[0].HasEnded(engine(1)))
		must.MapEmpty(t, services[0].news.refuted)
	})
}

// A hold used to be in doubt for good, and to cost one more engine, if the router that placed it heard of the end of an engine before it heard
// that the part had been in work there.
func TestHoldIsInNoDoubtOnceItsEndsAreKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, services := newFleet(1)
		s := services[0]
		s.Ended(engine(0), []quarantine.Part{"bad"}, &Permit{}, quarantine.Origin{})
		time.Sleep(5 * time.Second)
		told := []quarantine.End{}
		for i := range 3 {
			told = append(told, quarantine.End{Part: "bad", Engine: engine(10 + i), At: time.Now()})
			s.evidence.AddEnding(told[i])
			time.Sleep(60 * time.Millisecond)
		}
		for i := range 3 {
			s.Ended(engine(20+i), []quarantine.Part{"bad"}, &Permit{}, quarantine.Origin{})
			time.Sleep(60 * time.Millisecond)
		}
		must.True(t, s.Admit(context.Background(), []quarantine.Part{"bad"}, false, deadline()).InDoubt)
		s.mu.Lock()
		for _, end := range told {
			s.addEnd(end)
		}
		s.mu.Unlock()
		held := s.Admit(context.Background(), []quarantine.Part{"bad"}, false, deadline())
		must.True(t, held.Held)
		must.False(t, held.InDoubt)
	})
}

// The few requests of one router used to pass for those of the pool, so that a part held for good reason was tried again.
func TestFewRequestsSayNothingOfThePool(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, services := newFleet(1)
		s, h := services[0], &hold{Hold: quarantine.Hold{Part: "p", Pool: "lm"}}
		for range minWanted {
			s.mu.Lock()
			must.False(t, s.sharesMost(h))
			s.wanted.Add("lm", []quarantine.Part{"p"}, time.Now())
			s.mu.Unlock()
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		must.True(t, s.sharesMost(h))
	})
}
