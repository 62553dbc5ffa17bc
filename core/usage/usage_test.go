package usage

import (
	"fmt"
	"testing"
	"time"

	"agateswitch/core/fleet"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// Rows that arrive in any order, repeated and out of date, add up to what was counted.
func TestMergeIsCommutativeAndIdempotent(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		counted, told := NewCounter(), []Row{}
		for range rapid.IntRange(1, 60).Draw(rt, "requests") {
			source := Source{Host: fleet.HostID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "host")), Incarnation: rapid.Int64Range(1, 2).Draw(rt, "incarnation")}
			counted.Add(source, rapid.Int64Range(1, 3).Draw(rt, "window"), fleet.Team(rapid.SampledFrom([]string{"x", "y"}).Draw(rt, "team")))
			if rapid.Bool().Draw(rt, "tells") {
				told = append(told, counted.Rows(0)...)
			}
		}
		told = append(told, counted.Rows(0)...)
		merged := NewCounter()
		for _, row := range rapid.Permutation(append(told, told...)).Draw(rt, "order") {
			merged.Merge(row)
		}
		must.Eq(rt, counted.Rows(0), merged.Rows(0))
	})
}

// A minority of hosts whose time of day is set does not move the estimate, and neither does the own one.
func TestClockOutvotesSetTimes(t *testing.T) {
	var clock Clock
	for i := range 5 {
		set := time.Duration(0)
		if i < 2 {
			set = 7 * time.Second
		}
		clock.Learn(fleet.HostID(fmt.Sprint(i)), time.Unix(1000, 0).Add(set), time.Second)
	}
	must.Eq(t, 999*time.Second, clock.Ahead("0", 2*time.Second))
}

func BenchmarkMergeAtFullSize(b *testing.B) {
	var rows []Row
	for host := range 295 {
		counts := map[fleet.Team]int{}
		for team := range 24 {
			counts[fleet.Team(fmt.Sprint(team))] = team + 1
		}
		rows = append(rows, Row{Host: fleet.HostID(fmt.Sprint(host)), Incarnation: 1, Window: 1, Counts: counts})
	}
	for b.Loop() {
		counter := NewCounter()
		for _, row := range rows {
			counter.Merge(row)
		}
		counter.Sum(1)
	}
}
