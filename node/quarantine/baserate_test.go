package quarantine

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"agateswitch/core/quarantine"
	"agateswitch/node/replica"
	"agateswitch/port"

	"github.com/shoenig/test/must"
)

// sendShared sends requests of which each has the common part, and each third the other one. The last permit is of a request with both.
func sendShared(s *Service, requests int) *Permit {
	permit := &Permit{}
	for i := range requests {
		parts := []quarantine.Part{"common"}
		if i%3 == (requests-1)%3 {
			parts = append(parts, "bad")
		}
		permit = &Permit{}
		s.Sent(permit, "lm", 1, parts)
	}
	return permit
}

// A part that all prompts share used to be held back after four ends of engines, on all routers.
func TestCommonPartIsNotHeldBackInAWave(t *testing.T) {
	for _, routers := range []int{6, 88, 295} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m, services := newFleet(routers)
				defer runAll(services)()
				for i := range 14 {
					s := services[i%len(services)]
					s.Ended(engine(i), []quarantine.Part{"common"}, sendShared(s, 9), quarantine.Origin{})
					time.Sleep(time.Second)
				}
				for _, s := range services {
					permit := s.Admit(context.Background(), []quarantine.Part{"common"}, true, deadline())
					must.Eq(t, "", permit.Denied)
					must.False(t, permit.Alone)
				}
				must.MapEmpty(t, m.store)
			})
		})
	}
}

// The part that ends engines is found within five ends beside one that all prompts share, and one engine an attempt is all that it costs later.
func TestGuiltyPartIsFoundBesideACommonOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, services := newFleet(6)
		defer runAll(services)()
		for i := range 4 {
			s := services[i]
			s.Ended(engine(i), []quarantine.Part{"common", "bad"}, sendShared(s, 30), quarantine.Origin{})
			time.Sleep(time.Second)
		}
		must.True(t, isHeldBy(services[5], "bad"))
		must.Positive(t, m.stored(t, "bad").Weight.Factor)
		must.Len(t, 1, services[5].Holds())
		denied := services[5].Admit(context.Background(), []quarantine.Part{"bad"}, false, deadline())
		must.Between(t, 29*time.Minute, denied.NextTrial, 30*time.Minute)
		time.Sleep(30 * time.Minute)
		permit, router := try(t, services, "bad")
		router.Ended(engine(30), []quarantine.Part{"bad"}, permit, quarantine.Origin{})
		router.Return(permit)
		time.Sleep(29 * time.Minute)
		must.True(t, isHeldBy(services[0], "bad"))
		must.Len(t, 1, m.stored(t, "bad").FailedTrials)
		// A sound part would be answered now.
		time.Sleep(2 * time.Minute)
		permit, router = try(t, services, "bad")
		router.Answered(engine(40), []quarantine.Part{"bad"}, time.Now())
		router.Return(permit)
		time.Sleep(time.Second)
		must.SliceEmpty(t, services[3].Holds())
	})
}

// An entry without evidence, as builds before this one wrote them, used to outlive a restart of all routers for a day.
func TestHoldWithoutEvidenceIsTriedAfterARestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, services := newFleet(3)
		earlier := fmt.Sprintf(`{"part":"p","since":%q,"engines":["e1","e2","e3","e4"],"router":"front-9"}`, time.Now().Format(time.RFC3339Nano))
		for _, s := range services {
			s.Observe([]replica.Change{{Entry: port.Entry{Key: KeyPrefix + "p", Value: []byte(earlier)}}})
			must.True(t, s.Admit(context.Background(), []quarantine.Part{"p"}, false, deadline()).InDoubt)
		}
		defer runAll(services)()
		time.Sleep(2 * time.Second)
		permit, router := try(t, services, "p")
		router.Answered(engine(20), []quarantine.Part{"p"}, time.Now())
		router.Return(permit)
		time.Sleep(time.Second)
		must.True(t, m.stored(t, "p").Released)
	})
}

// A trial that ends within a wave says little, and used to hold a sound part for good.
func TestTrialWithinAWaveIsRepeatedSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m, services := newFleet(6)
		defer runAll(services)()
		playWave(services, "p")
		time.Sleep(2 * time.Second)
		permit, router := try(t, services, "p")
		for i := range 3 {
			router.Ended(engine(30+i), []quarantine.Part{"else"}, &Permit{}, quarantine.Origin{})
			time.Sleep(100 * time.Millisecond)
		}
		router.Ended(engine(40), []quarantine.Part{"p"}, permit, quarantine.Origin{})
		router.Return(permit)
		time.Sleep(500 * time.Millisecond)
		must.True(t, m.stored(t, "p").Disturbed)
		time.Sleep(10 * time.Second)
		try(t, services, "p")
	})
}
