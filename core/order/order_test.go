package order_test

import (
	"testing"
	"time"

	"agateswitch/core/order"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

var morning = time.Date(2026, 12, 1, 6, 0, 0, 0, time.UTC)

func input(fences bool) order.Input {
	return order.Input{
		Order: order.Order{Kind: order.LoadVersion, Name: "2", Fence: 7}, HeldSince: morning,
		OutlastsFlight: true, FencesOrders: fences,
	}
}

func TestOrdersWaitForWhatMayBeOnItsWay(t *testing.T) {
	fenced, open := input(true), input(false)
	must.Eq(t, order.ActionSend, order.Decide(morning, fenced).Action)
	waits := order.Decide(morning, open)
	must.Eq(t, order.ActionWait, waits.Action)
	must.Eq(t, order.ActionSend, order.Decide(waits.Until, open).Action)
	// After an order of its own the engine's state counts only once nothing else can come.
	open.SentAt, open.State.Version = waits.Until, "2"
	must.Eq(t, order.ActionWait, order.Decide(waits.Until, open).Action)
	must.Eq(t, order.ActionDone, order.Decide(waits.Until.Add(order.Flight), open).Action)
}

func TestOrdersKeepToRateAndLease(t *testing.T) {
	in := input(true)
	in.NextSlot = morning.Add(time.Second)
	must.Eq(t, order.ActionWait, order.Decide(morning, in).Action)
	in.Order.Kind = order.ChangeRole
	must.Eq(t, order.ActionSend, order.Decide(morning, in).Action)
	in.OutlastsFlight = false
	must.Eq(t, order.ActionRefuse, order.Decide(morning, in).Action)
	in.State.Fence = 8
	must.StrContains(t, order.Decide(morning, in).Reason, "fencing number 8")
}

// An engine that ignores fencing numbers sees no older order after a newer one, as long as
// an order arrives within its flight: whenever holders change, and however late orders are.
func TestNoOlderOrderAfterANewerOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := morning
		var lastArrival time.Time
		for fence := range int64(6) {
			in := input(false)
			in.Order.Fence, in.HeldSince = fence+1, now
			decision := order.Decide(now, in)
			for decision.Action == order.ActionWait {
				now = decision.Until
				decision = order.Decide(now, in)
			}
			must.Eq(t, order.ActionSend, decision.Action)
			must.False(t, now.Before(lastArrival), must.Sprint("an older order may still arrive"))
			flight := time.Duration(rapid.Int64Range(0, int64(order.Flight)).Draw(t, "flight"))
			lastArrival = now.Add(flight)
			// The next holder may come at once after the send.
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "pause")))
		}
	})
}
