package placement

import (
	"fmt"
	"sort"
	"strconv"
	"time"

	"agateswitch/core/admission"
	"agateswitch/core/fleet"
)

// Owner places the requests of one shard. Decisions on requests that waited in the queue are
// collected until Resolved returns them. An Owner is not safe for concurrent use.
type Owner struct {
	self     fleet.HostID
	epoch    int64
	settings Settings
	// engines are the upstreams that accept new work, in id order.
	engines  []*engine
	grants   map[fleet.GrantID]*activeGrant
	tickets  map[admission.Ticket]fleet.GrantID
	queue    *admission.FairQueue
	waiting  map[admission.Ticket]*waitingRequest
	memory   *chatMemory
	resolved []Decision
	sequence uint64
	// lastEvent is the time of the last event; a long gap means that the process was paused.
	lastEvent time.Time
	// serviceTime is the smoothed duration of requests with a complete answer.
	serviceTime time.Duration
	progress    progress
	// progressUpdated is when updateProgress last ran.
	progressUpdated time.Time
	scratch         []candidate
}

// NewOwner returns the owner of a shard. The epoch distinguishes successive owners on the same
// host, so that their grant ids differ.
func NewOwner(self fleet.HostID, epoch int64, settings Settings) *Owner {
	return &Owner{
		self: self, epoch: epoch, settings: settings,
		grants:  map[fleet.GrantID]*activeGrant{},
		tickets: map[admission.Ticket]fleet.GrantID{},
		queue:   admission.NewFairQueue(priorityAgingInterval),
		waiting: map[admission.Ticket]*waitingRequest{},
		memory:  newChatMemory(maxRememberedChats),
	}
}

// Epoch returns the owner's epoch, which changes when the owner discards its state. Grants of
// earlier epochs are unknown to the owner until they are announced.
func (o *Owner) Epoch() int64 { return o.epoch }

// SetSettings applies changed settings of the pool.
func (o *Owner) SetSettings(settings Settings) {
	if settings == o.settings {
		return
	}
	o.settings = settings
	for _, e := range o.engines {
		e.ramp.coldLimit = max(1, settings.ColdConcurrency)
		e.ramp.warmLimit = max(1, settings.MaxConcurrency)
		e.ramp.allowed = min(max(e.ramp.allowed, e.ramp.coldLimit), e.ramp.warmLimit)
	}
}

// SetUpstreams replaces the list of the shard's upstreams that accept new work.
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

// restoreGrants counts the grants that remained while the upstream was absent from the list.
func (o *Owner) restoreGrants(e *engine) {
	for _, grant := range o.grants {
		if grant.upstream == e.ID {
			e.adopt(grant.work)
			grant.adopted = true
		}
	}
}

// engine returns the state of an upstream by binary search in the sorted list.
func (o *Owner) engine(id fleet.UpstreamID) (*engine, bool) {
	at := sort.Search(len(o.engines), func(i int) bool { return o.engines[i].ID >= id })
	if at < len(o.engines) && o.engines[at].ID == id {
		return o.engines[at], true
	}
	return nil, false
}

