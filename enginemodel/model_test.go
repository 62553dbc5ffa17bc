package enginemodel

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	// firstEventLimit is the target for the first event of 95 in 100 requests.
	firstEventLimit = 1300 * time.Millisecond
	// maxOverCap is the users' limit on arrivals at engines with more than the load that they allow.
	maxOverCap = 0.03
	// minServedRatio is how much less often than all requests those of a kind may be served.
	minServedRatio = 0.25
)

// On each load, callers get their first event in time, no kind is starved, and no engine gets much more than
// its share.
func TestPlacementByPromptServesEachLoad(t *testing.T) {
	for _, load := range Loads() {
		t.Run(load.Name, func(t *testing.T) {
			t.Parallel()
			result := Run(load, Policies["prompt"], 1)
			t.Logf("reuse %.3f, skew %.2f, over cap %.4f", result.Reuse, result.Skew, result.OverCap)
			requests, served := 0, 0.0
			for _, kind := range result.Kinds {
				t.Logf("%+v", kind)
				requests, served = requests+kind.Requests, served+float64(kind.InAim+kind.Late)
			}
			for _, kind := range result.Kinds {
				must.LessEq(t, firstEventLimit, kind.P95, must.Sprint(kind.Kind))
				must.GreaterEq(t, minServedRatio*served/float64(requests), kind.Served(), must.Sprint(kind.Kind))
				must.Eq(t, kind.Requests, kind.InAim+kind.Late+kind.Expired+kind.Refused+kind.Lost, must.Sprint(kind.Kind))
			}
			must.LessEq(t, maxOverCap, result.OverCap)
		})
	}
}

// Placement by prompts reads fewer tokens again than policies that know only loads.
func TestPlacementByPromptReusesCaches(t *testing.T) {
	load := hooflineLarge()
	load.Length = 8 * time.Second
	byPrompt := Run(load, Policies["prompt"], 1)
	for _, name := range []string{"least-loaded", "free-slots", "random"} {
		other := Run(load, Policies[name], 1)
		t.Logf("reuse by prompt %.3f, %s %.3f", byPrompt.Reuse, name, other.Reuse)
		must.Less(t, byPrompt.Reuse, other.Reuse)
	}
}

func TestEqualSeedsGiveEqualResults(t *testing.T) {
	load := hooflineLarge()
	load.Length = 2 * time.Second
	must.Eq(t, Run(load, Policies["prompt"], 7), Run(load, Policies["prompt"], 7))
}

// A request that runs alone takes the time of its prompt and of its first event's steps.
func TestFirstEventOfALoneRequest(t *testing.T) {
	load := hooflineLarge()
	e := &engine{figures: load.Engine, cache: newCache(load.Engine.CacheTokens)}
	r := &request{parts: []part{{id: "a", tokens: 2048}}, output: 7}
	_, accepted := e.accept(r, 1024)
	must.True(t, accepted)
	var now, first time.Duration
	for len(e.running) > 0 {
		took, reads, tokens := e.nextStep()
		now += took
		e.endStep(reads, tokens, func(*request) { first = now })
	}
	step := load.Engine.StepTime + load.Engine.StepTimePerRequest
	read := time.Duration(3 * 1024 / load.Engine.PrefillTokensPerMs * float64(time.Millisecond))
	must.Between(t, 10*step+read-time.Microsecond, first, 10*step+read+time.Microsecond)
	must.Eq(t, 2048, e.cache.cachedTokens(r.parts))
}
