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
	ranking := ByPrompt("key", true, 9000, candidates)
	must.Eq(t, 3, ranking.Order[0])
	must.Eq(t, Warm, ranking.Reason)
	// More left to read than the prompt's own tokens.
	candidates[3].Unread = 15000
	ranking = ByPrompt("key", true, 9000, candidates)
	must.NotEq(t, 3, ranking.Order[0])
	must.Eq(t, Spread, ranking.Reason)
	// More running than the bound.
	candidates[3].Unread, candidates[3].Running = 0, 20
	must.NotEq(t, 3, ByPrompt("key", true, 9000, candidates).Order[0])
}

// Routers that know nothing agree on an engine, and keep agreeing while others come and go.
func TestUnknownPromptsHaveAHome(t *testing.T) {
	candidates := pool(9)
	home := ByPrompt("key", false, 9000, candidates).Order[0]
	for lost := range candidates {
		if lost == home {
			continue
		}
		rest := append(append([]Candidate(nil), candidates[:lost]...), candidates[lost+1:]...)
		must.Eq(t, candidates[home].ID, rest[ByPrompt("key", false, 9000, rest).Order[0]].ID)
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
		chosen := ByPrompt(fmt.Sprint("key", hot, i%100), hot, 9000, candidates).Order[0]
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
	must.Eq(t, 2, ByPrompt("key", true, 9000, candidates).Order[2])
	for i := range candidates {
		candidates[i].FailureRate = 0.9
	}
	must.Eq(t, 2, ByLoad(candidates, tie).Order[0])
}

func TestNoCandidates(t *testing.T) {
	must.Len(t, 0, ByPrompt("key", true, 10, nil).Order)
	must.Len(t, 0, ByLoad(nil, nil).Order)
}
