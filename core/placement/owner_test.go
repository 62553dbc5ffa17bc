package placement

import (
	"fmt"
	"testing"
	"time"

	"agateswitch/core/admission"
	"agateswitch/core/fleet"
	"agateswitch/core/rendezvous"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

const second = time.Second

func testSettings() Settings {
	return Settings{BoundFactor: 1.25, ColdConcurrency: 2, MaxConcurrency: 32, GrantTTL: time.Hour, Reports: true}
}

func upstreams(count int) []fleet.Upstream {
	list := make([]fleet.Upstream, count)
	for i := range list {
		list[i] = fleet.Upstream{
			ID: fleet.UpstreamID(fmt.Sprintf("engine-%03d", i)), Pool: "pool", State: fleet.Live, Weight: 1,
			DataCentre: fleet.DataCentre(fmt.Sprintf("dc-%d", i%4)), Version: fleet.Version(fmt.Sprint(1 + i%2)),
		}
	}
	return list
}

// runningRequest is one granted request in the model.
type runningRequest struct {
	owner int
	id    fleet.GrantID
	on    fleet.UpstreamID
	work  fleet.Work
}

// model runs one or two owners of a shard against simulated engines and records the engines' true
// load.
type model struct {
	owners  []*Owner
	list    []fleet.Upstream
	now     time.Time
	nonce   uint64
	running []runningRequest
	// unseen is, for each owner, the work that the other owner granted on an upstream since the
	// owner's last report from it. foreign is the other owner's load there at that report.
	unseen, foreign []map[fleet.UpstreamID]fleet.Work
	reported        []map[fleet.UpstreamID]time.Time
}

func newModel(owners int, list []fleet.Upstream) *model {
	m := &model{now: start, list: list}
	for i := range owners {
		o := NewOwner(fleet.HostID(fmt.Sprint("router-", i)), 1, testSettings())
		o.SetUpstreams(start, list)
		m.owners = append(m.owners, o)
		m.unseen = append(m.unseen, map[fleet.UpstreamID]fleet.Work{})
		m.foreign = append(m.foreign, map[fleet.UpstreamID]fleet.Work{})
		m.reported = append(m.reported, map[fleet.UpstreamID]time.Time{})
	}
	return m
}

func (m *model) load(on fleet.UpstreamID, owner int) (work fleet.Work, count int) {
	for _, r := range m.running {
		if r.on == on && (owner < 0 || r.owner == owner) {
			work += m.owners[r.owner].grants[r.id].work
			count++
		}
	}
	return work, count
}

// expectedLoad is the load of an upstream that an owner should know: its own grants and the other
// owner's at the last report.
func (m *model) expectedLoad(owner int, on fleet.UpstreamID) fleet.Work {
	own, _ := m.load(on, owner)
	return own + m.foreign[owner][on]
}

func (m *model) arrive(t *rapid.T) {
	owner := rapid.IntRange(0, len(m.owners)-1).Draw(t, "owner")
	evening := rapid.Bool().Draw(t, "evening")
	size := fleet.Work(rapid.IntRange(1, 50).Draw(t, "size"))
	if evening {
		size *= 100
	}
	m.nonce++
	request := Request{
		Ticket: admission.Ticket{From: "entry", Nonce: m.nonce}, Team: "team", Prefill: size, Decode: size,
		Chat: rapid.Uint64Range(1, 40).Draw(t, "chat") * 0x9e3779b97f4a7c15, Deadline: m.now.Add(second),
	}
	if rapid.IntRange(0, 5).Draw(t, "restricted") == 0 {
		request.Version = rapid.SampledFrom([]fleet.Version{"1", "2"}).Draw(t, "version")
		request.Exclude = []fleet.UpstreamID{rapid.SampledFrom(m.list).Draw(t, "exclude").ID}
	}
	before := m.owners[owner].Stats(m.now)
	decision := m.owners[owner].Acquire(m.now, request)
	if !decision.Waiting && decision.Refusal == nil {
		m.checkGrant(t, owner, before, request, decision.Grant)
		m.start(owner, decision.Grant)
	}
	m.owners[owner].Abandon(m.now, waitingTicket(request, decision))
	m.owners[owner].Resolved()
}

// waitingTicket returns the request's ticket if the request waits, so that the caller can abandon
// it: callers of the model do not wait.
func waitingTicket(request Request, decision Decision) admission.Ticket {
	if decision.Waiting {
		return request.Ticket
	}
	return admission.Ticket{}
}

func (m *model) start(owner int, grant fleet.Grant) {
	m.running = append(m.running, runningRequest{owner: owner, id: grant.ID, on: grant.Upstream.ID, work: grant.Work})
	for other := range m.owners {
		if other != owner {
			m.unseen[other][grant.Upstream.ID] += grant.Work
		}
	}
}

// checkGrant checks the rule of the package comment against the model's loads.
func (m *model) checkGrant(t *rapid.T, owner int, before Stats, request Request, grant fleet.Grant) {
	var total fleet.Work
	var weights, weight float64
	for _, stats := range before.Upstreams {
		counted := stats.Running < stats.Allowed || !stats.Cold
		upstream := m.upstream(stats.ID)
		if counted {
			total += m.expectedLoad(owner, stats.ID)
			weights += upstream.Weight
		}
		if stats.ID != grant.Upstream.ID {
			continue
		}
		weight = upstream.Weight
		if stats.Running >= stats.Allowed {
			t.Fatalf("grant on %s, which already runs %d of %d allowed requests", stats.ID, stats.Running, stats.Allowed)
		}
	}
	if !request.allows(grant.Upstream) {
		t.Fatalf("grant on %s, which the request may not run on", grant.Upstream.ID)
	}
	meanBefore := float64(total) * weight / weights
	bound := testSettings().BoundFactor * float64(total+grant.Work) * weight / weights
	limit := max(bound, meanBefore+float64(grant.Work))
	truth, _ := m.load(grant.Upstream.ID, -1)
	unseen := m.unseen[owner][grant.Upstream.ID]
	if float64(truth+grant.Work) > limit+float64(unseen)+1 {
		t.Fatalf("%s has load %d after the grant of %d, limit %.1f and %d unseen", grant.Upstream.ID, truth+grant.Work, grant.Work, limit, unseen)
	}
}

func (m *model) upstream(id fleet.UpstreamID) fleet.Upstream {
	for _, upstream := range m.list {
		if upstream.ID == id {
			return upstream
		}
	}
	return fleet.Upstream{}
}

func (m *model) end(t *rapid.T) {
	if len(m.running) == 0 {
		return
	}
	at := rapid.IntRange(0, len(m.running)-1).Draw(t, "request")
	outcome := rapid.SampledFrom([]fleet.Outcome{fleet.OutcomeComplete, fleet.OutcomeComplete, fleet.OutcomeCancelled, fleet.OutcomeFailed}).Draw(t, "outcome")
	ended := m.running[at]
	m.running = append(m.running[:at], m.running[at+1:]...)
	m.owners[ended.owner].Complete(m.now, fleet.Completion{Grant: ended.id, Outcome: outcome, FirstToken: 100 * time.Millisecond})
}

func (m *model) report(t *rapid.T) {
	owner := rapid.IntRange(0, len(m.owners)-1).Draw(t, "reader")
	id := rapid.SampledFrom(m.list).Draw(t, "reporter").ID
	work, count := m.load(id, -1)
	own, _ := m.load(id, owner)
	m.owners[owner].Report(m.now, id, fleet.LoadReport{Incarnation: "1", Running: count, Work: work, Completed: 100, CacheEntries: 9})
	m.foreign[owner][id] = work - own
	m.unseen[owner][id] = 0
	m.reported[owner][id] = m.now
}

func (m *model) changeWeight(t *rapid.T) {
	at := rapid.IntRange(0, len(m.list)-1).Draw(t, "ramped")
	m.list = append([]fleet.Upstream(nil), m.list...)
	m.list[at].Weight = rapid.Float64Range(0.1, 1).Draw(t, "weight")
	for _, o := range m.owners {
		o.SetUpstreams(m.now, m.list)
	}
}

func (m *model) tick(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 500).Draw(t, "milliseconds")) * time.Millisecond)
	for owner, o := range m.owners {
		o.Tick(m.now)
		for id, at := range m.reported[owner] {
			if m.now.Sub(at) > maxReportAge {
				m.unseen[owner][id] += m.foreign[owner][id]
				m.foreign[owner][id] = 0
			}
		}
	}
}

