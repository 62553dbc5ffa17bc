package balance

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"agateswitch/core/fleet"

	"github.com/shoenig/test/must"
)

var began = time.Unix(1000, 0)

func TestWorkTimeFadesToTheUsualOne(t *testing.T) {
	var w WorkTimes
	must.Eq(t, 0, w.WorkTime("e", began))
	must.True(t, w.State("e", 250, began))
	must.Eq(t, 2.5, w.WorkTime("e", began))
	must.Eq(t, 1.75, w.WorkTime("e", began.Add(workTimeMemory/2)))
	must.Eq(t, 1, w.WorkTime("e", began.Add(workTimeMemory+1)))
	// What is no time has no say, and an older statement none against a newer one.
	for _, percent := range []float64{0, -100, math.NaN()} {
		must.False(t, w.State("e", percent, began.Add(time.Second)))
	}
	must.False(t, w.Merge(WorkTimeMark{Upstream: "e", Percent: 800, AgeMs: 50}, began, true))
	must.Eq(t, 2.5, w.WorkTime("e", began))
	must.True(t, w.State("e", 1e6, began.Add(1)))
	must.Eq(t, maxWorkTime, w.WorkTime("e", began.Add(1)))
}

// Other routers hear of slow upstreams, and of those that are at their usual speed again, in messages of bounded size.
func TestOnlyUnusualWorkTimesAreTold(t *testing.T) {
	var w WorkTimes
	for i := range 200 {
		w.State(fleet.UpstreamID(fmt.Sprint("usual-", i)), 104, began)
	}
	must.SliceEmpty(t, w.TakeNews(began))
	w.State("slow", 250, began)
	must.Eq(t, []WorkTimeMark{{Upstream: "slow", Percent: 250, AgeMs: 5}}, w.TakeNews(began.Add(5*time.Millisecond)))
	must.SliceEmpty(t, w.TakeNews(began.Add(6*time.Millisecond)))
	w.State("slow", 100, began.Add(300*time.Millisecond))
	must.Eq(t, []WorkTimeMark{{Upstream: "slow", Percent: 100}}, w.TakeNews(began.Add(300*time.Millisecond)))
	w.State("slow", 100, began.Add(5*time.Second))
	must.SliceEmpty(t, w.TakeNews(began.Add(5*time.Second)))
	must.SliceEmpty(t, w.Recent(began.Add(5*time.Second)))
	for i := range 200 {
		w.Merge(WorkTimeMark{Upstream: fleet.UpstreamID(fmt.Sprint("far-", i)), Percent: 300, AgeMs: i}, began.Add(6*time.Second), true)
	}
	news := w.TakeNews(began.Add(6 * time.Second))
	must.Len(t, MaxWorkTimesPerMessage, news)
	must.Eq(t, MaxWorkTimesPerMessage-1, news[len(news)-1].AgeMs)
	for i := range 3 * maxWorkTimes {
		w.State(fleet.UpstreamID(fmt.Sprint("more-", i)), 300, began.Add(7*time.Second))
	}
	must.LessEq(t, maxWorkTimes, len(w.known))
}

// An upstream that says that it is slow but answers like the others, or the other way round, loses its say until its statements
// agree again.
func TestLiesHaveNoSay(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for name, c := range map[string]struct{ stated, real float64 }{"says slow": {400, 1}, "says fast": {50, 1.5}, "hides it": {100, 2.5}} {
		var w WorkTimes
		now := began
		answer := func(id fleet.UpstreamID, stated, real float64) {
			now = now.Add(10 * time.Millisecond)
			w.State(id, stated, now)
			w.Judge(id, stated, 9000, time.Duration(real*math.Exp(random.NormFloat64()/4)*2e8))
		}
		for i := range 400 {
			answer(fleet.UpstreamID(fmt.Sprint("e", i%10)), 100, 1)
			answer("noisy", 250, 2.5)
			if i%10 == 0 {
				answer("liar", c.stated, c.real)
			}
		}
		w.State("liar", c.stated, now)
		must.Eq(t, 1, w.WorkTime("liar", now), must.Sprint(name))
		must.Eq(t, 2.5, w.WorkTime("noisy", now), must.Sprint(name))
		for range 30 {
			answer("liar", 250, 2.5)
		}
		must.Eq(t, 2.5, w.WorkTime("liar", now), must.Sprint(name))
	}
}

