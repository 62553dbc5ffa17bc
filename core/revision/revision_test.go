package revision

import (
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func TestNumbersOfAnEarlierEraComeFirst(t *testing.T) {
	must.True(t, Revision{Era: 2, Number: 5}.After(Revision{Era: 1, Number: 900}))
	must.True(t, Revision{Era: 2, Number: 6}.After(Revision{Era: 2, Number: 5}))
	lost := Revision{Era: 1, Number: 900}
	carried := Revision{Era: 2, Number: 5}.Carry(lost)
	must.True(t, carried.After(Revision{Era: 2, Number: 5}))
	must.True(t, Revision{Era: 2, Number: 6}.After(carried))
	must.True(t, Revision{Era: 2, Number: 5}.Carry(Revision{Era: 1, Number: 901}).After(carried))
	must.Eq(t, Revision{Era: 3, Number: 1, Carried: 900}, Revision{Era: 3, Number: 1}.Carry(carried))
	must.Eq(t, Revision{Era: 2, Number: 5}, carried.Stored())
	must.Eq(t, "7", Revision{Number: 7}.String())
	must.Eq(t, "2.7+900", Revision{Era: 2, Number: 7}.Carry(lost).String())
	must.Eq(t, Revision{Era: 2, Number: 6}, Latest(Revision{Era: 2, Number: 6}, Revision{}, Revision{Era: 1, Number: 9}))
}

func TestOrderIsTotal(t *testing.T) {
	place := rapid.Custom(func(t *rapid.T) Revision {
		return Revision{
			Era: rapid.Int64Range(0, 3).Draw(t, "era"), Number: rapid.Int64Range(0, 3).Draw(t, "number"), Carried: rapid.Int64Range(0, 2).Draw(t, "carried"),
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := place.Draw(t, "a"), place.Draw(t, "b"), place.Draw(t, "c")
		must.Eq(t, -b.Compare(a), a.Compare(b))
		must.Eq(t, a == b, a.Compare(b) == 0)
		if a.After(b) && b.After(c) {
			must.True(t, a.After(c))
		}
	})
}
