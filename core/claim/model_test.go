package claim

import (
	"fmt"
	"testing"
	"time"

	"agateswitch/core/fleet"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 12, 3, 8, 0, 0, 0, time.UTC)

// keyAt returns a UUIDv7 with the given timestamp and number.
func keyAt(moment time.Time, number int) string {
	millis := fmt.Sprintf("%012x", moment.UnixMilli())
	return millis[:8] + "-" + millis[8:] + fmt.Sprintf("-7000-8000-%012x", number)
}

// fakeStore is a key-value store with revisions. The test decides when a transaction commits.
type fakeStore struct {
	revision int64
	entries  map[string]Entry
}

func (f *fakeStore) commit(transaction Transaction) Outcome {
	outcome := Outcome{Applied: true}
	for _, condition := range transaction.Conditions {
		found := f.entries[condition.Key]
		outcome.Found = append(outcome.Found, found)
		if found.Revision != condition.Revision {
			outcome.Applied = false
		}
	}
	if !outcome.Applied {
		return outcome
	}
	f.revision++
	for _, write := range transaction.Writes {
		f.entries[write.Key] = Entry{Value: write.Value, Revision: f.revision}
	}
	return Outcome{Applied: true, Revision: f.revision}
}

// attempt is one request of a caller at an entry router.
type attempt struct {
	claim fleet.Claim
	// owner is the router whose reply the entry router waits for; -1 means none.
	owner int
	id    OperationID
	// sendBy is the send deadline, counted from before the request to the first owner.
	sendBy  time.Time
	granted bool
	ended   bool
}

// fleetModel is a fleet with two owners of one shard, entry routers, and callers. delayed holds
// transactions that the store may still commit. sendCount counts the sends of each key.
type fleetModel struct {
	now       time.Time
	store     fakeStore
	owners    [2]*Shard
	flight    [2]*Transaction
	delayed   []Transaction
	attempts  []*attempt
	sendCount map[string]int
	// answers holds the service's answer to the only send of a key.
	answers  map[string]fleet.ClaimAnswer
	recorded map[string]fleet.ClaimAnswer
	// reportedUnknown holds the keys for which a caller received an unknown outcome.
	reportedUnknown map[string]bool
}

const (
	keyCount       = 2
	modelsPerCheck = 10
	stepsPerModel  = 200
)

func newFleetModel() *fleetModel {
	m := &fleetModel{
		now: start, store: fakeStore{entries: map[string]Entry{}}, sendCount: map[string]int{},
		answers: map[string]fleet.ClaimAnswer{}, recorded: map[string]fleet.ClaimAnswer{}, reportedUnknown: map[string]bool{},
	}
	for i := range m.owners {
		m.owners[i] = NewShard(m.now, ShardCount)
		m.owners[i].SetRankedFirst(m.now, i == 0)
	}
	// The first owner has ranked first since well before the keys' timestamps.
	m.now = start.Add(time.Minute)
	return m
}

// action is a step of the model. It has no effect if it does not apply to the current state.
type action func(m *fleetModel, t *rapid.T)

// actions are the possible steps. Frequent ones come first because rapid favours small indices.
var actions = []action{
	(*fleetModel).commit, (*fleetModel).completeCommit, (*fleetModel).commit, (*fleetModel).completeCommit,
	(*fleetModel).send, (*fleetModel).call, (*fleetModel).finish, (*fleetModel).advanceTime, (*fleetModel).applyDelayed,
	(*fleetModel).switchOwner, (*fleetModel).call, (*fleetModel).abandon, (*fleetModel).restart, (*fleetModel).advanceTime,
}

// call makes a first call or a resend at any entry router.
func (m *fleetModel) call(t *rapid.T) {
	number := rapid.IntRange(0, keyCount-1).Draw(t, "key")
	a := &attempt{owner: -1, sendBy: m.now.Add(SendLimit), claim: fleet.Claim{
		Team: "arima-yard", Key: keyAt(start.Add(time.Minute), number), BodyDigest: "body",
		Holder: fleet.RequestID(fmt.Sprint("request-", len(m.attempts))), Begun: m.now,
	}}
	m.attempts = append(m.attempts, a)
	m.begin(t, a, rapid.IntRange(0, 1).Draw(t, "owner"))
}

