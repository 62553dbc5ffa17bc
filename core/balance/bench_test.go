package balance_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"agateswitch/core/balance"
	"agateswitch/core/fleet"
	"agateswitch/core/rendezvous"
)

// BenchmarkSearch measures the ranking of 160 engines for a prompt, alone, by speed with long prompts packed, and with the search for one with room when half of them
// may be full.
func BenchmarkSearch(b *testing.B) {
	random := rand.New(rand.NewPCG(1, 2))
	var candidates []balance.Candidate
	for i := range 160 {
		id := fmt.Sprint("e", i)
		held := float64(random.IntN(8))
		candidates = append(candidates, balance.Candidate{
			ID: fleet.UpstreamID(id), Hash: rendezvous.Hash(id), Running: held, Held: held, Uncached: 9000, Slots: 64,
		})
	}
	prompt := balance.Prompt{Key: "k", Tokens: 9000, CostGranularity: balance.StaleLoadCostGranularity, RandomTie: 7}
	b.Run("ranking", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			balance.ByPrompt(prompt, candidates, 7)
		}
	})
	b.Run("ranking by speed", func(b *testing.B) {
		b.ReportAllocs()
		stated, packed := slices.Clone(candidates), prompt
		packed.PacksLongReads = true
		for i := range stated {
			stated[i].WorkTime = 1 + float64(random.IntN(4)/3)*random.Float64()
		}
		for b.Loop() {
			balance.ByPrompt(packed, stated, 7)
		}
	})
	b.Run("search", func(b *testing.B) { searchAll(b, prompt, candidates, random) })
}

func searchAll(b *testing.B, prompt balance.Prompt, candidates []balance.Candidate, random *rand.Rand) {
	b.ReportAllocs()
	for b.Loop() {
		ranking := balance.ByPrompt(prompt, candidates, 7)
		search := balance.NewSearch(ranking, candidates, balance.UnseenLoad(false, ranking.MeanLoad, 0), random)
		for i, needsPlace, found := search.Next(); found && needsPlace; i, needsPlace, found = search.Next() {
			search.Refuse(i, 8)
		}
	}
}
