package enginemodel

import (
	"math"
	"math/rand/v2"
	"sort"

	"agateswitch/core/balance"
)

// Choice is what a router knows when it places a request.
type Choice struct {
	Prompt     balance.Prompt
	Candidates []balance.Candidate
	Random     *rand.Rand
}

// Policy ranks the candidates, best first.
type Policy func(Choice) []int

// Policies are the policies by name.
var Policies = map[string]Policy{
	// prompt is what the gateway does with prompts.
	"prompt": func(c Choice) []int { return balance.ByPrompt(c.Prompt, c.Candidates, math.Inf(1)).Order },
	// packed is what it does with pack_long_prompts.
	"packed": func(c Choice) []int {
		c.Prompt.PacksLongReads = true
		return balance.ByPrompt(c.Prompt, c.Candidates, math.Inf(1)).Order
	},
	"least-loaded": func(c Choice) []int {
		ties := make([]uint64, len(c.Candidates))
		for i := range ties {
			ties[i] = c.Random.Uint64()
		}
		return balance.ByLoad(c.Candidates, func(i int) uint64 { return ties[i] }).Order
	},
	"free-slots": func(c Choice) []int { return balance.ByFreeSlots(c.Candidates, math.Inf(1), c.Random.Float64).Order },
	"random":     func(c Choice) []int { return c.Random.Perm(len(c.Candidates)) },
}

// PolicyNames returns the names of the policies in order.
func PolicyNames() []string {
	names := make([]string, 0, len(Policies))
	for name := range Policies {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
