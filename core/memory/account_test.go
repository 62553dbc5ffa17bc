package memory

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func TestWhoHoldsTheMostForTheLongestGivesWay(t *testing.T) {
	start := time.Unix(0, 0)
	a := NewAccount(100)
	stalled, active, kept := &Holder{}, &Holder{}, &Holder{Kept: true}
	for _, h := range []*Holder{stalled, active, kept} {
		taken, _ := a.Take(h, 30, start)
		must.True(t, taken)
	}
	now := start.Add(10 * time.Second)
	active.ProgressAt = now
	taken, first := a.Take(&Holder{}, 20, now)
	must.False(t, taken)
	must.Eq(t, stalled, first)
	_, first = a.Take(&Holder{}, 20, now)
	must.Eq(t, stalled, first, must.Sprint("it was told before"))
	a.Give(stalled, 30)
	taken, _ = a.Take(&Holder{}, 20, now)
	must.True(t, taken)
	large := &Holder{}
	_, first = a.Take(large, 80, now)
	must.Eq(t, large, first, must.Sprint("the largest of the active ones"))
}

// A client that sends a byte now and then used to count as active.
func TestTricklingClientGivesWayToAnActiveOne(t *testing.T) {
	now := time.Unix(0, 0)
	a := NewAccount(100)
	trickling, asking := &Holder{}, &Holder{}
	a.Take(trickling, 40, now)
	for range 100 {
		now = now.Add(time.Second)
		a.Progress(trickling, 1, now)
	}
	taken, _ := a.Take(asking, 40, now)
	must.True(t, taken)
	_, first := a.Take(asking, 40, now)
	must.Eq(t, trickling, first)
}

// A holder that was told to give way, and whose request was complete by then, used to be told again and again.
func TestCompleteRequestDoesNotGiveWay(t *testing.T) {
	now := time.Unix(0, 0)
	a := NewAccount(100)
	late, other := &Holder{}, &Holder{}
	a.Take(late, 60, now)
	a.Take(other, 20, now)
	now = now.Add(time.Minute)
	_, first := a.Take(&Holder{}, 30, now)
	must.Eq(t, late, first)
	must.False(t, a.Keep(late), must.Sprint("it has to give way"))
	must.True(t, a.Keep(other))
	a.Reset(late)
	taken, _ := a.Take(late, 60, now)
	must.True(t, taken)
	must.True(t, a.Keep(late))
	asking := &Holder{}
	_, first = a.Take(asking, 30, now)
	must.Eq(t, asking, first)
}

func TestOneOwnerLeavesRoomForOthers(t *testing.T) {
	now := time.Unix(0, 0)
	a := NewAccount(1000)
	a.Reserve = 100
	take := func(owner string, bytes int64) bool {
		h := &Holder{UsesReserve: owner == "router"}
		a.Assign(h, owner)
		taken, _ := a.Take(h, bytes, now)
		return taken
	}
	for range 100 {
		take("crowd", 10)
	}
	must.Eq(t, 750, a.Used())
	must.True(t, take("team", 200))
	must.False(t, take("third", 100))
	must.True(t, take("router", 150))
	taken, _ := NewAccount(1000).Take(&Holder{owner: "single"}, 1000, now)
	must.True(t, taken, must.Sprint("a single request may take more"))
}

// In any order of calls the sums stay within their bounds, and who gives way is the rival that holds the most for the longest with the
// least progress, and whose request is not complete.
func TestNoOrderOfCallsPassesTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Int64Range(1, 1000).Draw(t, "limit")
		a := NewAccount(limit)
		a.Reserve = rapid.Int64Range(0, 200).Draw(t, "reserve")
		holders := []*Holder{{}, {}, {}, {owner: "a"}, {owner: "a"}, {owner: "b"}, {UsesReserve: true}}
		for step := range rapid.IntRange(1, 100).Draw(t, "steps") {
			now := time.Unix(int64(step), 0)
			h := rapid.SampledFrom(holders).Draw(t, "holder")
			bytes := rapid.Int64Range(0, 400).Draw(t, "bytes")
			switch rapid.IntRange(0, 6).Draw(t, "call") {
			case 0, 1, 2:
				told := map[*Holder]bool{}
				for _, other := range holders {
					told[other] = other.evicted
				}
				if taken, first := a.Take(h, bytes, now); !taken && first != h {
					must.False(t, first.Kept)
					for _, other := range holders {
						isRival := !other.Kept && other != h && !told[first] && (h.owner == "" || h.owner == other.owner) && !(other.UsesReserve && !h.UsesReserve)
						if isRival {
							must.LessEq(t, weightOf(first, now), weightOf(other, now))
						}
					}
				} else if taken && h.owner != "" && a.owned[h.owner] > h.Bytes {
					must.LessEq(t, a.ownerLimit(), a.owned[h.owner])
				}
			case 3:
				a.Give(h, bytes)
			case 4:
				a.Progress(h, bytes, now)
			case 5:
				a.Keep(h)
			case 6:
				a.Reset(h)
			}
			var sum, callers int64
			owned := map[string]int64{}
			for _, h := range holders {
				must.LessEq(t, h.Bytes, 0)
				sum += h.Bytes
				owned[h.owner] += h.Bytes
				if !h.UsesReserve {
					callers += h.Bytes
				}
			}
			must.Eq(t, sum, a.Used())
			must.LessEq(t, limit+a.Reserve, a.Used())
			must.LessEq(t, limit, callers)
			must.Eq(t, owned["a"], a.owned["a"])
		}
	})
}

func weightOf(h *Holder, now time.Time) float64 {
	return float64(h.Bytes) * max(minIdle, now.Sub(h.ProgressAt)).Seconds()
}
