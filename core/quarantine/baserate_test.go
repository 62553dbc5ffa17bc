package quarantine

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// wave plays ends of engines, one each interval, on which each part with a share of the requests is in work by chance. The guilty part, if
// it is not empty, is in work on each third end.
func wave(random *rand.Rand, shares map[Part]float64, ends int, interval float64, guilty Part) *Evidence {
	e := NewEvidence()
	for i := range ends {
		at := start.Add(time.Duration(float64(i) * interval * float64(time.Second)))
		e.AddEnding(End{Engine: engineOf(i), At: at, Pool: "lm", Load: 2})
		for part, share := range shares {
			isChance := random.Float64() < 1-(1-share)*(1-share)
			if isChance || part == guilty && i%3 == 0 {
				e.AddEnd(End{Part: part, Engine: engineOf(i), At: at, Pool: "lm", Load: 2, Share: Share{With: int(share * 40), Of: 40}}, at)
			}
		}
	}
	return e
}

// A part that all prompts share used to be held after four ends, whatever it had to do with them.
func TestPartOfMostRequestsIsNeitherHeldNorSuspected(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 1))
	for _, share := range []float64{0.8, 0.95, 1} {
		for range 200 {
			e := wave(random, map[Part]float64{"all": share}, 14, 1, "")
			must.Eq(t, Clear, e.Standing("all", true))
		}
	}
}

// In any wave, sound parts are hardly ever convicted; one that is in work on each third end is held at once, and in doubt if others end.
func TestSoundPartsAreNotConvictedInWaves(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 2))
	const waves = 2000
	convicted, found := 0, 0
	for i := range waves {
		interval := []float64{0.06, 0.3, 1, 4}[i%4]
		e := wave(random, map[Part]float64{"rare": 0.05, "known": 0.2, "popular": 0.45, "bad": 0.05}, 12+random.IntN(40), interval, "bad")
		for _, part := range []Part{"rare", "known", "popular"} {
			if w := e.Weigh(part); e.Ends(part) > 0 && w.Convicts() {
				convicted++
			}
		}
		if e.Standing("bad", false) == Held {
			found++
		}
	}
	t.Logf("sound convicted %d, guilty held %d of %d", convicted, found, waves)
	must.LessEq(t, 3, convicted)
	must.Eq(t, waves, found)
}

func TestFewRequestsProveNoShare(t *testing.T) {
	must.False(t, Share{}.IsMost())
	must.False(t, Share{With: 4, Of: 4}.IsMost())
	must.True(t, Share{With: 8, Of: 8}.IsMost())
	must.False(t, Share{With: 45, Of: 100}.IsMost())
}

// The trials of a part end no more engines an hour than the setting allows, whatever is believed of it and of waves meanwhile.
func TestTrialsKeepTheirBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		schedule := Schedule{TrialsPerHour: rapid.IntRange(1, 6).Draw(t, "perHour")}
		h := Hold{Part: "p", Since: start}
		var failed []time.Time
		for range rapid.IntRange(1, 30).Draw(t, "trials") {
			at := schedule.Next(h, rapid.Bool().Draw(t, "doubtful")).Add(time.Millisecond)
			h = h.Try().Convict("e", "front-1", at)
			h.Disturbed = rapid.Bool().Draw(t, "disturbed")
			failed = append(failed, at)
			if first := len(failed) - 1 - schedule.TrialsPerHour; first >= 0 {
				must.GreaterEq(t, time.Hour, at.Sub(failed[first]))
			}
		}
	})
}

func TestTrialsAreFurtherApartEachTime(t *testing.T) {
	schedule := Schedule{}
	h := Hold{Part: "p", Since: start}
	must.Eq(t, start, schedule.Next(h, true))
	must.Eq(t, start.Add(30*time.Minute), schedule.Next(h, false))
	for _, want := range []time.Duration{30 * time.Minute, time.Hour, 2 * time.Hour, 4 * time.Hour, 8 * time.Hour, 8 * time.Hour} {
		at := schedule.Next(h, false)
		h = h.Try().Convict("e", "front-1", at)
		must.Eq(t, want, schedule.Next(h, true).Sub(at))
	}
	// Routers of earlier builds tell that there was a trial, not when.
	must.Eq(t, start.Add(30*time.Minute), schedule.Next(Hold{Since: start, Tried: true}, true))
}

func BenchmarkWeigh(b *testing.B) {
	e := wave(rand.New(rand.NewPCG(1, 2)), map[Part]float64{"a": 0.2, "b": 0.4}, 16, 0.1, "")
	for i := range 600 {
		e.AddEnding(End{Engine: engineOf(100 + i), At: start.Add(time.Duration(i) * 2 * time.Millisecond), Pool: "lm"})
	}
	for b.Loop() {
		e.changes++
		e.Weigh("a")
	}
}
