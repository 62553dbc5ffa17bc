package claim

import (
	"testing"
	"time"

	"agateswitch/core/fleet"

	"github.com/shoenig/test/must"
)

// commitNext commits the shard's next transaction and returns the replies.
func commitNext(t *testing.T, store *fakeStore, shard *Shard, now time.Time) []Reply {
	t.Helper()
	transaction, ok := shard.Next(now)
	must.True(t, ok, must.Sprint("the shard has no transaction"))
	return shard.HandleOutcome(now, store.commit(transaction))
}

// A holder that was paused used to release its claim after a caller had been told that the outcome is
// unknown; a resend then ran.
func TestClaimIsNotReleasedAfterItsOutcomeWasReportedUnknown(t *testing.T) {
	store := &fakeStore{entries: map[string]Entry{}}
	now := start.Add(time.Minute)
	claim := func(holder fleet.RequestID) fleet.Claim {
		return fleet.Claim{Team: "arima-yard", Key: keyAt(now, 0), BodyDigest: "body", Holder: holder, Begun: now}
	}
	paused := NewShard(now, ShardCount)
	first := claim("first")
	_, _, queued := paused.Begin(now, first)
	must.True(t, queued)
	replies := commitNext(t, store, paused, now)
	must.Eq(t, fleet.ClaimGranted, replies[0].Result.State)
	first.Revision = replies[0].Result.Revision

	later := now.Add(openLimit)
	other := NewShard(later, ShardCount)
	other.Begin(later, claim("second"))
	must.SliceEmpty(t, commitNext(t, store, other, later), must.Sprint("a caller is told before the record is closed"))
	replies = commitNext(t, store, other, later)
	must.Eq(t, fleet.CodeOutcomeUnknown, replies[0].Result.Refusal.Code)

	paused.Finish(later, first, fleet.ClaimAnswer{Unsent: true})
	commitNext(t, store, paused, later)
	other.Begin(later, claim("third"))
	replies = commitNext(t, store, other, later)
	must.Eq(t, fleet.ClaimRefused, replies[0].Result.State)
	must.Eq(t, fleet.CodeOutcomeUnknown, replies[0].Result.Refusal.Code)
}
