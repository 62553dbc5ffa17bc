package placement

import (
	"testing"
	"time"

	"agateswitch/core/fleet"

	"github.com/shoenig/test/must"
)

// storm asks for many grants at once and returns those given.
func storm(o *Owner, now time.Time, requests int, firstNonce uint64) []fleet.Grant {
	var grants []fleet.Grant
	for i := range requests {
		decision := o.Acquire(now, request(firstNonce+uint64(i), 100, now.Add(second)))
		if !decision.Waiting && decision.Refusal == nil {
			grants = append(grants, decision.Grant)
		}
	}
	for _, decision := range o.Resolved() {
		if decision.Refusal == nil {
			grants = append(grants, decision.Grant)
		}
	}
	return grants
}

func complete(o *Owner, now time.Time, grants []fleet.Grant, outcome fleet.Outcome, firstToken time.Duration) {
	for _, grant := range grants {
		o.Complete(now, fleet.Completion{Grant: grant.ID, Upstream: grant.Upstream.ID, Outcome: outcome, FirstToken: firstToken})
	}
}

// drain ends every grant, those that waiting requests get meanwhile included.
func drain(o *Owner, now time.Time) {
	for len(o.grants) > 0 {
		for id := range o.grants {
			o.Complete(now, fleet.Completion{Grant: id, Outcome: fleet.OutcomeCancelled})
		}
	}
	o.Resolved()
}

// A whole pool that is cold gets its cold concurrency, though all routers ask at once, and
// grows by its own good answers.
func TestColdPoolRampsByItsAnswers(t *testing.T) {
	const count, cold = 8, 2
	o := NewOwner("router-1", 1, testSettings())
	o.SetUpstreams(start, upstreams(count))
	grants := storm(o, start, 500, 1)
	must.Len(t, count*cold, grants)

	now := start.Add(200 * time.Millisecond)
	for id := range o.waiting {
		o.Abandon(now, id)
	}
	complete(o, now, grants, fleet.OutcomeComplete, 100*time.Millisecond)
	for _, upstream := range upstreams(count) {
		o.Report(now, upstream.ID, fleet.LoadReport{Incarnation: "1", Completed: cold, CacheEntries: cold})
	}
	must.Len(t, count*2*cold, storm(o, now, 500, 1000))
}

// Each sign of a restart puts a warm upstream back to its cold concurrency at once.
func TestColdSigns(t *testing.T) {
	const cold = 2
	signs := map[ColdSign]func(o *Owner, now time.Time, grant fleet.Grant){
		SignFailure: func(o *Owner, now time.Time, grant fleet.Grant) {
			complete(o, now, []fleet.Grant{grant}, fleet.OutcomeFailed, 0)
		},
		SignLatency: func(o *Owner, now time.Time, grant fleet.Grant) {
			complete(o, now, []fleet.Grant{grant}, fleet.OutcomeComplete, 2*time.Second)
		},
		SignIncarnation: func(o *Owner, now time.Time, grant fleet.Grant) {
			o.Report(now, grant.Upstream.ID, fleet.LoadReport{Incarnation: "2"})
		},
		SignCacheEmpty: func(o *Owner, now time.Time, grant fleet.Grant) {
			o.Report(now, grant.Upstream.ID, fleet.LoadReport{Incarnation: "1", Completed: 1000})
		},
	}
	for sign, give := range signs {
		t.Run(string(sign), func(t *testing.T) {
			o := warmOwner(1)
			for i := range uint64(2 * jumpSamples) {
				complete(o, start, storm(o, start, 1, 100+i), fleet.OutcomeComplete, 100*time.Millisecond)
			}
			must.Eq(t, testSettings().MaxConcurrency, o.Stats(start).Upstreams[0].Allowed)
			give(o, start, storm(o, start, 1, 1)[0])
			drain(o, start)
			must.Eq(t, cold, o.Stats(start).Upstreams[0].Allowed)
			must.Eq(t, sign, o.engines[0].ramp.sign)
			must.Len(t, cold, storm(o, start, 100, 1000))
		})
	}
}

// A new owner grants little on an upstream until it reports, and counts what it reports.
func TestNewOwnerGrantsLittleUntilItKnows(t *testing.T) {
	const count, cold, atEngine = 4, 2, 20
	o := NewOwner("router-2", 1, testSettings())
	list := upstreams(count)
	o.SetUpstreams(start, list)
	must.Len(t, count*cold, storm(o, start, 200, 1))
	drain(o, start)
	now := start.Add(2 * flightTime)
	for _, upstream := range list {
		o.Report(now, upstream.ID, fleet.LoadReport{Incarnation: "1", Running: atEngine, Work: atEngine * 100, Completed: 1000, CacheEntries: 9})
	}
	granted := storm(o, now, 200, 1000)
	must.Len(t, count*(testSettings().MaxConcurrency-atEngine), granted)
}

