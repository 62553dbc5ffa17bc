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

func keyAt(moment time.Time, number int) string {
	millis := fmt.Sprintf("%012x", moment.UnixMilli())
	return millis[:8] + "-" + millis[8:] + fmt.Sprintf("-7000-8000-%012x", number)
}

// fakeStore holds keys with revisions. A transaction is applied when the test says so.
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
	// owner is the router whose answer the entry waits for; -1 while it waits for none.
	owner int
	id    OperationID
	// sendBy counts from before the first owner was asked.
	sendBy  time.Time
	granted bool
	ended   bool
}

// machine is a fleet of two owners of one shard, entry routers, and callers.
type machine struct {
	now      time.Time
	store    fakeStore
	owners   [2]*Shard
	flight   [2]*Transaction
	late     []Transaction
	attempts []*attempt
	sends    map[string]int
	// answers holds the answer that the service gave to the one send of a key.
	answers  map[string]fleet.ClaimAnswer
	recorded map[string]fleet.ClaimAnswer
	// settled holds the keys of which a caller was told that an open claim is unknown.
	settled map[string]bool
}

const (
	keys     = 2
	machines = 10
	steps    = 200
)

func newMachine() *machine {
	m := &machine{
		now: start, store: fakeStore{entries: map[string]Entry{}}, sends: map[string]int{},
		answers: map[string]fleet.ClaimAnswer{}, recorded: map[string]fleet.ClaimAnswer{}, settled: map[string]bool{},
	}
	for i := range m.owners {
		m.owners[i] = NewShard(m.now, Shards)
		m.owners[i].SetFirst(m.now, i == 0)
	}
	// The first owner has ranked first since long before the keys were made.
	m.now = start.Add(time.Minute)
	return m
}

// action is a step of the machine. It does nothing when there is nothing to do.
type action func(m *machine, t *rapid.T)

// actions are the steps, the frequent ones first, as rapid prefers small indices.
var actions = []action{
	(*machine).commit, (*machine).storeAnswers, (*machine).commit, (*machine).storeAnswers,
	(*machine).send, (*machine).call, (*machine).end, (*machine).pass, (*machine).lateEffect,
	(*machine).turn, (*machine).call, (*machine).giveUp, (*machine).restart, (*machine).pass,
}

// call is a first call or a resend, at any entry.
func (m *machine) call(t *rapid.T) {
	number := rapid.IntRange(0, keys-1).Draw(t, "key")
	a := &attempt{owner: -1, sendBy: m.now.Add(SendLimit), claim: fleet.Claim{
		Team: "arima-yard", Key: keyAt(start.Add(time.Minute), number), BodyDigest: "body",
		Holder: fleet.RequestID(fmt.Sprint("request-", len(m.attempts))), Begun: m.now,
	}}
	m.attempts = append(m.attempts, a)
	m.ask(t, a, rapid.IntRange(0, 1).Draw(t, "owner"))
}

func (m *machine) ask(t *rapid.T, a *attempt, owner int) {
	if owner == 1 {
		// A router that takes a claim out of rank tells the first.
		m.owners[0].NoteForeign(m.now)
	}
	id, reply, later := m.owners[owner].Begin(m.now, a.claim)
	a.owner, a.id = owner, id
	if !later {
		m.told(t, a, reply.Result)
	}
}

func (m *machine) pick(t *rapid.T, fits func(*attempt) bool) *attempt {
	var fitting []*attempt
	for _, a := range m.attempts {
		if !a.ended && fits(a) {
			fitting = append(fitting, a)
		}
	}
	if len(fitting) == 0 {
		return nil
	}
	return rapid.SampledFrom(fitting).Draw(t, "attempt")
}

func isAsking(a *attempt) bool { return a.owner >= 0 && !a.granted }

// turn: the entry got no answer from one owner and asks the other. The first owner goes on.
func (m *machine) turn(t *rapid.T) {
	a := m.pick(t, isAsking)
	if a == nil {
		return
	}
	m.ask(t, a, 1-a.owner)
}

// giveUp: the owner answers at the end of its limit, and the entry releases the claim.
func (m *machine) giveUp(t *rapid.T) {
	a := m.pick(t, isAsking)
	if a == nil {
		return
	}
	result := m.owners[a.owner].Abandon(m.now, a.id).Result
	if result.State == "" {
		result = refused(fleet.RefuseUnknown(fleet.CodeStoreDown, "no owner answered"))
	}
	m.told(t, a, result)
}