func checkModel(t *testing.T, owners int) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(owners, upstreams(rapid.IntRange(1, 10).Draw(t, "upstreams")))
		for _, upstream := range m.list {
			for _, o := range m.owners {
				o.Report(m.now, upstream.ID, fleet.LoadReport{Incarnation: "1", Completed: 100, CacheEntries: 9})
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"arrive": m.arrive, "arrive again": m.arrive, "arrive once more": m.arrive, "end": m.end,
			"report": m.report, "reweigh": m.changeWeight, "tick": m.tick,
		})
	})
}

// Every grant of a single owner obeys the rule of the package comment.
func TestGrantsKeepBound(t *testing.T) { checkModel(t, 1) }

// Two simultaneous owners exceed the bound by at most the work that the other owner granted since
// the last report.
func TestTwoOwnersKeepBound(t *testing.T) { checkModel(t, 2) }

func request(nonce uint64, work fleet.Work, deadline time.Time) Request {
	return Request{
		Ticket: admission.Ticket{From: "entry", Nonce: nonce}, Chat: rendezvous.Hash(fmt.Sprint("chat-", nonce)),
		Team: "team", Decode: work, Deadline: deadline,
	}
}

func warmOwner(count int) *Owner {
	o := NewOwner("router-1", 1, testSettings())
	list := upstreams(count)
	o.SetUpstreams(start, list)
	for _, upstream := range list {
		o.Report(start, upstream.ID, fleet.LoadReport{Incarnation: "1", Completed: 1000, CacheEntries: 9})
	}
	return o
}

// In a nearly idle shard, each request runs on an upstream of its own.
func TestNearlyIdleShardSpreads(t *testing.T) {
	const count = 8
	o := warmOwner(count)
	used := map[fleet.UpstreamID]int{}
	for i := range count {
		decision := o.Acquire(start, request(uint64(i), 100, start.Add(second)))
		must.Nil(t, decision.Refusal)
		must.False(t, decision.Waiting)
		used[decision.Grant.Upstream.ID]++
	}
	must.MapLen(t, count, used)
}

// A repeated request receives the same grant.
func TestRepeatedRequestGetsSameGrant(t *testing.T) {
	o := warmOwner(3)
	first := o.Acquire(start, request(1, 100, start.Add(second)))
	again := o.Acquire(start, request(1, 100, start.Add(second)))
	must.Eq(t, first.Grant, again.Grant)
	must.Eq(t, 1, o.Stats(start).Grants)
}
