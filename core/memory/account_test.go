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

func TestNoOrderOfCallsPassesTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Int64Range(1, 1000).Draw(t, "limit")
		a := NewAccount(limit)
		holders := []*Holder{{}, {}, {}, {Kept: true}}
		for step := range rapid.IntRange(1, 100).Draw(t, "steps") {
			h := rapid.SampledFrom(holders).Draw(t, "holder")
			bytes := rapid.Int64Range(0, 400).Draw(t, "bytes")
			if rapid.Bool().Draw(t, "take") {
				a.Take(h, bytes, time.Unix(int64(step), 0))
			} else {
				a.Give(h, bytes)
			}
			var sum int64
			for _, h := range holders {
				must.LessEq(t, h.Bytes, 0)
				sum += h.Bytes
			}
			must.Eq(t, sum, a.Used())
			must.LessEq(t, limit, a.Used())
		}
	})
}