// begin sends an attempt's claim to an owner.
func (m *fleetModel) begin(t *rapid.T, a *attempt, owner int) {
	if owner == 1 {
		// A router that accepts a claim without ranking first notifies the one that does.
		m.owners[0].RecordForeignClaims(m.now)
	}
	id, reply, queued := m.owners[owner].Begin(m.now, a.claim)
	a.owner, a.id = owner, id
	if !queued {
		m.handleResult(t, a, reply.Result)
	}
}

// pick draws an unfinished attempt that meets the condition. It returns nil if there is none.
func (m *fleetModel) pick(t *rapid.T, matches func(*attempt) bool) *attempt {
	var candidates []*attempt
	for _, a := range m.attempts {
		if !a.ended && matches(a) {
			candidates = append(candidates, a)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	return rapid.SampledFrom(candidates).Draw(t, "attempt")
}

func isWaiting(a *attempt) bool { return a.owner >= 0 && !a.granted }

// switchOwner sends the claim to the other owner after the entry router got no reply from one.
// The first owner still processes the claim.
func (m *fleetModel) switchOwner(t *rapid.T) {
	a := m.pick(t, isWaiting)
	if a == nil {
		return
	}
	m.begin(t, a, 1-a.owner)
}

// abandon makes the owner reply at its time limit; the entry router then releases the claim.
func (m *fleetModel) abandon(t *rapid.T) {
	a := m.pick(t, isWaiting)
	if a == nil {
		return
	}
	result := m.owners[a.owner].Abandon(m.now, a.id).Result
	if result.State == "" {
		result = refused(fleet.RefuseUnknown(fleet.CodeStoreDown, "no owner answered"))
	}
	m.handleResult(t, a, result)
}

// handleResult delivers a result to the caller and checks that it is correct.
func (m *fleetModel) handleResult(t *rapid.T, a *attempt, result fleet.ClaimResult) {
	switch result.State {
	case fleet.ClaimGranted:
		a.granted, a.claim.Revision = true, result.Revision
	case fleet.ClaimRecorded:
		must.Eq(t, m.answers[a.claim.Key], result.Answer, must.Sprint("the recorded answer differs from the answer of the run"))
		m.checkAnswerUnchanged(t, a.claim.Key, result.Answer)
		a.ended = true
	case fleet.ClaimRefused:
		a.ended = true
		if result.Refusal.Ran == fleet.NotRun {
			must.Zero(t, m.sendCount[a.claim.Key], must.Sprint("a call that ran was reported as not run: ", result.Refusal.Message))
		}
		if result.Refusal.Code == fleet.CodeOutcomeUnknown {
			m.reportedUnknown[a.claim.Key] = true
		}
		if result.Refusal.Code == fleet.CodeStoreDown {
			m.owners[a.owner].Finish(m.now, a.claim, fleet.ClaimAnswer{Unsent: true})
		}
	default:
		t.Fatalf("claim result without a state")
	}
}

// checkAnswerUnchanged checks that every resend receives the same recorded answer.
func (m *fleetModel) checkAnswerUnchanged(t *rapid.T, key string, answer fleet.ClaimAnswer) {
	if earlier, found := m.recorded[key]; found {
		must.Eq(t, earlier, answer, must.Sprint("the recorded answer changed"))
	}
	m.recorded[key] = answer
}

// send makes the holder of a granted claim send its call, unless it was paused past its deadline.
func (m *fleetModel) send(t *rapid.T) {
	a := m.pick(t, func(a *attempt) bool { return a.granted && m.answers[a.claim.Key].Status != statusOf(a) })
	if a == nil {
		return
	}
	if !m.now.Before(a.sendBy) {
		a.ended = true
		m.owners[a.owner].Finish(m.now, a.claim, fleet.ClaimAnswer{Unsent: true})
		return
	}
	must.False(t, m.reportedUnknown[a.claim.Key], must.Sprint("sent after a caller received an unknown outcome"))
	m.sendCount[a.claim.Key]++
	must.Eq(t, 1, m.sendCount[a.claim.Key], must.Sprint("a key was sent twice"))
	m.answers[a.claim.Key] = fleet.ClaimAnswer{Status: statusOf(a)}
}

// statusOf returns a status that is unique to an attempt.
func statusOf(a *attempt) int { return int(200 + a.id*2 + OperationID(a.owner)) }

// finish makes the holder record the answer at either owner, or crash.
func (m *fleetModel) finish(t *rapid.T) {
	a := m.pick(t, func(a *attempt) bool { return a.granted && m.answers[a.claim.Key].Status == statusOf(a) })
	if a == nil {
		return
	}
	a.ended = true
	if rapid.Bool().Draw(t, "dies") {
		return
	}
	m.owners[rapid.IntRange(0, 1).Draw(t, "owner")].Finish(m.now, a.claim, m.answers[a.claim.Key])
}

// commit starts an owner's next transaction.
func (m *fleetModel) commit(t *rapid.T) {
	owner := rapid.IntRange(0, 1).Draw(t, "owner")
	transaction, ok := m.owners[owner].Next(m.now)
	if !ok {
		return
	}
	m.flight[owner] = &transaction
}

// completeCommit ends the transaction in flight. It takes effect now, later, twice or never, and
// its response arrives or is lost.
func (m *fleetModel) completeCommit(t *rapid.T) {
	owner := rapid.IntRange(0, 1).Draw(t, "owner")
	if m.flight[owner] == nil {
		return
	}
	transaction := *m.flight[owner]
	m.flight[owner] = nil
	outcome := Outcome{Lost: true}
	switch rapid.SampledFrom([]string{"answered", "answered", "lost before", "lost after", "late", "doubled"}).Draw(t, "fate") {
	case "answered":
		outcome = m.store.commit(transaction)
	case "lost after":
		m.store.commit(transaction)
	case "late":
		m.delayed = append(m.delayed, transaction)
	case "doubled":
		outcome = m.store.commit(transaction)
		m.delayed = append(m.delayed, transaction)
	}
	for _, reply := range m.owners[owner].HandleOutcome(m.now, outcome) {
		for _, a := range m.attempts {
			if isWaiting(a) && !a.ended && a.owner == owner && a.id == reply.Operation && reply.Result.State != "" {
				m.handleResult(t, a, reply.Result)
			}
		}
	}
}

// applyDelayed commits a delayed transaction.
func (m *fleetModel) applyDelayed(t *rapid.T) {
	if len(m.delayed) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.delayed)-1).Draw(t, "which")
	m.store.commit(m.delayed[i])
	m.delayed = append(m.delayed[:i], m.delayed[i+1:]...)
}

