package rollout

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Until the version gets all requests, all routers together stay within the exposure bound at any
// time, however the requests are distributed among them.
func TestExposureStaysWithinItsBound(t *testing.T) {
	exposure := Exposure{Share: 0.1, Slack: 50}
	random := rand.New(rand.NewPCG(1, 2))
	for _, routers := range []int{1, 6, 8, 88} {
		requests, exposed := make([]int, routers), make([]int, routers)
		all, sent := 0, 0
		for i := range 20000 {
			phase := PhaseCanary
			if i > 10000 {
				phase = PhaseRamp
			}
			// At least half of the requests arrive at one router.
			router := random.IntN(2) * random.IntN(routers)
			requests[router]++
			all++
			if exposure.Admits(phase, requests[router], exposed[router], routers, random.Float64()) {
				exposed[router]++
				sent++
			}
			must.LessEq(t, exposure.Share*float64(all)+exposure.Slack, float64(sent))
		}
		must.Positive(t, sent)
	}
}

func TestPhasesOfAShortMove(t *testing.T) {
	for age, want := range map[time.Duration]Phase{
		0: PhaseCanary, 5 * time.Second: PhaseCanary, 7 * time.Second: PhaseRamp, 9 * time.Second: PhaseFull,
		11 * time.Second: PhaseDue, time.Hour: PhaseDue,
	} {
		must.Eq(t, want, PhaseAt(age, 12*time.Second), must.Sprint(age))
	}
	must.Eq(t, PhaseDue, PhaseAt(time.Second, 0))
}

// A short move has no time for steps: at its deadline it is rolled back unless requests ended on the
// new version, fewer than half of them failed, and there is no suspicion.
func TestEndOfAShortMove(t *testing.T) {
	for _, c := range []struct {
		phase              Phase
		verdict            Verdict
		requests, failures uint32
		want               Status
	}{
		{PhaseCanary, Verdict{Bad: true}, 1, 1, StatusRolledBack},
		{PhaseFull, Verdict{Strength: suspicionThreshold}, 100, 3, StatusRunning},
		{PhaseDue, Verdict{Strength: suspicionThreshold}, 100, 3, StatusRolledBack},
		{PhaseDue, Verdict{}, 0, 0, StatusRolledBack},
		{PhaseDue, Verdict{}, 1, 1, StatusRolledBack},
		{PhaseDue, Verdict{}, 100, 1, StatusDone},
	} {
		status, _ := DecideShortMove(c.phase, c.verdict, c.requests, c.failures)
		must.Eq(t, c.want, status)
	}
}
