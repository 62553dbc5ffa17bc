package supply

import (
	"testing"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/core/scaling"

	"github.com/shoenig/test/must"
)

// play plays the policy of the product on a load, and checks what holds for every load.
func play(t *testing.T, name string) Result {
	for _, load := range Loads() {
		if load.Name == name {
			result := Run(load, Policies()["lasting"])
			for _, order := range result.Orders {
				must.Between(t, limits.Min, order.Engines, limits.Max, must.Sprint(order))
			}
			return result
		}
	}
	t.Fatalf("no load %s", name)
	return Result{}
}

// since returns the orders for a data centre from a time on.
func since(r Result, place fleet.DataCentre, from time.Duration) []Order {
	var orders []Order
	for _, order := range r.Orders {
		if order.DataCentre == place && order.At >= from {
			orders = append(orders, order)
		}
	}
	return orders
}

func TestCalmWaveNeedsTheMinimumAndIsNotFollowed(t *testing.T) {
	r := play(t, "calm-wave")
	must.Eq(t, 1, r.Served)
	for _, place := range places {
		must.Len(t, 1, since(r, place, 0))
		must.Eq(t, limits.Min, since(r, place, 0)[0].Engines)
	}
	must.Eq(t, 0, play(t, "busy-wave").Reversals)
}

// Prompts that wait to be read into cold caches are done before new engines would serve.
func TestBacklogOfColdCachesOrdersNothing(t *testing.T) {
	must.SliceEmpty(t, play(t, "cold-caches").Orders)
}

func TestBurstShorterThanTheBootTimeFitsIntoFreeSlots(t *testing.T) {
	r := play(t, "burst")
	must.Eq(t, 1, r.Worst)
	must.Eq(t, 0, r.Reversals)
}

func TestStepUpIsAnsweredWithinTheUpWindow(t *testing.T) {
	const step = 40 * time.Second
	r := play(t, "step-up")
	must.Eq(t, 1, r.Worst)
	for _, place := range places {
		orders := since(r, place, step)
		must.Len(t, 1, orders)
		must.LessEq(t, step+boot/4, orders[0].At)
		must.Eq(t, scaling.ReasonMore, orders[0].Reason)
	}
}

func TestStepDownIsAnsweredAfterTheDownWindow(t *testing.T) {
	const step = 40 * time.Second
	r := play(t, "step-down")
	for _, place := range places {
		orders := since(r, place, step)
		must.NonZero(t, len(orders))
		must.GreaterEq(t, step+boot+coldStart, orders[0].At)
		must.Eq(t, limits.Min, orders[len(orders)-1].Engines)
	}
}

func TestOthersServeForADataCentreThatIsOut(t *testing.T) {
	const out, back = 40 * time.Second, 80 * time.Second
	r := play(t, "zone-out")
	must.Eq(t, 1, r.Worst)
	for _, order := range since(r, places[0], out) {
		if order.At < back {
			must.Eq(t, scaling.ReasonLess, order.Reason)
		}
	}
	for _, place := range places[1:] {
		must.Eq(t, scaling.ReasonMore, since(r, place, out)[0].Reason)
		must.Less(t, out+period, since(r, place, out)[0].At)
	}
}

// Engines that come back by themselves, though cold, are there before new ones.
func TestCrashedEnginesThatComeBackAreNotReplaced(t *testing.T) {
	crash, wave := play(t, "crash"), play(t, "busy-wave")
	must.Less(t, 1.02*wave.EngineSeconds, crash.EngineSeconds)
}

// Nobody knows whether they come back, and callers are refused meanwhile.
func TestCrashedEnginesAreReplacedAtOnceWhileTheOthersAreFull(t *testing.T) {
	const crash = 40 * time.Second
	r := play(t, "crowded-crash")
	for _, place := range places {
		must.LessEq(t, crash+boot/4, since(r, place, crash)[0].At)
	}
}

func TestLostEnginesAreReplaced(t *testing.T) {
	r := play(t, "lost")
	must.Eq(t, 1, share(r.served(80*time.Second), r.offered(80*time.Second)))
}

func TestNothingIsOrderedWhileLoadsAreUnknown(t *testing.T) {
	const from, until = 38 * time.Second, 60 * time.Second
	r := play(t, "unknown")
	for _, order := range r.Orders {
		must.True(t, order.At < from || order.At >= until+boot/4, must.Sprint(order))
	}
	must.NonZero(t, len(since(r, places[0], until)))
}

// A holder that has just taken over doesn't know of engines that are starting.
func TestNewHolderTakesNothingBackOfWhatItsPredecessorOrdered(t *testing.T) {
	const step = 40 * time.Second
	r := play(t, "new-holder")
	must.Eq(t, 1, r.Worst)
	for _, place := range places {
		for _, order := range since(r, place, step) {
			must.Eq(t, scaling.ReasonMore, order.Reason, must.Sprint(order))
		}
	}
}
