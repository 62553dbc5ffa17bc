package warmth

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"agateswitch/core/fleet"

	"github.com/shoenig/test/must"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// A part counts only on engines that have all parts before it cached, too.
func TestCachedTokensEndAtFirstGap(t *testing.T) {
	m := NewMap()
	m.RecordUse("a", "e1", start, RepublishAfter)
	m.RecordUse("c", "e1", start, RepublishAfter)
	m.RecordUse("a", "e2", start, RepublishAfter)
	m.RecordUse("b", "e2", start, RepublishAfter)
	m.RecordUse("b", "e3", start, RepublishAfter)
	prompt := []Part{{"a", 10}, {"b", 20}, {"c", 40}}
	must.Eq(t, map[fleet.UpstreamID]int{"e1": 10, "e2": 30}, m.CachedTokens(prompt, start))
	must.Eq(t, 0, len(m.CachedTokens(prompt, start.Add(cacheTTL+1))))
	m.RemoveEngine("e2")
	must.Eq(t, map[fleet.UpstreamID]int{"e1": 10}, m.CachedTokens(prompt, start))
	must.True(t, m.HasPart("b", start))
	must.False(t, m.HasPart("d", start))
}

// Merging entries of another router doesn't renew them. Routers that exchange entries would otherwise
// assume a part to be cached for ever.
func TestMergedPartsKeepTheirAge(t *testing.T) {
	known, other := NewMap(), NewMap()
	known.RecordUse("a", "e1", start, RepublishAfter)
	now := start.Add(cacheTTL / 2)
	other.RecordUse("a", "e1", now, RepublishAfter)
	other.Merge(known.All(now), now)
	must.True(t, other.HasPart("a", start.Add(cacheTTL+1)))
	fresh := NewMap()
	fresh.Merge(known.All(now), now)
	must.False(t, fresh.HasPart("a", start.Add(cacheTTL+1)))
}

func TestMapIsBounded(t *testing.T) {
	m := NewMap()
	for i := range maxParts + 100 {
		m.RecordUse(fmt.Sprint(i), "e1", start, RepublishAfter)
	}
	must.LessEq(t, maxParts, len(m.parts))
}

// Repeated uses are published rarely, but often enough that the entry never expires on other routers.
func TestRepeatedUseIsRarelyPublished(t *testing.T) {
	own, other := NewMap(), NewMap()
	now, published := time.Unix(0, 0), 0
	const uses = 3050
	for range uses {
		if own.RecordUse("a", "e1", now, RepublishAfter) {
			published++
			other.Merge([]CachedPart{{Part: "a", Engine: "e1"}}, now)
		}
		must.True(t, other.HasPart("a", now))
		now = now.Add(100 * time.Millisecond)
	}
	must.LessEq(t, uses/100, published)
	// A router that has received a use doesn't publish the next one.
	must.False(t, other.RecordUse("a", "e1", now, RepublishAfter))
}

// Routers of earlier builds tell ids of any length, which filled the memory of those that learned them.
func TestLongIDsOfOtherRoutersAreNotKept(t *testing.T) {
	now := time.Now()
	m := NewMap()
	m.Merge([]CachedPart{{Part: strings.Repeat("a", maxPartBytes+1), Engine: "e1"}, {Part: "b", Engine: "e1"}}, now)
	must.MapLen(t, 1, m.parts)
	must.True(t, m.HasPart("b", now))
}
