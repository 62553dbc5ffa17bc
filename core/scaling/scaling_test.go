package scaling

import (
	"math"
	"testing"
	"time"

	"agateswitch/core/fleet"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

const (
	boot      = 8 * time.Second
	coldStart = 3 * time.Second
	tick      = 500 * time.Millisecond
	here      = fleet.DataCentre("arima")
)

var (
	limits = Limits{Min: 39, Max: 94, Boot: boot}
	policy = NewPolicy(boot, coldStart)
)

// play has a decider follow a need of one data centre whose platform executes orders at once, and returns the orders by tick.
func play(d *Decider, present, ticks int, need func(tick int) float64) map[int]int {
	orders := map[int]int{}
	for i := range ticks {
		now := time.Unix(1000, 0).Add(time.Duration(i) * tick)
		pool := Pool{Need: need(i), Supply: map[fleet.DataCentre]Supply{here: {Listed: present, Able: float64(present)}}}
		if decision := d.Decide(now, policy, limits, pool, here); decision.Order {
			d.Ordered(now, policy, decision.Engines)
			orders[i], present = decision.Engines, decision.Engines
		}
	}
	return orders
}

func TestSteadyLoadIsNeverAnsweredInBothDirections(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		mean := rapid.Float64Range(0, 150).Draw(t, "mean")
		present := rapid.IntRange(1, 120).Draw(t, "present")
		noise := rapid.SliceOfN(rapid.Float64Range(-downMargin/2.2, downMargin/2.2), 24, 24).Draw(t, "noise")
		const held = 10 // ticks, longer than the up window
		directions, last := map[bool]bool{}, present
		for i, engines := range inOrder(play(&Decider{}, present, held*len(noise), func(i int) float64 { return mean * (1 + noise[i/held]) })) {
			if i > 0 || present >= limits.Min && present <= limits.Max {
				directions[engines > last] = true
			}
			last = engines
		}
		must.LessEq(t, 1, len(directions))
	})
}

func TestOrdersStayWithinLimitsAndFewerWaitForTheDownWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		needs := rapid.SliceOfN(rapid.Float64Range(0, 300), 20, 200).Draw(t, "needs")
		present := rapid.IntRange(limits.Min, limits.Max).Draw(t, "present")
		last, changed := present, -1
		orders := play(&Decider{}, present, len(needs), func(i int) float64 { return needs[i] })
		for i := range needs {
			engines, ordered := orders[i]
			if !ordered {
				continue
			}
			must.Between(t, limits.Min, engines, limits.Max)
			if engines < last && changed >= 0 {
				must.GreaterEq(t, policy.Down, time.Duration(i-changed)*tick)
			}
			if engines < last {
				must.GreaterEq(t, int(math.Floor(float64(last)*(1-maxDrop))), engines)
			}
			last, changed = engines, i
		}
	})
}

// The platform takes away engines that others have added as well, when it is ordered to have fewer.
func TestEnginesThatOthersAddedCountForTheStep(t *testing.T) {
	var d Decider
	now := time.Unix(1000, 0)
	for _, step := range []struct{ listed, want int }{{51, 39}, {66, 50}, {50, 39}} {
		d.Ordered(now, policy, 51)
		if step.listed == 50 {
			d.Ordered(now, policy, 50)
		}
		idle := Pool{Supply: map[fleet.DataCentre]Supply{here: {Listed: step.listed, Able: float64(step.listed)}}}
		var decision Decision
		for end := now.Add(policy.Down + tick); now.Before(end); now = now.Add(tick) {
			decision = d.Decide(now, policy, limits, idle, here)
		}
		must.Eq(t, step.want, decision.Engines)
	}
}

func TestEnginesCountForWhatTheyCanDo(t *testing.T) {
	const ready = boot + coldStart
	sound := Engine{DataCentre: here, Running: 16, Slots: 32}
	leaving, unable, restricted, cold, veryCold := sound, sound, sound, sound, sound
	leaving.Leaving, unable.Unable, restricted.Restricted, restricted.Running = true, true, true, 4
	cold.ColdFor, veryCold.ColdFor = ready, ready+time.Second
	pool := Measure([]Engine{sound, sound, leaving, unable, restricted, cold, veryCold}, map[fleet.DataCentre]bool{"tunapuna": true}, ready)
	must.Eq(t, Supply{Listed: 6, Able: 3.25}, pool.Supply[here])
	must.Eq(t, Supply{Out: true}, pool.Supply["tunapuna"])
	// The requests that the leaving engine still holds need room as well.
	must.Eq(t, 100/16.0, pool.Need)
	must.Eq(t, 5, Measure([]Engine{{DataCentre: here, Slots: 32, Pending: 5 * ComfortablePending}}, nil, ready).Need)
}

