package placement

import (
	"fmt"
	"sort"
	"strconv"
	"time"

	"agateswitch/core/admission"
	"agateswitch/core/fleet"
)

// Owner places the requests of one shard. Decisions on requests that waited are collected
// and read with Resolved. It is not safe for concurrent use.
type Owner struct {
	self     fleet.HostID
	epoch    int64
	settings Settings
	// engines are the upstreams that take new work, in id order.
	engines  []*engine
	grants   map[fleet.GrantID]*held
	tickets  map[admission.Ticket]fleet.GrantID
	queue    *admission.FairQueue
	waiting  map[admission.Ticket]*waiting
	memory   *chatMemory
	resolved []Decision
	sequence uint64
	// lastEvent is the time of the last event; a long gap means that the process was frozen.
	lastEvent time.Time
	// service is the smoothed time of complete answers.
	service  time.Duration
	progress progress
	// advanced is when the progress of all requests was last brought up to date.
	advanced time.Time
	scratch  []candidate
}

// NewOwner makes the owner of a shard. Epoch distinguishes lives of the same host.
func NewOwner(self fleet.HostID, epoch int64, settings Settings) *Owner {
	return &Owner{
		self: self, epoch: epoch, settings: settings,
		grants:  map[fleet.GrantID]*held{},
		tickets: map[admission.Ticket]fleet.GrantID{},
		queue:   admission.NewFairQueue(ageStep),
		waiting: map[admission.Ticket]*waiting{},
		memory:  newChatMemory(maxRemembered),
	}
}

// Epoch changes when the owner has lost its state. Grants of earlier epochs are not known
// to it until they are announced.
func (o *Owner) Epoch() int64 { return o.epoch }

// SetSettings takes changed settings of the pool.
func (o *Owner) SetSettings(settings Settings) {
	if settings == o.settings {
		return
	}
	o.settings = settings
	for _, e := range o.engines {
		e.ramp.cold = max(1, settings.ColdConcurrency)
		e.ramp.limit = max(1, settings.MaxConcurrency)
		e.ramp.allowed = min(max(e.ramp.allowed, e.ramp.cold), e.ramp.limit)
	}
}

// SetUpstreams replaces the list of the shard's upstreams that take new work.
func (o *Owner) SetUpstreams(now time.Time, list []fleet.Upstream) {
	known := make(map[fleet.UpstreamID]*engine, len(o.engines))
	for _, e := range o.engines {
		known[e.ID] = e
	}
	engines := make([]*engine, 0, len(list))
	for _, entry := range list {
		e, found := known[entry.ID]
		if !found {
			e = newEngine(now, entry, o.settings)
			o.restoreGrants(e)
		}
		e.Upstream, e.weight = entry, weightOf(entry)
		engines = append(engines, e)
	}
	sort.Slice(engines, func(i, j int) bool { return engines[i].ID < engines[j].ID })
	o.engines = engines
}

// restoreGrants counts grants that outlived an upstream's absence from the list.
func (o *Owner) restoreGrants(e *engine) {
	for _, grant := range o.grants {
		if grant.upstream == e.ID {
			e.adopt(grant.work)
			grant.adopted = true
		}
	}
}

func (o *Owner) engine(id fleet.UpstreamID) (*engine, bool) {
	at := sort.Search(len(o.engines), func(i int) bool { return o.engines[i].ID >= id })
	if at < len(o.engines) && o.engines[at].ID == id {
		return o.engines[at], true
	}
	return nil, false
}

// Acquire decides on one request. A repeated question gets the same answer.
func (o *Owner) Acquire(now time.Time, request Request) Decision {
	o.observe(now)
	if id, found := o.tickets[request.Ticket]; found {
		grant := o.grants[id].grant
		return Decision{Ticket: request.Ticket, Grant: grant, Reason: string(grant.Reason)}
	}
	if known, found := o.waiting[request.Ticket]; found {
		known.asked = now
		return Decision{Ticket: request.Ticket, Waiting: true, Reason: "waiting"}
	}
	o.planWarmWait(now, &request)
	if o.queue.Len() == 0 {
		if decision, placed := o.place(now, request); placed {
			return decision
		}
	}
	return o.enqueue(now, request)
}

// place grants the request when an upstream may take it now.
func (o *Owner) place(now time.Time, request Request) (Decision, bool) {
	chosen, sum, found := o.choose(now, request)
	if !found {
		return Decision{}, false
	}
	reason := o.reasonOf(request, chosen)
	bound := o.bound(chosen, sum)
	chosen.engine.take(now, chosen.work)
	grant := fleet.Grant{
		ID: o.nextGrant(), Owner: o.self, Upstream: chosen.engine.Upstream, Work: chosen.work,
		Expires: now.Add(o.settings.GrantLife), Reason: reason,
		Load: chosen.engine.load(), Bound: bound, Warm: chosen.warm,
	}
	o.grants[grant.ID] = &held{
		ticket: request.Ticket, holder: request.Ticket.From, upstream: grant.Upstream.ID, chat: request.Chat,
		prompt: request.Prefill, prefill: grant.Work - request.Decode, decode: request.Decode, work: grant.Work,
		since: now, expires: grant.Expires, grant: grant,
	}
	o.tickets[request.Ticket] = grant.ID
	o.memory.remember(request.Chat, chosen.engine, request.Prefill+request.Decode)
	return Decision{Ticket: request.Ticket, Grant: grant, Reason: string(reason)}, true
}

