package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"agateswitch/core/fleet"
	"agateswitch/core/rendezvous"

	"github.com/shoenig/test/must"
)

func pool(n int) []Candidate {
	candidates := make([]Candidate, n)
	for i := range candidates {
		id := fmt.Sprintf("e%d", i)
		candidates[i] = Candidate{ID: fleet.UpstreamID(id), Hash: rendezvous.Hash(id), Uncached: 9000}
	}
	return candidates
}

func TestWarmEngineIsTakenUnlessItIsLoaded(t *testing.T) {
	candidates := pool(9)
	candidates[3].Uncached = 500
	ranking := ByPrompt(Prompt{Key: "key", Known: true, Tokens: 9000}, candidates)
	must.Eq(t, 3, ranking.Order[0])
	must.Eq(t, Warm, ranking.Reason)
	// More left to read than the prompt's own tokens.
	candidates[3].PendingPrefill = 15000
	ranking = ByPrompt(Prompt{Key: "key", Known: true, Tokens: 9000}, candidates)
	must.NotEq(t, 3, ranking.Order[0])
	must.Eq(t, Spread, ranking.Reason)
	// More running than the bound.
	candidates[3].PendingPrefill, candidates[3].Running = 0, 20
	must.NotEq(t, 3, ByPrompt(Prompt{Key: "key", Known: true, Tokens: 9000}, candidates).Order[0])
}

// Routers that know nothing agree on an engine, and keep agreeing while others come and go.
func TestUnknownPromptsHaveAHome(t *testing.T) {
	candidates := pool(9)
	home := ByPrompt(Prompt{Key: "key", Tokens: 9000}, candidates).Order[0]
	for lost := range candidates {
		if lost == home {
			continue
		}
		rest := append(append([]Candidate(nil), candidates[:lost]...), candidates[lost+1:]...)
		must.Eq(t, candidates[home].ID, rest[ByPrompt(Prompt{Key: "key", Tokens: 9000}, rest).Order[0]].ID)
	}
}

// A surge on one prompt leaves no engine above the fleet's bound of twice the mean and 3, though
// only one engine has the prompt at first. The load: 40 requests run at once, of which 3 in 4 ask
// for the same prompt.
func TestHotPromptIsSpread(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	candidates := pool(9)
	warm := map[int]bool{0: true}
	var running []int
	for i := range 5000 {
		hot := random.IntN(4) > 0
		for e := range candidates {
			candidates[e].Uncached = 9000
			if hot && warm[e] {
				candidates[e].Uncached = 500
			}
		}
		chosen := ByPrompt(Prompt{Key: fmt.Sprint("key", hot, i%100), Known: hot, Tokens: 9000}, candidates).Order[0]
		if hot {
			warm[chosen] = true
		}
		candidates[chosen].Running++
		running = append(running, chosen)
		if len(running) > 40 {
			ended := random.IntN(len(running))
			candidates[running[ended]].Running--
			running = append(running[:ended], running[ended+1:]...)
		}
		mean := float64(len(running)) / 9
		must.LessEq(t, 2*mean+3, candidates[chosen].Running)
	}
}

func TestFailingUpstreamComesLastUnlessAllFail(t *testing.T) {
	tie := func(i int) uint64 { return uint64(i) }
	candidates := pool(3)
	candidates[2].FailureRate = 0.9
	must.Eq(t, 2, ByLoad(candidates, tie).Order[2])
	must.Eq(t, 2, ByPrompt(Prompt{Key: "key", Known: true, Tokens: 9000}, candidates).Order[2])
	for i := range candidates {
		candidates[i].FailureRate = 0.9
	}
	must.Eq(t, 2, ByLoad(candidates, tie).Order[0])
}

func TestNoCandidates(t *testing.T) {
	must.Len(t, 0, ByPrompt(Prompt{}, nil).Order)
	must.Len(t, 0, ByLoad(nil, nil).Order)
}

// Routers with old figures do not all send to the engine that had least: 500 requests a second
// for prompts that no engine has, at 60 engines, with figures that are renewed 4 times a second.
func TestOldFiguresDoNotDrawACrowd(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	const interval, lasts, engines = 125, 300, 60
	now := make([]Candidate, 0)
	now = append(now, pool(engines)...)
	old := append([]Candidate(nil), now...)
	ends := make([][]int, 5000+lasts)
	above, judged := 0, 0
	for i := range 5000 {
		if i%interval == 0 {
			copy(old, now)
		}
		for _, e := range ends[i] {
			now[e].Running--
		}
		running := 0.0
		for _, c := range now {
			running += c.Running
		}
		chosen := ByPrompt(Prompt{
			Key: fmt.Sprint(random.IntN(400)), Tokens: 9000, Step: OldFiguresStep, Draw: random.Uint64(),
		}, old).Order[0]
		if i > lasts {
			judged++
			if now[chosen].Running > 2*running/engines+3 {
				above++
			}
		}
		now[chosen].Running++
		ends[i+1+random.IntN(2*lasts-1)%lasts] = append(ends[i+1+random.IntN(2*lasts-1)%lasts], chosen)
	}
	must.LessEq(t, 0.03, float64(above)/float64(judged))
}
