package detour

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"agateswitch/core/fleet"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

const pool = fleet.PoolID("lm")

func routers(prefix string, count int) []fleet.HostID {
	var ids []fleet.HostID
	for i := range count {
		ids = append(ids, fleet.HostID(fmt.Sprint(prefix, i)))
	}
	return ids
}

func TestRouterOfTheSameDataCentreIsAskedFirst(t *testing.T) {
	p := NewPeers()
	id, found := p.Choose(pool, routers("near", 2), routers("far", 4), nil, start)
	must.True(t, found)
	must.Eq(t, "near0", id)
}

// With all near routers cut off, requests go to far ones at once, and not all to the same.
func TestRoutersOfACutDataCentreAreAvoided(t *testing.T) {
	p := NewPeers()
	near, far := routers("near", 3), routers("far", 4)
	p.Observe(pool, "near0", NoPath, start)
	used := map[fleet.HostID]bool{}
	for i := range far {
		order := append(slices.Clone(far[i:]), far[:i]...)
		id, found := p.Choose(pool, near, order, nil, start.Add(time.Second+time.Millisecond))
		must.True(t, found)
		p.Observe(pool, id, Reached, start)
		used[id] = true
	}
	must.Eq(t, len(far), len(used))
	must.MapNotContainsKeys(t, used, near)
}

// One router of many has a path: it is found by those that were told of it.
func TestHintLeadsToTheRouterWithAPath(t *testing.T) {
	p := NewPeers()
	near, far := routers("near", 50), routers("far", 100)
	first, _ := p.Choose(pool, near, far, nil, start)
	p.Observe(pool, first, NoPath, start)
	p.Hint(pool, "far77", start)
	id, found := p.Choose(pool, near, far, []fleet.HostID{first}, start)
	must.True(t, found)
	must.Eq(t, "far77", id)
}

func TestRouterThatAnsweredIsAskedAgainSoon(t *testing.T) {
	p := NewPeers()
	p.Observe(pool, "near0", NoPath, start)
	_, found := p.Choose(pool, routers("near", 1), nil, nil, start.Add(noPathTime-time.Millisecond))
	must.False(t, found)
	_, found = p.Choose(pool, routers("near", 1), nil, nil, start.Add(noPathTime))
	must.True(t, found)
	_, found = p.Choose("another", routers("near", 1), nil, nil, start)
	must.True(t, found)
}

// No router is asked twice for a request, none that has lately had no path or room, and no more than MaxAsked.
func TestOffersAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := NewPeers()
		near, far := routers("n", rapid.IntRange(0, 4).Draw(t, "near")), routers("f", rapid.IntRange(0, 6).Draw(t, "far"))
		now := start
		avoid := map[fleet.HostID]time.Time{}
		for range rapid.IntRange(1, 40).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "gap")) * time.Millisecond)
			var asked []fleet.HostID
			for {
				id, found := p.Choose(pool, near, far, asked, now)
				if !found {
					break
				}
				must.False(t, slices.Contains(asked, id))
				must.False(t, now.Before(avoid[id]))
				asked = append(asked, id)
				outcome := rapid.SampledFrom([]Outcome{Reached, NoPath, Busy, Silent}).Draw(t, "outcome")
				p.Observe(pool, id, outcome, now)
				switch outcome {
				case NoPath, Silent:
					avoid[id] = now.Add(noPathTime)
				case Busy:
					avoid[id] = now.Add(busyTime)
				}
			}
			must.LessEq(t, MaxAsked, len(asked))
			p.Prune(now)
		}
	})
}

func TestUrgentRequestsOfOthersFindRoomLonger(t *testing.T) {
	limit := Limit(0.192)
	must.Eq(t, 192, limit)
	must.Eq(t, minRequests, Limit(0))
	must.True(t, HasRoom(limit-1, limit, 0))
	must.False(t, HasRoom(limit, limit, 0))
	must.True(t, HasRoom(limit/2-1, limit, lowestRank))
	must.False(t, HasRoom(limit/2, limit, lowestRank))
}