// advanceTime advances the clock. The long steps stand for pauses of all processes at once.
func (m *fleetModel) advanceTime(t *rapid.T) {
	m.now = m.now.Add(rapid.SampledFrom([]time.Duration{
		time.Millisecond, time.Second, time.Second, SendLimit, openLimit,
	}).Draw(t, "time"))
}

// restart replaces an owner by one without state. Its transaction in flight may commit later.
func (m *fleetModel) restart(t *rapid.T) {
	owner := rapid.IntRange(0, 1).Draw(t, "owner")
	if m.flight[owner] != nil {
		m.delayed = append(m.delayed, *m.flight[owner])
		m.flight[owner] = nil
	}
	m.owners[owner] = NewShard(m.now, ShardCount)
	m.owners[owner].SetRankedFirst(m.now, owner == 0)
	for _, a := range m.attempts {
		if isWaiting(a) && a.owner == owner {
			// The entry router's call fails with the connection. It abandons the claim or sends it
			// to the other owner.
			a.id = 0
		}
	}
}

// A key is sent at most once and every answer is correct, even if the store loses, delays or
// repeats transactions, entry routers use either owner, and processes pause or crash.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		for range modelsPerCheck {
			m := newFleetModel()
			for range stepsPerModel {
				rapid.SampledFrom(actions).Draw(t, "action")(m, t)
			}
		}
	})
}
