package routing

import (
	"strings"
	"testing"

	"agateswitch/core/fleet"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// Match returns the host's route with the longest prefix of the path, for any set of routes.
func TestMatchReturnsLongestPrefix(t *testing.T) {
	segment := rapid.SampledFrom([]string{"a", "b", "ab"})
	rapid.Check(t, func(t *rapid.T) {
		path := func(label string) string {
			return "/" + strings.Join(append(rapid.SliceOfN(segment, 0, 3).Draw(t, label), ""), "/")
		}
		var state State
		for range rapid.IntRange(0, 8).Draw(t, "routes") {
			state.Routes = append(state.Routes, Route{
				Host: rapid.SampledFrom([]string{"one.example", "two.example"}).Draw(t, "host"), Prefix: path("prefix"),
			})
		}
		requestPath, host := path("path"), rapid.SampledFrom([]string{"one.example", "ONE.example:80", "three.example"}).Draw(t, "asked")
		found, ok := Compile(state).Match(host, requestPath)
		longest := -1
		for _, route := range state.Routes {
			if strings.HasPrefix(strings.ToLower(host), route.Host) && strings.HasPrefix(requestPath, route.Prefix) {
				longest = max(longest, len(route.Prefix))
			}
		}
		must.Eq(t, longest >= 0, ok)
		if ok {
			must.Eq(t, longest, len(found.Prefix))
		}
	})
}

func TestPickFollowsWeights(t *testing.T) {
	route := Route{Pools: []WeightedPool{{Pool: "old", Weight: 90}, {Pool: "new", Weight: 10}}}
	counts := map[fleet.PoolID]int{}
	for i := range 1000 {
		pool, found := route.Pick(float64(i) / 1000)
		must.True(t, found)
		counts[pool]++
	}
	must.Eq(t, map[fleet.PoolID]int{"old": 900, "new": 100}, counts)
	_, found := (&Route{}).Pick(0.5)
	must.False(t, found)
}

func TestTeamsAndKeys(t *testing.T) {
	table := Compile(State{Teams: []Team{{Name: "one", Keys: []string{"k1", "k2"}}, {Name: "none"}}})
	team, found := table.Team("k2")
	must.True(t, found)
	must.Eq(t, fleet.Team("one"), team.Name)
	for _, unknown := range []string{"", "k3"} {
		_, found = table.Team(unknown)
		must.False(t, found)
	}
	must.True(t, table.NeedsKey(&Route{}))
	must.False(t, table.NeedsKey(&Route{Public: true}))
	must.False(t, Compile(State{}).NeedsKey(&Route{}))
}

func TestRepeatable(t *testing.T) {
	must.True(t, (&Route{Kind: Idempotent}).Repeatable())
	must.False(t, (&Route{Kind: NonIdempotent, Resumable: true}).Repeatable())
	must.False(t, (&Route{Kind: Streaming}).Repeatable())
	must.True(t, (&Route{Kind: Streaming, Resumable: true}).Repeatable())
}