// Acquire decides on one request. A repeated request with the same ticket gets the same grant.
func (o *Owner) Acquire(now time.Time, request Request) Decision {
	o.detectPause(now)
	if id, found := o.tickets[request.Ticket]; found {
		grant := o.grants[id].grant
		return Decision{Ticket: request.Ticket, Grant: grant, Reason: string(grant.Reason)}
	}
	if known, found := o.waiting[request.Ticket]; found {
		known.lastPolled = now
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

// place grants the request if an upstream can accept it now.
func (o *Owner) place(now time.Time, request Request) (Decision, bool) {
	chosen, sum, found := o.choose(now, request)
	if !found {
		return Decision{}, false
	}
	reason := o.placementReason(request, chosen)
	bound := o.bound(chosen, sum)
	chosen.engine.addGrant(now, chosen.work)
	grant := fleet.Grant{
		ID: o.nextGrantID(), Owner: o.self, Upstream: chosen.engine.Upstream, Work: chosen.work,
		Expires: now.Add(o.settings.GrantTTL), Reason: reason,
		Load: chosen.engine.load(), Bound: bound, Warm: chosen.warm,
	}
	o.grants[grant.ID] = &activeGrant{
		ticket: request.Ticket, holder: request.Ticket.From, upstream: grant.Upstream.ID, chat: request.Chat,
		prompt: request.Prefill, prefill: grant.Work - request.Decode, decode: request.Decode, work: grant.Work,
		since: now, expires: grant.Expires, grant: grant,
	}
	o.tickets[request.Ticket] = grant.ID
	o.memory.record(request.Chat, chosen.engine, request.Prefill+request.Decode)
	return Decision{Ticket: request.Ticket, Grant: grant, Reason: string(reason)}, true
}

// nextGrantID returns an id of the form host-epoch-sequence, with both numbers in base 36.
func (o *Owner) nextGrantID() fleet.GrantID {
	o.sequence++
	buffer := make([]byte, 0, len(o.self)+24)
	buffer = append(buffer, o.self...)
	buffer = append(buffer, '-')
	buffer = strconv.AppendInt(buffer, o.epoch, 36)
	buffer = append(buffer, '-')
	buffer = strconv.AppendUint(buffer, o.sequence, 36)
	return fleet.GrantID(buffer)
}

// Complete ends a grant and applies its outcome to the upstream's state.
func (o *Owner) Complete(now time.Time, completion fleet.Completion) {
	o.detectPause(now)
	grant, found := o.grants[completion.Grant]
	if !found {
		return
	}
	o.endGrant(completion.Grant, grant)
	if e, found := o.engine(grant.upstream); found {
		e.correctForEnded(grant.work, now.Add(-completion.Age))
	}
	o.recordOutcome(now, grant, completion)
	o.dispatch(now)
}

// recordOutcome updates an upstream's breaker, ramp and latency estimates with the end of a
// request.
func (o *Owner) recordOutcome(now time.Time, grant *activeGrant, completion fleet.Completion) {
	e, found := o.engine(grant.upstream)
	if !found {
		return
	}
	switch completion.Outcome {
	case fleet.OutcomeComplete:
		e.breaker.recordSuccess()
		e.ramp.recordAnswer(completion.FirstToken, grant.prompt, grant.prefill)
		if !grant.adopted {
			duration := max(0, now.Sub(grant.since)-completion.Age)
			o.serviceTime = smooth(o.serviceTime, duration)
			o.progress.record(duration, completion.FirstToken, completion.Decoded)
		}
	case fleet.OutcomeFailed, fleet.OutcomeUnsent:
		e.ramp.reset(CauseRequestFailed)
		e.breaker.recordFailure(now, completion.Outcome == fleet.OutcomeUnsent)
		o.memory.remove(grant.chat)
	}
}

// smooth updates an exponentially weighted moving average.
func smooth(mean, sample time.Duration) time.Duration {
	if mean == 0 {
		return sample
	}
	return mean + time.Duration(smoothingFactor*float64(sample-mean))
}

// Abandon removes a request from the queue or ends its grant, when its router no longer needs
// a decision.
func (o *Owner) Abandon(now time.Time, ticket admission.Ticket) {
	o.detectPause(now)
	if _, found := o.waiting[ticket]; found {
		o.removeFromQueue(ticket)
	}
	if id, found := o.tickets[ticket]; found {
		o.endGrant(id, o.grants[id])
	}
	o.dispatch(now)
}

// Announce handles the grants that a router reports to hold: known ones are renewed, and those
// of earlier owners are adopted.
func (o *Owner) Announce(now time.Time, announcements []Announcement) {
	o.detectPause(now)
	for _, announced := range announcements {
		grant, known := o.grants[announced.Grant]
		if !known {
			grant = &activeGrant{holder: announced.Holder, upstream: announced.Upstream, work: announced.Work, decode: announced.Work, since: now, adopted: true}
			if e, found := o.engine(announced.Upstream); found {
				e.adopt(announced.Work)
			}
		}
		grant.expires = now.Add(o.settings.GrantTTL)
		o.grants[announced.Grant] = grant
	}
}

// Report applies an upstream's load report. If the report shows a restart, it returns the cause
// of the cold start, else an empty string.
func (o *Owner) Report(now time.Time, id fleet.UpstreamID, report fleet.LoadReport) ColdStartCause {
	o.detectPause(now)
	e, found := o.engine(id)
	if !found {
		return ""
	}
	o.estimateDecoded(now)
	restarted := e.report(now, report)
	o.dispatch(now)
	if !restarted {
		return ""
	}
	o.memory.removeUpstream(e)
	return e.ramp.cause
}

// Tick does the work that depends on time: it expires grants and stale reports, and grants or
// refuses waiting requests.
func (o *Owner) Tick(now time.Time) {
	o.detectPause(now)
	for id, grant := range o.grants {
		if now.After(grant.expires) {
			o.endGrant(id, grant)
		}
	}
	o.updateProgress(now)
	for _, e := range o.engines {
		e.expireReport(now)
	}
	o.dispatch(now)
}

// endGrant removes a grant and its load.
func (o *Owner) endGrant(id fleet.GrantID, grant *activeGrant) {
	delete(o.grants, id)
	if o.tickets[grant.ticket] == id {
		delete(o.tickets, grant.ticket)
	}
	if e, found := o.engine(grant.upstream); found {
		e.removeGrant(grant)
	}
}

// detectPause resets the owner after a gap between events that shows that the process was
// paused. The state is then stale, as other routers have granted meanwhile, so the owner starts
// again like a new one.
func (o *Owner) detectPause(now time.Time) {
	paused := !o.lastEvent.IsZero() && now.Sub(o.lastEvent) > MaxEventGap
	o.lastEvent = now
	if !paused {
		return
	}
	o.epoch++
	for ticket := range o.waiting {
		o.removeFromQueue(ticket)
		o.resolved = append(o.resolved, Decision{Ticket: ticket, Reason: "frozen", Refusal: fleet.Refuse(
			fleet.CodeOverloaded, "the shard's owner was suspended for longer than "+fmt.Sprint(MaxEventGap), minRetryAfter)})
	}
	o.grants = map[fleet.GrantID]*activeGrant{}
	o.tickets = map[admission.Ticket]fleet.GrantID{}
	for i, e := range o.engines {
		o.engines[i] = newEngine(now, e.Upstream, o.settings)
	}
}
