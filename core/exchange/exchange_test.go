package exchange_test

import (
	"strconv"
	"testing"
	"time"

	"agateswitch/core/exchange"
	"agateswitch/core/fleet"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// The caller receives events 1, 2, 3 and so on, even if connections repeat, skip or break events.
func TestStreamDeliversEachEventOnceInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := rapid.Int64Range(0, 50).Draw(t, "start")
		stream := exchange.NewStream(start)
		next := start + 1
		for _, number := range rapid.SliceOf(rapid.Int64Range(-2, 60)).Draw(t, "numbers") {
			status := stream.Accept(strconv.FormatInt(number, 10), false)
			want := exchange.Gap
			switch {
			case number < 1:
				want = exchange.Malformed
			case number < next:
				want = exchange.Duplicate
			case number == next:
				want = exchange.Deliver
				next++
			}
			must.Eq(t, want, status)
			must.Eq(t, next-1, stream.Last())
		}
		must.Eq(t, exchange.Complete, stream.Accept("", true))
		must.True(t, stream.IsResumable())
	})
}

// An event without an id makes the stream non-resumable. An id that is not a plain decimal number is
// refused, as it would not match the same event on another connection.
func TestStreamWithUnnumberedEventsIsNotResumable(t *testing.T) {
	stream := exchange.NewStream(0)
	must.Eq(t, exchange.Deliver, stream.Accept("", false))
	must.False(t, stream.IsResumable())
	for _, id := range []string{"01", "+1", "x", "1e3", "99999999999999999999"} {
		must.Eq(t, exchange.Malformed, stream.Accept(id, false), must.Sprint(id))
	}
}

// Ran returns NotRun only if no byte was sent, and DidRun only if a part of the answer arrived.
func TestFailureNotRunOnlyWhenNothingWasSent(t *testing.T) {
	faults := []exchange.Fault{
		exchange.FaultUnreachable, exchange.FaultLost, exchange.FaultSilent, exchange.FaultStalled,
		exchange.FaultMismatched, exchange.FaultTruncated, exchange.FaultUnframed, exchange.FaultGap,
		exchange.FaultMalformed, exchange.FaultTooLarge, exchange.FaultRequestUnknown, exchange.FaultRejected,
		exchange.FaultCancelled,
	}
	for _, fault := range faults {
		unsent := exchange.Failure{Fault: fault}
		sent := exchange.Failure{Fault: fault, Sent: true}
		partial := exchange.Failure{Fault: fault, Sent: true, PartialAnswer: true}
		must.Eq(t, fleet.NotRun, unsent.Ran())
		must.Eq(t, fleet.RanUnknown, sent.Ran())
		must.Eq(t, fleet.DidRun, partial.Ran())
		must.Eq(t, fleet.CodeOutcomeUnknown, sent.Code())
		must.False(t, sent.IsRetryable(false))
		must.False(t, partial.IsRetryable(true))
		must.False(t, unsent.IsResumable())
	}
}

// Keep-alive comments extend the silence limit, but not indefinitely: without events, a connection
// is replaced after the keep-alive limit and the request is given up after the stall limit.
func TestKeepAlivesDoNotPreventStall(t *testing.T) {
	start := time.Unix(0, 0)
	progress := exchange.NewProgress(exchange.NewLimits(2*time.Second), start)
	second := func(n int) time.Time { return start.Add(time.Duration(n) * time.Second) }
	var reconnects []int
	for n := 1; ; n++ {
		fault, next := progress.Evaluate(second(n))
		if fault == exchange.FaultStalled {
			must.Eq(t, 30, n)
			break
		}
		if fault == exchange.FaultSilent {
			reconnects = append(reconnects, n)
			progress.RecordConnect(second(n))
			continue
		}
		must.True(t, next.After(second(n)))
		progress.RecordBytes(second(n))
	}
	must.Eq(t, []int{10, 20}, reconnects)
	progress.RecordEvent(second(30))
	fault, next := progress.Evaluate(second(31))
	must.Eq(t, exchange.Fault(""), fault)
	must.Eq(t, second(32), next)
	fault, _ = progress.Evaluate(second(32))
	must.Eq(t, exchange.FaultSilent, fault)
}

// Resumptions are limited in a row without an answer, in total even if each one is answered, and to
// a single one while no part of the answer has arrived.
func TestResumptionsAreBounded(t *testing.T) {
	var unanswered exchange.Resumptions
	var waited time.Duration
	for {
		pause, allowed := unanswered.Next(true)
		if !allowed {
			break
		}
		waited += pause
	}
	must.Eq(t, exchange.MaxUnanswered, unanswered.Total())
	must.Eq(t, 3*time.Second, waited)
	var answered exchange.Resumptions
	for range 2 * exchange.MaxResumptions {
		if _, allowed := answered.Next(true); allowed {
			answered.RecordAnswer()
		}
	}
	must.Eq(t, exchange.MaxResumptions, answered.Total())
	var beforeAnswer exchange.Resumptions
	_, allowed := beforeAnswer.Next(false)
	must.True(t, allowed)
	_, allowed = beforeAnswer.Next(false)
	must.False(t, allowed)
}
