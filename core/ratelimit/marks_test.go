package ratelimit

import (
	"math"
	"testing"
	"time"

	"agateswitch/core/fleet"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func TestClampBoundsWhatUpstreamsState(t *testing.T) {
	for stated, expected := range map[float64]float64{0: MinPerSecond, 0.01: MinPerSecond, 2.9: 2.9, MaxPerSecond: MaxPerSecond} {
		perSecond, usable := Clamp(stated)
		must.True(t, usable)
		must.Eq(t, expected, perSecond)
	}
	for _, stated := range []float64{-1, math.NaN(), math.Inf(1), math.Inf(-1), 1e300} {
		_, usable := Clamp(stated)
		must.False(t, usable, must.Sprint(stated))
	}
}

// An answer that was asked for before the limit was stated says nothing of its end, however late it arrives.
func TestLateAnswerDoesNotEndANewerLimit(t *testing.T) {
	var m Marks
	must.True(t, m.State("e", 1, 3, at(1000)))
	must.False(t, m.End("e", 1, at(900), at(2000)))
	perSecond, limited := m.Limit("e", 1)
	must.True(t, limited)
	must.Eq(t, 3.0, perSecond)
	must.True(t, m.End("e", 1, at(1001), at(2100)))
	_, limited = m.Limit("e", 1)
	must.False(t, limited)
}

func TestLimitOfAnEarlierIncarnationDoesNotCount(t *testing.T) {
	var m Marks
	m.State("e", 2, 3, at(0))
	_, limited := m.Limit("e", 3)
	must.False(t, limited)
	must.False(t, m.State("e", 1, 5, at(10)))
	m.State("e", 3, 7, at(20))
	perSecond, _ := m.Limit("e", 3)
	must.Eq(t, 7.0, perSecond)
	_, limited = m.Limit("e", 2)
	must.False(t, limited)
	must.Eq(t, map[fleet.UpstreamID]int64{"e": 3}, m.Limited())
}

// Small changes are in force here, but not told to others at once.
func TestSmallChangesAreNoNews(t *testing.T) {
	var m Marks
	must.True(t, m.State("e", 1, 3, at(0)))
	must.SliceLen(t, 1, m.TakeNews(at(0)))
	must.False(t, m.State("e", 1, 3.1, at(10)))
	perSecond, _ := m.Limit("e", 1)
	must.Eq(t, 3.1, perSecond)
	must.SliceEmpty(t, m.TakeNews(at(10)))
	must.True(t, m.State("e", 1, 2, at(20)))
	must.Eq(t, []Mark{{Upstream: "e", Incarnation: 1, PerSecond: 2, AgeMs: 5}}, m.TakeNews(at(25)))
}

func TestMarksAreBoundedAndForgotten(t *testing.T) {
	var m Marks
	for i := range maxMarks + 10 {
		m.State(fleet.UpstreamID(rune(0x4e00+i)), 1, 3, at(i))
	}
	must.MapLen(t, maxMarks, m.known)
	later := at(maxMarks).Add(2 * keepDuration)
	must.True(t, m.State("new", 1, 3, later))
	must.MapLen(t, 1, m.known)
	must.Eq(t, map[fleet.UpstreamID]int64{"new": 1}, m.Limited())
}

// Routers that hear of the same answers, in any order and repeatedly, agree; and a limit in force is at least as
// recent as each end.
func TestMergedMarksDoNotDependOnTheirOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := at(10_000)
		var told []Mark
		for range rapid.IntRange(1, 8).Draw(t, "answers") {
			told = append(told, Mark{
				Upstream: "e", Incarnation: rapid.Int64Range(1, 2).Draw(t, "incarnation"),
				PerSecond: float64(rapid.IntRange(0, 3).Draw(t, "limit")), AgeMs: rapid.Int64Range(0, 9).Draw(t, "age") * 1000,
			})
		}
		// Two answers with a limit that arrive at the same instant have no order.
		seen := map[[2]int64]bool{}
		var distinct []Mark
		for _, mark := range told {
			if key := [2]int64{mark.Incarnation, mark.AgeMs}; !seen[key] {
				seen[key] = true
				distinct = append(distinct, mark)
			}
		}
		var first, second Marks
		for _, mark := range distinct {
			first.Merge(mark, now, false)
		}
		order := rapid.Permutation(append(distinct, distinct...)).Draw(t, "order")
		for _, mark := range order {
			second.Merge(mark, now, false)
		}
		for _, incarnation := range []int64{1, 2} {
			limit, limited := first.Limit("e", incarnation)
			otherLimit, otherLimited := second.Limit("e", incarnation)
			must.Eq(t, limited, otherLimited)
			must.Eq(t, limit, otherLimit)
		}
		must.MapEq(t, first.Limited(), second.Limited())
	})
}
