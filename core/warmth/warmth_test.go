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
	m.Note("a", "e1", start)
	m.Note("c", "e1", start)
	m.Note("a", "e2", start)
	m.Note("b", "e2", start)
	m.Note("b", "e3", start)
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
	known.Note("a", "e1", start)
	now := start.Add(lifetime / 2)
	other.Note("a", "e1", now)
	other.Add(known.All(now), now)
	must.True(t, other.Known("a", start.Add(lifetime+1)))
	fresh := NewMap()
	fresh.Add(known.All(now), now)
	must.False(t, fresh.Known("a", start.Add(lifetime+1)))
}

func TestMapIsBounded(t *testing.T) {
	m := NewMap()
	for i := range maxParts + 100 {
		m.Note(fmt.Sprint(i), "e1", start)
	}
	must.LessEq(t, maxParts, len(m.parts))
}