// drawnPool returns candidates in all states that a ranking depends on.
func drawnPool(random *rand.Rand) []Candidate {
	candidates := pool(1 + random.IntN(160))
	for i := range candidates {
		c := &candidates[i]
		c.Running, c.PendingPrefill, c.Slots = float64(random.IntN(40)), float64(random.IntN(20000)), 32
		c.Held, c.Uncached = c.Running, float64(9000-random.IntN(2)*random.IntN(9000))
		c.Fetchable = float64(random.IntN(2)) * c.Uncached / 2
		c.RateLimited, c.FailureRate = random.IntN(20) == 0, float64(random.IntN(10)/9)/2
	}
	return candidates
}

func drawnPrompt(random *rand.Rand) Prompt {
	return Prompt{
		Key: fmt.Sprint(random.IntN(100)), IsCached: random.IntN(2) == 0, Tokens: 9000, CostGranularity: StaleLoadCostGranularity * float64(random.IntN(2)),
		RandomTie: random.Uint64(),
	}
}

// Upstreams that state no work time rank as in the build before work times were known (ca337f3), of which the digest is.
func TestRankingWithoutWorkTimesIsAsBefore(t *testing.T) {
	const before = uint64(1519155535693065355)
	random, digest := rand.New(rand.NewPCG(3, 4)), fnv.New64a()
	for range 300 {
		candidates := drawnPool(random)
		fmt.Fprintln(digest, ByPrompt(drawnPrompt(random), candidates, float64(10+random.IntN(40))))
	}
	must.Eq(t, before, digest.Sum64())
}

// A slow engine is passed over for a prompt that has to be read anyway, keeps those that it has cached, and gets others once
// the rest of the pool has much to read.
func TestSlowEngineGetsLess(t *testing.T) {
	prompt := Prompt{Key: "key", IsCached: true, Tokens: 9000, CostGranularity: StaleLoadCostGranularity}
	candidates := pool(9)
	for i := range candidates {
		candidates[i].WorkTime, candidates[i].Slots = 1, 32
	}
	first := ByPrompt(prompt, candidates, math.Inf(1)).Order[0]
	candidates[first].WorkTime = 2.5
	must.NotEq(t, first, ByPrompt(prompt, candidates, math.Inf(1)).Order[0])
	candidates[first].Uncached = 500
	must.Eq(t, first, ByPrompt(prompt, candidates, math.Inf(1)).Order[0])
	candidates[first].Uncached = 9000
	for i := range candidates {
		if i != first {
			candidates[i].PendingPrefill = 30000
		}
	}
	must.Eq(t, first, ByPrompt(prompt, candidates, math.Inf(1)).Order[0])
}

// An engine that turns faster than all others gets no more than its speed bears, though no router knows of the others' requests: 60
// routers place 100 cold prompts each by the same loads.
func TestFastEngineIsNotFlooded(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 6))
	for name, usual := range map[string]float64{"fast": 1, "usual beside slow ones": 2.5} {
		candidates := pool(140)
		for i := range candidates {
			candidates[i].WorkTime = usual
		}
		candidates[7].WorkTime = usual / 2.5
		got := 0
		const requests = 6000
		for i := range requests {
			prompt := Prompt{Key: fmt.Sprint("k", i), Tokens: 9000, CostGranularity: StaleLoadCostGranularity, RandomTie: random.Uint64()}
			if ByPrompt(prompt, candidates, math.Inf(1)).Order[0] == 7 {
				got++
			}
		}
		mean := requests / 140.0
		must.Between(t, 1.5*mean, float64(got), 3.5*mean, must.Sprint(name))
	}
}