// told hands an answer to the caller and checks that it is true.
func (m *machine) told(t *rapid.T, a *attempt, result fleet.ClaimResult) {
	switch result.State {
	case fleet.ClaimGranted:
		a.granted, a.claim.Revision = true, result.Revision
	case fleet.ClaimRecorded:
		must.Eq(t, m.answers[a.claim.Key], result.Answer, must.Sprint("not the answer of the run"))
		m.checkStable(t, a.claim.Key, result.Answer)
		a.ended = true
	case fleet.ClaimRefused:
		a.ended = true
		if result.Refusal.Ran == fleet.NotRun {
			must.Zero(t, m.sends[a.claim.Key], must.Sprint("not run was said of a call that ran: ", result.Refusal.Message))
		}
		if result.Refusal.Code == fleet.CodeOutcomeUnknown {
			m.settled[a.claim.Key] = true
		}
		if result.Refusal.Code == fleet.CodeStoreDown {
			m.owners[a.owner].Finish(m.now, a.claim, fleet.ClaimAnswer{Unsent: true})
		}
	default:
		t.Fatalf("answer without a state")
	}
}

func (m *machine) checkStable(t *rapid.T, key string, answer fleet.ClaimAnswer) {
	if earlier, found := m.recorded[key]; found {
		must.Eq(t, earlier, answer, must.Sprint("the recorded answer changed"))
	}
	m.recorded[key] = answer
}

// send: the holder of a granted claim sends, unless it was paused past its limit.
func (m *machine) send(t *rapid.T) {
	a := m.pick(t, func(a *attempt) bool { return a.granted && m.answers[a.claim.Key].Status != statusOf(a) })
	if a == nil {
		return
	}
	if !m.now.Before(a.sendBy) {
		a.ended = true
		m.owners[a.owner].Finish(m.now, a.claim, fleet.ClaimAnswer{Unsent: true})
		return
	}
	must.False(t, m.settled[a.claim.Key], must.Sprint("sent after a caller was told that the claim is lost"))
	m.sends[a.claim.Key]++
	must.Eq(t, 1, m.sends[a.claim.Key], must.Sprint("a key was sent twice"))
	m.answers[a.claim.Key] = fleet.ClaimAnswer{Status: statusOf(a)}
}

// statusOf tells the answers of attempts apart.
func statusOf(a *attempt) int { return int(200 + a.id*2 + OperationID(a.owner)) }

// end: the holder records the answer, at either owner, or dies.
func (m *machine) end(t *rapid.T) {
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

func (m *machine) commit(t *rapid.T) {
	owner := rapid.IntRange(0, 1).Draw(t, "owner")
	transaction, ok := m.owners[owner].Next(m.now)
	if !ok {
		return
	}
	m.flight[owner] = &transaction
}

// storeAnswers: the transaction in flight takes effect or not, now, later or twice, and
// its answer comes or is lost.
func (m *machine) storeAnswers(t *rapid.T) {
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
		m.late = append(m.late, transaction)
	case "doubled":
		outcome = m.store.commit(transaction)
		m.late = append(m.late, transaction)
	}
	for _, reply := range m.owners[owner].Done(m.now, outcome) {
		for _, a := range m.attempts {
			if isAsking(a) && !a.ended && a.owner == owner && a.id == reply.Operation && reply.Result.State != "" {
				m.told(t, a, reply.Result)
			}
		}
	}
}

func (m *machine) lateEffect(t *rapid.T) {
	if len(m.late) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.late)-1).Draw(t, "which")
	m.store.commit(m.late[i])
	m.late = append(m.late[:i], m.late[i+1:]...)
}

// pass lets time pass; the long steps are pauses of every process at once.
func (m *machine) pass(t *rapid.T) {
	m.now = m.now.Add(rapid.SampledFrom([]time.Duration{
		time.Millisecond, time.Second, time.Second, SendLimit, openLimit,
	}).Draw(t, "time"))
}

// restart replaces an owner by an empty one; its transaction in flight may come late.
func (m *machine) restart(t *rapid.T) {
	owner := rapid.IntRange(0, 1).Draw(t, "owner")
	if m.flight[owner] != nil {
		m.late = append(m.late, *m.flight[owner])
		m.flight[owner] = nil
	}
	m.owners[owner] = NewShard(m.now, Shards)
	m.owners[owner].SetFirst(m.now, owner == 0)
	for _, a := range m.attempts {
		if isAsking(a) && a.owner == owner {
			// The entry's call ends with the connection; it gives up or asks the other owner.
			a.id = 0
		}
	}
}

// Whatever the store loses, delays or doubles, whichever owner is asked, and whoever
// pauses or dies: a key is sent at most once and every answer is true.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		for range machines {
			m := newMachine()
			for range steps {
				rapid.SampledFrom(actions).Draw(t, "action")(m, t)
			}
		}
	})
}
