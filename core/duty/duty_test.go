package duty

import (
	"testing"
	"time"

	"agateswitch/core/revision"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// A holder's last call has arrived before a successor that can't ask it may claim, whatever the delays of its renewals and of their answers,
// and with clocks whose rates differ by as much as a lease leaves unused.
func TestLastCallOfAHolderArrivesBeforeASuccessorMayClaim(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		draw := func(name string, from, to time.Duration) time.Duration {
			return time.Duration(rapid.Int64Range(int64(from), int64(to)).Draw(rt, name))
		}
		lease := Lease{Length: draw("lease", time.Second, 10*time.Second)}
		lease.Thaw = draw("thaw", time.Millisecond, lease.Length/5)
		// All times are the successor's but those that the tenure takes. The store executes the renewal, and the successor reads it, while it is under way.
		sentAt := draw("sent", 0, time.Minute)
		executedAt := sentAt + draw("to the store", 0, lease.Length)
		observedAt := executedAt + draw("read", 0, lease.Length)
		answeredAt := executedAt + draw("answer", 0, lease.Length)
		slowness := time.Duration(rapid.IntRange(0, 100/driftDivisor).Draw(rt, "percent"))
		holders := func(at time.Duration) time.Duration { return at - at*slowness/100 }

		var successor Candidate
		successor.Observe(0, revision.Revision{Number: 1}, Record{Holder: "a", Token: 1}, observedAt)
		claimAt, known := successor.ClaimAt(lease, rapid.IntRange(0, 3).Draw(rt, "rank"))
		must.True(rt, known)
		var tenure Tenure
		tenure.Confirm(holders(sentAt), holders(answeredAt), lease)
		lastArrival := claimAt - lease.Thaw
		must.Eq(rt, 0, tenure.Left(holders(lastArrival)), must.Sprint("the holder may still act at ", lastArrival, ", the claim is at ", claimAt))
	})
}
