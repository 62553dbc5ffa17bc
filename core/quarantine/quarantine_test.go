package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"agateswitch/core/fleet"

	"github.com/shoenig/test/must"
)

var start = time.Unix(1_000_000, 0)

func engineOf(number int) Engine {
	return Engine{ID: fleet.UpstreamID(fmt.Sprint("e", number)), Incarnation: 1}
}

// end adds an end of an engine that worked on a part, some seconds after start.
func end(e *Evidence, part Part, engine int, seconds float64) bool {
	at := start.Add(time.Duration(seconds * float64(time.Second)))
	return e.AddEnd(End{Part: part, Engine: engineOf(engine), At: at}, at)
}

func TestStandingFollowsTheEndsOfDistinctEngines(t *testing.T) {
	e := NewEvidence()
	must.Eq(t, Clear, e.Standing("p", true))
	must.True(t, end(e, "p", 1, 1))
	must.False(t, end(e, "p", 1, 1.5))
	must.Eq(t, Clear, e.Standing("p", false))
	must.Eq(t, Suspect, e.Standing("p", true))
	must.True(t, end(e, "p", 2, 2))
	must.Eq(t, Suspect, e.Standing("p", false))
	must.True(t, end(e, "p", 3, 3))
	must.Eq(t, Suspect, e.Standing("p", false))
	must.True(t, end(e, "p", 4, 4))
	must.Eq(t, Held, e.Standing("p", false))
	must.Eq(t, Clear, e.Standing("q", true))
	must.Eq(t, []Engine{engineOf(1), engineOf(2), engineOf(3), engineOf(4)}, e.Engines("p"))
}

// A part that requests get answers with is not what ends engines.
func TestAnswerClearsAPart(t *testing.T) {
	e := NewEvidence()
	for i := range 4 {
		end(e, "p", i, float64(i))
	}
	e.AddAnswer([]Part{"p"}, start.Add(10*time.Second))
	must.Eq(t, Clear, e.Standing("p", true))
	// An end from before the answer that is told late.
	must.False(t, end(e, "p", 9, 9))
	must.True(t, end(e, "p", 11, 11))
	must.Eq(t, 1, e.Ends("p"))
}

// Connections to an engine may be reset while it goes on working.
func TestAnswerOfAnEngineRefutesItsEnd(t *testing.T) {
	e := NewEvidence()
	end(e, "p", 1, 1)
	end(e, "p", 2, 2)
	must.False(t, e.Refute(engineOf(1), start.Add(time.Second/2)))
	must.True(t, e.Refute(engineOf(1), start.Add(3*time.Second)))
	must.Eq(t, 1, e.Ends("p"))
	must.False(t, e.Refute(Engine{ID: "e2", Incarnation: 2}, start.Add(3*time.Second)))
}

// A zone's loss of power ends many engines with requests that share a part.
func TestEndsAtTheSameMomentCountOnce(t *testing.T) {
	e := NewEvidence()
	for i := range 12 {
		end(e, "p", i, 1+float64(i)/500)
	}
	must.Eq(t, 1, e.Ends("p"))
	must.Eq(t, Clear, e.Standing("p", false))
}

func TestEvidenceIsBounded(t *testing.T) {
	e := NewEvidence()
	for i := range 3 * maxParts {
		end(e, Part(fmt.Sprint(i)), i, 0)
	}
	must.LessEq(t, maxParts, len(e.parts))
	for i := range 3 * maxEnds {
		end(e, "0", maxParts+i, 1+float64(i))
	}
	must.LessEq(t, maxEnds, len(e.Engines("0")))
	// Old evidence makes room.
	must.True(t, end(e, "new", 1, 2*maxEndAge.Seconds()))
	must.MapLen(t, 1, e.parts)
}

