package departure

import (
	"fmt"
	"testing"
	"time"

	"agateswitch/core/fleet"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func TestLaterIncarnationDoesNotLeave(t *testing.T) {
	var marks Marks
	must.True(t, marks.Add(Mark{Upstream: "e1", Incarnation: 5}, start))
	must.False(t, marks.Add(Mark{Upstream: "e1", Incarnation: 4}, start))
	must.True(t, marks.Has("e1", 5))
	must.True(t, marks.Has("e1", 4))
	must.False(t, marks.Has("e1", 6))
	must.False(t, marks.Has("e2", 5))
	must.True(t, marks.Add(Mark{Upstream: "e1", Incarnation: 6}, start))
	must.True(t, marks.Has("e1", 6))
}

// Routers that tell each other their marks in any order end with the same ones.
func TestMarksConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := start
		routers := make([]Marks, rapid.IntRange(2, 5).Draw(t, "routers"))
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "pause")) * time.Millisecond)
			from := rapid.IntRange(0, len(routers)-1).Draw(t, "from")
			if rapid.Bool().Draw(t, "answer") {
				mark := Mark{Upstream: fleet.UpstreamID(fmt.Sprint("e", rapid.IntRange(0, 3).Draw(t, "engine")))}
				mark.Incarnation = int64(rapid.IntRange(0, 3).Draw(t, "incarnation"))
				routers[from].Add(mark, now)
				continue
			}
			to := rapid.IntRange(0, len(routers)-1).Draw(t, "to")
			for _, mark := range routers[from].Told(now) {
				routers[to].Add(mark, now)
			}
		}
		for range routers {
			for from := range routers {
				for to := range routers {
					for _, mark := range routers[from].Told(now) {
						routers[to].Add(mark, now)
					}
				}
			}
		}
		for i := range routers {
			for id := range routers[0].marked {
				must.Eq(t, routers[0].marked[id].incarnation, routers[i].marked[id].incarnation)
			}
			must.Eq(t, len(routers[0].marked), len(routers[i].marked))
		}
	})
}

func TestToldMarksAreBoundedAndRecent(t *testing.T) {
	var marks Marks
	for i := range 2 * maxTold {
		marks.Add(Mark{Upstream: fleet.UpstreamID(fmt.Sprint(i))}, start.Add(time.Duration(i)*time.Millisecond))
	}
	now := start.Add(time.Second)
	told := marks.Told(now)
	must.Len(t, maxTold, told)
	must.Eq(t, fleet.UpstreamID(fmt.Sprint(2*maxTold-1)), told[0].Upstream)
	must.SliceEmpty(t, marks.Told(now.Add(tellDuration+time.Second)))
	must.True(t, marks.Has("0", 0))
	marks.Add(Mark{Upstream: "late"}, now.Add(2*keepDuration))
	must.False(t, marks.Has("0", 0))
}