func TestDataCentresInUseTakeOverFromOthers(t *testing.T) {
	pool := Pool{Need: 90, Supply: map[fleet.DataCentre]Supply{here: {Able: 47}, "b": {Able: 47}, "c": {Able: 47}}}
	must.Eq(t, 30, pool.PartOf(here, limits))
	pool.Supply["c"] = Supply{Able: 10}
	must.Eq(t, 40, pool.PartOf(here, limits))
	pool.Supply["c"] = Supply{Able: 47, Out: true}
	must.Eq(t, 45, pool.PartOf(here, limits))
	must.Eq(t, 0, pool.PartOf("c", limits))
}

// Engines that are back sooner than others would be need no replacement while the others have room.
func TestLostEnginesAreReplacedOnceOthersWouldBeThere(t *testing.T) {
	var d Decider
	now := time.Unix(1000, 0)
	for end := now.Add(2 * policy.Down); now.Before(end); now = now.Add(tick) {
		d.Decide(now, policy, limits, Pool{Need: 45, Supply: map[fleet.DataCentre]Supply{here: {Listed: 47, Able: 47}}}, here)
	}
	lost := Pool{Need: 45, Supply: map[fleet.DataCentre]Supply{here: {Listed: 47, Able: 37}}}
	for end := now.Add(policy.Down); now.Before(end); now = now.Add(tick) {
		must.False(t, d.Decide(now, policy, limits, lost, here).Order)
	}
	for end := now.Add(patience * policy.Up); now.Before(end); now = now.Add(tick) {
		d.Decide(now, policy, limits, lost, here)
	}
	must.Eq(t, 55, d.Decide(now, policy, limits, lost, here).Engines)
}

func TestNothingIsOrderedFromBeforeAGap(t *testing.T) {
	for name, interrupt := range map[string]func(*Decider, time.Time) time.Time{
		"paused":  func(_ *Decider, now time.Time) time.Time { return now.Add(maxGap + tick) },
		"unknown": func(d *Decider, now time.Time) time.Time { d.Unknown(now); return now.Add(tick) },
	} {
		var d Decider
		busy := Pool{Need: 90, Supply: map[fleet.DataCentre]Supply{here: {Listed: 47, Able: 47}}}
		now := time.Unix(1000, 0)
		for d.Decide(now, policy, limits, busy, here); now.Sub(time.Unix(1000, 0)) < policy.Up-tick; now = now.Add(tick) {
			must.False(t, d.Decide(now, policy, limits, busy, here).Order, must.Sprint(name))
		}
		now = interrupt(&d, now)
		for end := now.Add(policy.Up); now.Before(end); now = now.Add(tick) {
			must.False(t, d.Decide(now, policy, limits, busy, here).Order, must.Sprint(name))
		}
		must.Eq(t, 90, d.Decide(now, policy, limits, busy, here).Engines)
	}
}

// Caches that are cold at the start of a load have many prompts to be read, which are done before an engine that is ordered now would serve.
func TestNeedThatIsOverBeforeNewEnginesServeIsNotAnswered(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const present = 47
		rest := rapid.Float64Range(20, present).Draw(t, "rest")
		peak := rapid.Float64Range(1, 6).Draw(t, "peak") * present
		half := rapid.Float64Range(0.5, 4).Draw(t, "half-life in seconds")
		start := rapid.IntRange(0, 40).Draw(t, "start")
		orders := play(&Decider{}, present, 120, func(i int) float64 {
			if i < start {
				return rest
			}
			return rest + peak*math.Exp2(-float64(i-start)*tick.Seconds()/half)
		})
		for i, engines := range orders {
			must.LessEq(t, present, engines, must.Sprint("at tick ", i))
		}
	})
}

func TestOrderThatMayBeLostIsRepeated(t *testing.T) {
	var d Decider
	idle := Pool{Supply: map[fleet.DataCentre]Supply{here: {Listed: 47, Able: 47}}}
	now := time.Unix(1000, 0)
	d.Decide(now, policy, limits, idle, here)
	d.Unsure(now, policy, 47)
	decision := d.Decide(now.Add(tick), policy, limits, idle, here)
	must.True(t, decision.Order)
	must.Eq(t, 47, decision.Engines)
	d.Ordered(now.Add(tick), policy, 47)
	must.False(t, d.Decide(now.Add(2*tick), policy, limits, idle, here).Order)
}

// inOrder returns the values of the map by rising key.
func inOrder(orders map[int]int) []int {
	var engines []int
	for i := range 1000 {
		if n, found := orders[i]; found {
			engines = append(engines, n)
		}
	}
	return engines
}