func TestHoldEndsByReleaseOrAge(t *testing.T) {
	h := Hold{Part: "p", Since: start}
	must.True(t, h.InForce(start.Add(time.Hour)))
	must.False(t, h.InForce(start.Add(HoldDuration+time.Second)))
	must.False(t, Hold{Since: start, Released: true}.InForce(start))
	_, err := DecodeHold([]byte("{"))
	must.Error(t, err)
}

// day plays requests with parts of different frequency on engines of which some end for other reasons, and returns the
// parts that were ever held. crashing is a part that ends its engine; empty means none.
func day(random *rand.Rand, engines int, crashing Part) (held map[Part]bool, crashes int) {
	const parts, perSecond, seconds = 60, 40, 60
	e := NewEvidence()
	held = map[Part]bool{}
	incarnation := make([]int64, engines)
	type work struct {
		part   Part
		engine int
		// answerAt is when its answer would begin.
		answerAt time.Time
	}
	var running []work
	crash := func(engine int, now time.Time) {
		ended := Engine{ID: fleet.UpstreamID(fmt.Sprint("e", engine)), Incarnation: incarnation[engine]}
		incarnation[engine]++
		var left []work
		for _, w := range running {
			if w.engine != engine {
				left = append(left, w)
				continue
			}
			e.AddEnd(End{Part: w.part, Engine: ended, At: now}, now)
		}
		running = left
	}
	inWork := func(part Part) bool {
		for _, w := range running {
			if w.part == part {
				return true
			}
		}
		return false
	}
	for i := range perSecond * seconds {
		now := start.Add(time.Duration(i) * time.Second / perSecond)
		for again := true; again; {
			again = false
			for at, w := range running {
				if w.answerAt.After(now) {
					continue
				}
				if w.part == crashing {
					crashes++
					crash(w.engine, w.answerAt)
				} else {
					running = append(running[:at:at], running[at+1:]...)
					e.AddAnswer([]Part{w.part}, w.answerAt)
				}
				again = true
				break
			}
		}
		switch {
		case i%(5*perSecond) == perSecond:
			// An engine ends by itself each five seconds, and a third of all ends once.
			crash(random.IntN(engines), now)
		case i == 30*perSecond:
			for engine := range engines / 3 {
				crash(engine, now)
			}
		}
		part := Part(fmt.Sprint(int(float64(parts) * random.Float64() * random.Float64())))
		if crashing != "" && i%8 == 0 {
			part = crashing
		}
		standing := e.Standing(part, false)
		if standing == Held {
			held[part] = true
		}
		if standing == Clear || standing == Suspect && !inWork(part) {
			running = append(running, work{part, random.IntN(engines), now.Add(100*time.Millisecond + time.Duration(random.IntN(200))*time.Millisecond)})
		}
	}
	return held, crashes
}

// Over many days with ordinary ends, losses of a third of the engines and returns, no sound part is held.
func TestOrdinaryEndsHoldNoPart(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 1000 {
		held, _ := day(random, 6+random.IntN(40), "")
		must.MapEmpty(t, held)
	}
}

// A part that ends engines is held after few of them, and no other part with it.
func TestCrashingPartIsHeldAndNoOther(t *testing.T) {
	random := rand.New(rand.NewPCG(3, 4))
	others := 0
	for range 1000 {
		held, crashes := day(random, 6+random.IntN(40), "bad")
		must.True(t, held["bad"])
		must.LessEq(t, 8, crashes)
		others += len(held) - 1
	}
	must.Zero(t, others)
}

func wholeRequest(number int) Part {
	return WholeRequest([]byte("key"), Request{Method: "POST", Host: "h", Target: fmt.Sprint("/slots/", number)})
}

