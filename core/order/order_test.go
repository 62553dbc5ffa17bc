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
		OutlastsDelivery: true, FencesOrders: fences,
	}
}

// An engine that ignores fencing numbers gets no order, and its state does not count, while an order
// sent earlier may still arrive. An engine that checks fencing numbers gets the order at once.
func TestOrdersWaitForEarlierDeliveries(t *testing.T) {
	fenced, unfenced := input(true), input(false)
	must.Eq(t, order.ActionSend, order.Decide(morning, fenced).Action)
	waiting := order.Decide(morning, unfenced)
	must.Eq(t, order.ActionWait, waiting.Action)
	must.Eq(t, order.ActionSend, order.Decide(waiting.Until, unfenced).Action)
	// After the holder has sent an order, the engine's state counts only once no other order can
	// arrive.
	unfenced.SentAt, unfenced.State.Version = waiting.Until, "2"
	must.Eq(t, order.ActionWait, order.Decide(waiting.Until, unfenced).Action)
	must.Eq(t, order.ActionDone, order.Decide(waiting.Until.Add(order.DeliveryTimeout), unfenced).Action)
}

// An order waits for the weight store only if it reads weights. It is refused if the lease expires
// before the order can arrive, or if the engine has accepted a higher fencing number.
func TestOrdersRespectRateAndLease(t *testing.T) {
	in := input(true)
	in.NextSlot = morning.Add(time.Second)
	must.Eq(t, order.ActionWait, order.Decide(morning, in).Action)
	in.Order.Kind = order.ChangeRole
	must.Eq(t, order.ActionSend, order.Decide(morning, in).Action)
	in.OutlastsDelivery = false
	must.Eq(t, order.ActionRefuse, order.Decide(morning, in).Action)
	in.State.Fence = 8
	must.StrContains(t, order.Decide(morning, in).Reason, "fencing number 8")
}

// An engine that ignores fencing numbers receives no older order after a newer one, for any lease
// changes and any delays up to DeliveryTimeout.
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
			deliveryTime := time.Duration(rapid.Int64Range(0, int64(order.DeliveryTimeout)).Draw(t, "flight"))
			lastArrival = now.Add(deliveryTime)
			// The next holder may acquire the lease immediately after the send.
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "pause")))
		}
	})
}
