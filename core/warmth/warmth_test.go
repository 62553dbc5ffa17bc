package warmth

import (
	"fmt"
	"testing"
	"time"

	"agateswitch/core/fleet"

	"github.com/shoenig/test/must"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// A part counts only where all parts before it are cached, too.
func TestCachedEndsAtTheFirstGap(t *testing.T) {
	m := NewMap()
	m.Use("a", "e1", start, RenewAfter)
	m.Use("c", "e1", start, RenewAfter)
	m.Use("a", "e2", start, RenewAfter)
	m.Use("b", "e2", start, RenewAfter)
	m.Use("b", "e3", start, RenewAfter)
	prompt := []Part{{"a", 10}, {"b", 20}, {"c", 40}}
	must.Eq(t, map[fleet.UpstreamID]int{"e1": 10, "e2": 30}, m.Cached(prompt, start))
	must.Eq(t, 0, len(m.Cached(prompt, start.Add(lifetime+1))))
	m.Forget("e2")
	must.Eq(t, map[fleet.UpstreamID]int{"e1": 10}, m.Cached(prompt, start))
	must.True(t, m.Known("b", start))
	must.False(t, m.Known("d", start))
}

func TestPlacementsOfOthersKeepTheirAge(t *testing.T) {
	known, other := NewMap(), NewMap()
	known.Use("a", "e1", start, RenewAfter)
	now := start.Add(lifetime / 2)
	other.Use("a", "e1", now, RenewAfter)
	other.Add(known.All(now), now)
	must.True(t, other.Known("a", start.Add(lifetime+1)))
	fresh := NewMap()
	fresh.Add(known.All(now), now)
	must.False(t, fresh.Known("a", start.Add(lifetime+1)))
}

func TestMapIsBounded(t *testing.T) {
	m := NewMap()
	for i := range maxParts + 100 {
		m.Use(fmt.Sprint(i), "e1", start, RenewAfter)
	}
	must.LessEq(t, maxParts, len(m.parts))
}

// Routers are told of a use once in a while, and often enough that they never take the part for
// lapsed.
func TestRepeatedUseIsSeldomNews(t *testing.T) {
	own, other := NewMap(), NewMap()
	now, told := time.Unix(0, 0), 0
	const uses = 3050
	for range uses {
		if own.Use("a", "e1", now, RenewAfter) {
			told++
			other.Add([]Placement{{Part: "a", Engine: "e1"}}, now)
		}
		must.True(t, other.Known("a", now))
		now = now.Add(100 * time.Millisecond)
	}
	must.LessEq(t, uses/100, told)
	// Who heard of a use need not tell of the next one.
	must.False(t, other.Use("a", "e1", now, RenewAfter))
}
