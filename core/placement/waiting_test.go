package placement

import (
	"fmt"
	"testing"
	"time"

	"agateswitch/core/admission"
	"agateswitch/core/fleet"

	"github.com/shoenig/test/must"
)

// fullOwner returns an owner of one upstream at its maximum concurrency, with a service time of a
// second.
func fullOwner(t *testing.T) (*Owner, []fleet.Grant) {
	o := warmOwner(1)
	first := acquireMany(o, start, 1, 1_000_000)
	o.Tick(start.Add(500 * time.Millisecond))
	complete(o, start.Add(second), first, fleet.OutcomeComplete, 100*time.Millisecond)
	grants := acquireMany(o, start.Add(second), testSettings().MaxConcurrency, 1)
	must.Len(t, testSettings().MaxConcurrency, grants)
	return o, grants
}

// A request whose expected wait exceeds its deadline is refused at once as not run, with a retry
// delay derived from the wait.
func TestHopelessWaitIsRefusedAtOnce(t *testing.T) {
	o, _ := fullOwner(t)
	now := start.Add(second)
	refused := 0
	for i := range uint64(200) {
		decision := o.Acquire(now, request(1000+i, 100, now.Add(second)))
		if decision.Refusal == nil {
			must.True(t, decision.Waiting)
			continue
		}
		refused++
		must.Eq(t, fleet.CodeOverloaded, decision.Refusal.Code)
		must.Eq(t, fleet.NotRun, decision.Refusal.Ran)
		must.Between(t, 500*time.Millisecond, decision.Refusal.RetryAfter, 2*second)
	}
	// 32 requests that run for a second each make room for 32 a second. The first token takes a
	// tenth of a second.
	must.Between(t, 200-32, refused, 200-26)
}

// Waiting requests are granted as others end, the highest priority first.
func TestWaitingRequestsGetTheirTurn(t *testing.T) {
	o, grants := fullOwner(t)
	now := start.Add(second)
	low, high := request(1, 100, now.Add(second)), request(2, 100, now.Add(second))
	low.Ticket.From, high.Ticket.From = "low", "high"
	high.Priority = 5
	must.True(t, o.Acquire(now, low).Waiting)
	must.True(t, o.Acquire(now, high).Waiting)
	for i, want := range []admission.Ticket{high.Ticket, low.Ticket} {
		complete(o, now, grants[i:i+1], fleet.OutcomeComplete, 100*time.Millisecond)
		resolved := o.Resolved()
		must.Len(t, 1, resolved)
		must.Eq(t, want, resolved[0].Ticket)
		must.Nil(t, resolved[0].Refusal)
	}
}

// A waiting request is refused as soon as it cannot meet its deadline, or when its router has
// stopped polling.
func TestWaitingRequestExpires(t *testing.T) {
	o, _ := fullOwner(t)
	now := start.Add(second)
	must.True(t, o.Acquire(now, request(5001, 100, now.Add(500*time.Millisecond))).Waiting)
	must.True(t, o.Acquire(now, request(5002, 100, now.Add(time.Hour))).Waiting)
	o.Tick(now.Add(450 * time.Millisecond))
	resolved := o.Resolved()
	must.Len(t, 1, resolved)
	must.Eq(t, 5001, resolved[0].Ticket.Nonce)
	must.Eq(t, fleet.CodeOverloaded, resolved[0].Refusal.Code)
	o.Tick(now.Add(WaiterTimeout + time.Millisecond))
	must.Len(t, 1, o.Resolved())
	must.Eq(t, 0, o.Stats(now).Waiting)
}

// A surge of one team does not reduce the share of a team that stays within its own.
func TestSurgingTeamLeavesOthersTheirShare(t *testing.T) {
	o, grants := fullOwner(t)
	now := start.Add(second)
	for i := range uint64(20) {
		surge := request(100+i, 100, now.Add(second))
		surge.Team, surge.Share = "surging", 1
		must.True(t, o.Acquire(now, surge).Waiting)
	}
	for i := range uint64(3) {
		calm := request(200+i, 100, now.Add(second))
		calm.Team, calm.Share = "calm", 1
		must.True(t, o.Acquire(now, calm).Waiting, must.Sprint(fmt.Sprint("calm request ", i)))
	}
	complete(o, now, grants[:6], fleet.OutcomeComplete, 100*time.Millisecond)
	served := map[fleet.HostID]int{}
	for _, decision := range o.Resolved() {
		if decision.Refusal == nil {
			must.Less(t, 300, decision.Ticket.Nonce)
			served[fleet.HostID(fmt.Sprint(decision.Ticket.Nonce/100))]++
		}
	}
	must.Eq(t, map[fleet.HostID]int{"1": 3, "2": 3}, served)
}