// Only what makes two requests the same counts, and nothing of it can be moved from one field to another.
func TestWholeRequestsAreToldApart(t *testing.T) {
	base := Request{Method: "POST", Host: "h", Target: "/slots/1?a=1", Caller: "one", Body: []byte("body")}
	id := WholeRequest([]byte("key"), base)
	must.True(t, id.IsWholeRequest())
	must.Eq(t, id, WholeRequest([]byte("key"), base))
	others := []Request{base, base, base, base, base, base}
	others[0].Method = "PUT"
	others[1].Host = "i"
	others[2].Target = "/slots/1?a=2"
	others[3].Caller = "two"
	others[4].Body = []byte("bodz")
	others[5].Target, others[5].Caller = "/slots/1?a=1o", "ne"
	seen := map[Part]bool{id: true, WholeRequest([]byte("other key"), base): true}
	for _, other := range others {
		seen[WholeRequest([]byte("key"), other)] = true
	}
	must.MapLen(t, 8, seen)
	must.False(t, Part("5e55").IsWholeRequest())
}

// A popular sound request may be in work on engines that end one after the other. It is on trial alone, not held.
func TestWholeRequestIsNotHeldWithoutAnEndAlone(t *testing.T) {
	e := NewEvidence()
	whole := wholeRequest(1)
	for i := range 10 {
		end(e, whole, i, float64(i))
	}
	must.Eq(t, Suspect, e.Standing(whole, false))
	must.True(t, e.SuspectsRequests())
	at := start.Add(20 * time.Second)
	must.True(t, e.AddEnd(End{Part: whole, Engine: engineOf(20), At: at, Alone: true, Origin: Origin{Route: "slots"}}, at))
	must.Eq(t, Held, e.Standing(whole, false))
	e.AddAnswer([]Part{whole}, at.Add(time.Second))
	must.Eq(t, Clear, e.Standing(whole, true))
	must.False(t, e.SuspectsRequests())
}

// A zone's loss of power leaves a record of each request that ran there. They push out neither what is a suspect already
// nor what ends engines after them.
func TestRequestsOfAZoneThatLostPowerPushOutNoSuspect(t *testing.T) {
	e := NewEvidence()
	guilty, later := wholeRequest(-1), wholeRequest(-2)
	end(e, guilty, 1, 1)
	end(e, guilty, 2, 2)
	for i := range 160 * 64 {
		end(e, wholeRequest(i), 10+i/64, 3+float64(i)/1e6)
	}
	must.LessEq(t, maxParts, len(e.parts))
	must.Eq(t, Suspect, e.Standing(guilty, false))
	must.True(t, end(e, later, 3, 4))
	must.True(t, end(e, later, 4, 5))
	must.Eq(t, Suspect, e.Standing(later, false))
}

func BenchmarkWholeRequest(b *testing.B) {
	for _, size := range []int{100, 10_000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			request := Request{Method: "POST", Host: "h.example", Target: "/slots/1", Caller: "one", Body: make([]byte, size)}
			for b.Loop() {
				WholeRequest([]byte("key"), request)
			}
		})
	}
}

// An end from before an answer that is told late does not count, even if other requests have left evidence meanwhile.
func TestLateEndDoesNotCountAfterOtherEvidence(t *testing.T) {
	e := NewEvidence()
	end(e, "p", 1, 1)
	e.AddAnswer([]Part{"p"}, start.Add(2*time.Second))
	end(e, wholeRequest(1), 2, 5)
	must.False(t, end(e, "p", 3, 1.5))
}

// A part that all prompts begin with used to be held beside the part that crashes engines, while no answer had come yet.
func TestCommonPartIsNotHeldForTheNextOne(t *testing.T) {
	e := NewEvidence()
	add := func(part, next Part, engine int) {
		at := start.Add(time.Duration(engine) * time.Second)
		e.AddEnd(End{Part: part, Next: next, Engine: engineOf(engine), At: at}, at)
	}
	for engine := range holdEnds {
		add("common", "guilty", engine)
		add("guilty", "", engine)
	}
	must.Eq(t, Held, e.Standing("guilty", false))
	must.Eq(t, Suspect, e.Standing("common", false))
	// An engine ends under a prompt without the other part.
	add("common", "another", holdEnds)
	must.Eq(t, Held, e.Standing("common", false))
}
