package quarantine

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A sound part that was in work on four engines in a row used to count as guilty beyond doubt, since only the ends between its own were
// looked at.
func TestRunOfEndsWithinAWaveIsInDoubt(t *testing.T) {
	for _, c := range []struct {
		name        string
		first, ends int
		want        bool
	}{
		{name: "calm", first: 0, ends: 4},
		{name: "one ordinary end before", first: 1, ends: 5},
		{name: "at the end of the wave", first: 10, ends: 14, want: true},
		{name: "at the beginning of the wave", first: 0, ends: 14, want: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := NewEvidence()
			for i := range c.ends {
				at := start.Add(time.Duration(i) * 1100 * time.Millisecond)
				e.AddEnding(End{Engine: engineOf(i), At: at, Pool: "lm", Load: 1})
				if i >= c.first && i < c.first+4 {
					e.AddEnd(End{Part: "p", Engine: engineOf(i), At: at, Pool: "lm", Load: 1, Share: Share{With: 1, Of: 8}}, at)
				}
			}
			must.Eq(t, Held, e.Standing("p", false))
			must.Eq(t, c.want, e.IsDoubtful("p"))
		})
	}
}

// Sound parts are answered now and then, so that only what ended since counts, and are not sent any more once they are held. Their holds
// are hardly ever without doubt after the wave.
func TestSoundPartsInSmallPoolsAreHeldInDoubt(t *testing.T) {
	const engines, parts, waves = 14, 8, 3000
	random := rand.New(rand.NewPCG(8, 1))
	held, certain := 0, 0
	for range waves {
		e := NewEvidence()
		isHeld := map[Part]bool{}
		for i := range engines {
			at := start.Add(time.Duration(i) * 1100 * time.Millisecond)
			e.AddEnding(End{Engine: engineOf(i), At: at, Pool: "lm", Load: 2})
			for number := range parts {
				part := Part(rune('a' + number))
				switch {
				case isHeld[part]:
				case random.Float64() < 0.3:
					e.AddEnd(End{Part: part, Engine: engineOf(i), At: at, Pool: "lm", Load: 2, Share: Share{With: random.IntN(3), Of: 8}}, at)
					isHeld[part] = e.Standing(part, false) == Held
				case random.Float64() < 0.5:
					e.AddAnswer([]Part{part}, at.Add(500*time.Millisecond))
				}
			}
		}
		for part := range isHeld {
			if isHeld[part] {
				held++
				if !e.IsDoubtful(part) {
					certain++
				}
			}
		}
	}
	t.Logf("held %d, without doubt %d", held, certain)
	must.Positive(t, held)
	must.LessEq(t, held/100, certain)
}

// What a router counted until a later end contains what it had counted until an earlier one. A part that a third of the requests have used to
// seem one that most have.
func TestSharesOfARouterCountOnce(t *testing.T) {
	e := NewEvidence()
	for i, told := range []Share{{With: 1, Of: 3}, {With: 3, Of: 5}, {With: 4, Of: 9}} {
		at := start.Add(time.Duration(i) * time.Second)
		e.AddEnd(End{Part: "p", Engine: engineOf(i), At: at, Share: told, Teller: "r1"}, at)
	}
	at := start.Add(4 * time.Second)
	e.AddEnd(End{Part: "p", Engine: engineOf(4), At: at, Share: Share{With: 1, Of: 4}, Teller: "r2"}, at)
	must.Eq(t, Share{With: 5, Of: 13}, e.Weigh("p").Share())
	// A router of an earlier build does not say which one it is.
	e.AddEnd(End{Part: "p", Engine: engineOf(5), At: at, Share: Share{With: 1, Of: 2}}, at)
	must.Eq(t, Share{With: 6, Of: 15}, e.Weigh("p").Share())
}