func (o *Owner) nextGrant() fleet.GrantID {
	o.sequence++
	buffer := make([]byte, 0, len(o.self)+24)
	buffer = append(buffer, o.self...)
	buffer = append(buffer, '-')
	buffer = strconv.AppendInt(buffer, o.epoch, 36)
	buffer = append(buffer, '-')
	buffer = strconv.AppendUint(buffer, o.sequence, 36)
	return fleet.GrantID(buffer)
}

// Complete ends a grant.
func (o *Owner) Complete(now time.Time, completion fleet.Completion) {
	o.observe(now)
	grant, found := o.grants[completion.Grant]
	if !found {
		return
	}
	o.drop(completion.Grant, grant)
	if e, found := o.engine(grant.upstream); found {
		e.correct(grant.work, now.Add(-completion.Age))
	}
	o.learn(now, grant, completion)
	o.dispatch(now)
}

// learn takes what the end of a request tells about its upstream.
func (o *Owner) learn(now time.Time, grant *held, completion fleet.Completion) {
	e, found := o.engine(grant.upstream)
	if !found {
		return
	}
	switch completion.Outcome {
	case fleet.OutcomeComplete:
		e.hold.answered()
		e.ramp.answered(completion.FirstToken, grant.prompt, grant.prefill)
		if !grant.adopted {
			took := max(0, now.Sub(grant.since)-completion.Age)
			o.service = smooth(o.service, took)
			o.progress.learn(took, completion.FirstToken, completion.Decoded)
		}
	case fleet.OutcomeFailed, fleet.OutcomeUnsent:
		e.ramp.reset(SignFailure)
		e.hold.failed(now, completion.Outcome == fleet.OutcomeUnsent)
		o.memory.forget(grant.chat)
	}
}

func smooth(mean, sample time.Duration) time.Duration {
	if mean == 0 {
		return sample
	}
	return mean + time.Duration(smoothing*float64(sample-mean))
}

// Abandon ends whatever became of a question whose router no longer wants an answer.
func (o *Owner) Abandon(now time.Time, ticket admission.Ticket) {
	o.observe(now)
	if _, found := o.waiting[ticket]; found {
		o.leaveQueue(ticket)
	}
	if id, found := o.tickets[ticket]; found {
		o.drop(id, o.grants[id])
	}
	o.dispatch(now)
}

// Announce takes grants that a router holds: known ones are renewed, those of earlier
// owners are adopted.
func (o *Owner) Announce(now time.Time, announcements []Announcement) {
	o.observe(now)
	for _, announced := range announcements {
		grant, known := o.grants[announced.Grant]
		if !known {
			grant = &held{holder: announced.Holder, upstream: announced.Upstream, work: announced.Work, decode: announced.Work, since: now, adopted: true}
			if e, found := o.engine(announced.Upstream); found {
				e.adopt(announced.Work)
			}
		}
		grant.expires = now.Add(o.settings.GrantLife)
		o.grants[announced.Grant] = grant
	}
}

// Report takes an upstream's load report. It returns the sign of a restart, or nothing.
func (o *Owner) Report(now time.Time, id fleet.UpstreamID, report fleet.LoadReport) ColdSign {
	o.observe(now)
	e, found := o.engine(id)
	if !found {
		return ""
	}
	o.drift(now)
	restarted := e.report(now, report)
	o.dispatch(now)
	if !restarted {
		return ""
	}
	o.memory.forgetUpstream(e)
	return e.ramp.sign
}

// Tick passes time: grants expire, waiting requests get their turn or are refused.
func (o *Owner) Tick(now time.Time) {
	o.observe(now)
	for id, grant := range o.grants {
		if now.After(grant.expires) {
			o.drop(id, grant)
		}
	}
	o.advance(now)
	for _, e := range o.engines {
		e.age(now)
	}
	o.dispatch(now)
}

func (o *Owner) drop(id fleet.GrantID, grant *held) {
	delete(o.grants, id)
	if o.tickets[grant.ticket] == id {
		delete(o.tickets, grant.ticket)
	}
	if e, found := o.engine(grant.upstream); found {
		e.give(grant)
	}
}

// observe notices that the process was frozen. What it knew is then out of date, and other
// routers have granted meanwhile, so that it starts again like a new owner.
func (o *Owner) observe(now time.Time) {
	frozen := !o.lastEvent.IsZero() && now.Sub(o.lastEvent) > FreezeLimit
	o.lastEvent = now
	if !frozen {
		return
	}
	o.epoch++
	for ticket := range o.waiting {
		o.leaveQueue(ticket)
		o.resolved = append(o.resolved, Decision{Ticket: ticket, Reason: "frozen", Refusal: fleet.Refuse(
			fleet.CodeOverloaded, "the shard's owner was suspended for longer than "+fmt.Sprint(FreezeLimit), minRetryAfter)})
	}
	o.grants = map[fleet.GrantID]*held{}
	o.tickets = map[admission.Ticket]fleet.GrantID{}
	for i, e := range o.engines {
		o.engines[i] = newEngine(now, e.Upstream, o.settings)
	}
}
