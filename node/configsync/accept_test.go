package configsync

import (
	"testing"
	"testing/synctest"
	"time"

	"agateswitch/core/configuration"
	"agateswitch/core/fleet"

	"github.com/shoenig/test/must"
)

// A change is accepted exactly once when its transaction takes effect, at once or late, and the
// answer is lost.
func TestLostAnswerIsResolved(t *testing.T) {
	for _, commitDelay := range []time.Duration{0, 3 * time.Second} {
		synctest.Test(t, func(t *testing.T) {
			store := newFakeStore()
			store.lostAnswers, store.commitDelay = 1, commitDelay
			result := soloNode(store).Accept(t.Context(), dataCentreChange("arima", true))
			must.Nil(t, result.Refusal)
			must.Eq(t, 1, result.Revision)
			// The late write arrives afterwards and must not count as a second change.
			sleep(t, 2*commitDelay+time.Second)
			other := soloNode(store)
			must.Eq(t, 2, other.Accept(t.Context(), dataCentreChange("tunapuna", true)).Revision)
		})
	}
}

// While all answers are lost, the operator receives the outcome "unknown", never "accepted" or
// "refused".
func TestUnresolvedAnswerIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.lostAnswers = 1000
		store.commitDelay = time.Hour
		result := soloNode(store).Accept(t.Context(), dataCentreChange("arima", true))
		must.NotNil(t, result.Refusal)
		must.Eq(t, fleet.CodeOutcomeUnknown, result.Refusal.Code)
		must.Eq(t, fleet.RanUnknown, result.Refusal.Ran)
	})
}

// When the store is down before anything was written, the refusal states that the change was not
// made.
func TestStoreDownIsNotAccepted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		store.setDown(true)
		result := soloNode(store).Accept(t.Context(), dataCentreChange("arima", true))
		must.Eq(t, fleet.CodeStoreDown, result.Refusal.Code)
		must.Eq(t, fleet.NotRun, result.Refusal.Ran)
	})
}

// Another operator's change is committed between a change's reads and its transaction.
func TestRacingChanges(t *testing.T) {
	for name, test := range map[string]struct {
		other string
		lost  int
		code  fleet.Code
	}{
		"an unrelated change is retried":              {other: "tunapuna"},
		"the same item is told":                       {other: "arima", code: fleet.CodeConflict},
		"an unrelated change, and the answer is lost": {other: "tunapuna", lost: 1},
		"the same item, and the answer is lost":       {other: "arima", lost: 1, code: fleet.CodeConflict},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newFakeStore()
				first, second := soloNode(store), soloNode(store)
				store.beforeCommit = func() {
					must.Eq(t, 1, second.Accept(t.Context(), dataCentreChange(test.other, false)).Revision)
					store.lostAnswers = test.lost
				}
				result := first.Accept(t.Context(), dataCentreChange("arima", true))
				if test.code == "" {
					must.Nil(t, result.Refusal)
					must.Eq(t, 2, result.Revision)
					must.True(t, first.Current().IsOut("arima"))
					return
				}
				must.NotNil(t, result.Refusal)
				must.Eq(t, test.code, result.Refusal.Code)
				must.NotNil(t, result.Found)
				must.Eq(t, 1, result.Found.Revision)
			})
		})
	}
}

// A change is validated against the revision on which it is committed, also by a router that lags
// behind that revision.
func TestLaggingRouterValidatesAgainstTheHead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		first, lagging := soloNode(store), soloNode(store)
		pool := configuration.Key{Kind: configuration.KindPool, Name: "farrier-lm"}
		contract := configuration.Key{Kind: configuration.KindContract, Name: "yard"}
		must.Nil(t, first.Accept(t.Context(), Change{Key: pool, Value: []byte(`{"name":"farrier-lm","type":"engine"}`)}).Refusal)
		must.Nil(t, first.Accept(t.Context(), Change{Key: contract, Value: contractValue("yard")}).Refusal)
		refused := lagging.Accept(t.Context(), Change{Key: pool, Expected: AnyRevision})
		must.Eq(t, fleet.CodeInvalid, refused.Refusal.Code)
		must.SliceLen(t, 1, refused.Problems)
		must.StrContains(t, refused.Problems[0].Message, "yard")
	})
}

// After the store was wiped, a router keeps the revision in force, refuses changes and reports that
// the store is behind.
func TestLowerHeadIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newFakeStore()
		node := soloNode(store)
		must.Nil(t, node.Accept(t.Context(), dataCentreChange("arima", true)).Refusal)
		store.mu.Lock()
		clear(store.keys)
		store.mu.Unlock()
		result := node.Accept(t.Context(), dataCentreChange("arima", false))
		must.NotNil(t, result.Refusal)
		must.Eq(t, fleet.CodeConflict, result.Refusal.Code)
		must.StrContains(t, result.Refusal.Message, "wiped")
		must.True(t, node.State().StoreBehind)
		must.True(t, node.Current().IsOut("arima"))
	})
}