// Announced grants count as the new owner's, and their completion ends them.
func TestNewOwnerAdoptsAnnouncedGrants(t *testing.T) {
	old := warmOwner(1)
	grants := storm(old, start, 10, 1)
	o := NewOwner("router-2", 1, testSettings())
	o.SetUpstreams(start, upstreams(1))
	var announcements []Announcement
	for _, grant := range grants {
		announcements = append(announcements, Announcement{Grant: grant.ID, Upstream: grant.Upstream.ID, Work: grant.Work})
	}
	o.Announce(start, announcements)
	o.Announce(start, announcements)
	must.Eq(t, len(grants), o.Stats(start).Upstreams[0].Running)
	must.Eq(t, fleet.Work(100*len(grants)), o.Stats(start).Upstreams[0].Load)
	complete(o, start, grants, fleet.OutcomeCancelled, 0)
	must.Eq(t, 0, o.Stats(start).Upstreams[0].Load)
}

// An owner that was frozen grants nothing from its old state: its epoch changes, waiting
// requests are refused, and it starts like a new owner.
func TestFrozenOwnerStartsAgain(t *testing.T) {
	const cold = 2
	o := warmOwner(1)
	grants := storm(o, start, 100, 1)
	must.Len(t, testSettings().MaxConcurrency, grants)
	must.Positive(t, o.Stats(start).Waiting)

	woken := start.Add(FreezeLimit + time.Millisecond)
	fresh := storm(o, woken, 100, 1000)
	must.Len(t, cold, fresh)
	must.Eq(t, 2, o.Epoch())
	must.NotEq(t, grants[0].ID, fresh[0].ID)
	complete(o, woken, grants, fleet.OutcomeComplete, time.Millisecond)
	must.Eq(t, cold, o.Stats(woken).Upstreams[0].Running)
}

// Good answers do not raise what a new owner grants before it knows what others granted.
func TestLearningOwnerDoesNotRampBeforeReports(t *testing.T) {
	const cold = 2
	o := NewOwner("router-2", 1, testSettings())
	o.SetUpstreams(start, upstreams(1))
	complete(o, start, storm(o, start, cold, 1), fleet.OutcomeComplete, time.Millisecond)
	must.Len(t, cold, storm(o, start, 100, 1000))
	drain(o, start)
	must.Greater(t, cold, len(storm(o, start.Add(LearnWindow), 100, 2000)))
}

// Upstreams held at their cold-start limit do not count in the mean, so that the others take
// what the cold ones cannot.
func TestColdUpstreamsDoNotHoldBackWarmOnes(t *testing.T) {
	const count, lost, cold = 8, 6, 2
	o := warmOwner(count)
	for _, e := range o.engines[:lost] {
		o.Report(start, e.ID, fleet.LoadReport{Incarnation: "2"})
	}
	must.Len(t, lost*cold+(count-lost)*testSettings().MaxConcurrency, storm(o, start, 300, 1))
}

// A completion that arrives after a report, for a request that ended before it, does not let
// foreign load pass for own.
func TestLateCompletionCorrectsForeignLoad(t *testing.T) {
	const foreign = 5
	o := warmOwner(1)
	grants := storm(o, start, 4, 1)
	now := start.Add(second)
	o.Report(now, grants[0].Upstream.ID, fleet.LoadReport{Incarnation: "1", Running: 3 + foreign, Work: 100 * (3 + foreign), CacheEntries: 9})
	must.Eq(t, 4+foreign-1, o.Stats(now).Upstreams[0].Running)
	o.Complete(now.Add(200*time.Millisecond), fleet.Completion{Grant: grants[0].ID, Outcome: fleet.OutcomeComplete, Age: 300 * time.Millisecond})
	must.Eq(t, 3+foreign, o.Stats(now).Upstreams[0].Running)
	must.Eq(t, 100*(3+foreign), o.Stats(now).Upstreams[0].Load)
}

// A grant on its way to the upstream does not let foreign load pass for own either.
func TestGrantInFlightDoesNotHideForeignLoad(t *testing.T) {
	const foreign = 5
	o := warmOwner(1)
	grants := storm(o, start, 1, 1)
	o.Report(start.Add(flightTime/2), grants[0].Upstream.ID, fleet.LoadReport{Incarnation: "1", Running: foreign, Work: 100 * foreign, CacheEntries: 9})
	must.Eq(t, 1+foreign, o.Stats(start).Upstreams[0].Running)
}

// A long prompt that was not in the cache, though it was expected there, is no sign of a restart.
func TestLongPromptIsNoColdSign(t *testing.T) {
	o := warmOwner(1)
	for i := range uint64(2 * jumpSamples) {
		complete(o, start, storm(o, start, 1, 100+i), fleet.OutcomeComplete, 100*time.Millisecond)
	}
	long := request(1, 100, start.Add(second))
	long.Prefill = 8000
	o.memory.remember(long.Chat, o.engines[0], long.Prefill)
	grant := o.Acquire(start, long).Grant
	must.Eq(t, 100, grant.Work)
	complete(o, start, []fleet.Grant{grant}, fleet.OutcomeComplete, 900*time.Millisecond)
	must.False(t, o.engines[0].ramp.isCold())
}
