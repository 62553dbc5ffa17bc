package drain

import (
	"fmt"
	"testing"
	"time"

	"agateswitch/core/configuration"
	"agateswitch/core/fleet"
	"agateswitch/core/rendezvous"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// For any sequence of changes, a data centre that is out has weight 0, one that is in service
// has a weight in (0, 1] that never decreases, and the ramp ends after its duration.
func TestWeightRampsMonotonically(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.UnixMilli(1_700_000_000_000)
		dataCentre, previous, returnedAt := configuration.DataCentre{Name: "arima"}, 1.0, now
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 100_000).Draw(t, "ms")) * time.Millisecond)
			},
			"set": func(t *rapid.T) {
				out := rapid.Bool().Draw(t, "out")
				if dataCentre.Out && !out {
					previous, returnedAt = 0, now
				}
				dataCentre = Change(dataCentre, out, 0, now)
			},
			"": func(t *rapid.T) {
				weight := Weight(dataCentre, now)
				if dataCentre.Out {
					must.Eq(t, 0, weight)
					return
				}
				must.Greater(t, 0, weight)
				must.GreaterEq(t, previous, weight)
				if dataCentre.ChangedMillis == 0 || now.Sub(returnedAt) >= configuration.DefaultRampSeconds*time.Second {
					must.Eq(t, 1, weight)
				}
				previous = weight
			},
		})
	})
}

// While a data centre returns, chats move only to it, gradually, and each chat moves at most
// once.
func TestChatsReturnGraduallyAndMoveOnce(t *testing.T) {
	const (
		chats = 2000
		steps = 12
	)
	start := time.UnixMilli(1_700_000_000_000)
	dataCentre := Change(configuration.DataCentre{Out: true}, false, 0, start)
	homes := make([]string, chats)
	moves := make([]int, chats)
	for chat := range chats {
		homes[chat] = homeOf(chat, 0)
	}
	for step := range steps + 1 {
		weight := Weight(dataCentre, start.Add(time.Duration(step)*configuration.DefaultRampSeconds*time.Second/steps))
		moved := 0
		for chat := range chats {
			home := homeOf(chat, weight)
			if home != homes[chat] {
				must.StrHasPrefix(t, "back", home)
				moves[chat]++
				moved++
			}
			homes[chat] = home
		}
		// A quarter of the engines returns, so a step of the ramp moves about a quarter of a twelfth.
		must.LessEq(t, 2*chats/4/steps, moved)
	}
	for _, count := range moves {
		must.LessEq(t, 1, count)
	}
}

// homeOf returns the home of a chat among nine engines that stay and three that return with a
// weight.
func homeOf(chat int, weight float64) string {
	best, home := 0.0, ""
	for i := range 12 {
		name, nodeWeight := fmt.Sprintf("stay-%d", i), 1.0
		if i%4 == 0 {
			name, nodeWeight = fmt.Sprintf("back-%d", i), weight
		}
		if score := rendezvous.Weighted(fmt.Sprint("chat-", chat), name, nodeWeight); score > best {
			best, home = score, name
		}
	}
	return home
}

func TestEffectAndLastInService(t *testing.T) {
	usable := []fleet.Upstream{{DataCentre: "a"}, {DataCentre: "a"}, {DataCentre: "b"}, {DataCentre: "c"}}
	pool := configuration.Pool{Name: "p", BoundFactor: 1.25}
	must.Eq(t, Effect{Pool: "p", Leaving: 2, Total: 4, BoundPercent: 160}, EffectOn(pool, usable, "a"))
	must.Eq(t, Effect{Pool: "p", Leaving: 1, Total: 1}, EffectOn(pool, usable[:1], "a"))
	delta := configuration.Delta{To: 1, Items: []configuration.Item{{
		Key: configuration.Key{Kind: configuration.KindDataCentre, Name: "b"}, Revision: 1, Value: []byte(`{"name":"b","out":true}`),
	}}}
	current, _, err := configuration.Empty().Apply(delta)
	must.NoError(t, err)
	must.True(t, IsLastInService("a", []fleet.DataCentre{"a", "b"}, current))
	must.False(t, IsLastInService("a", []fleet.DataCentre{"a", "b", "c"}, current))
}
