package placement

import (
	"fmt"
	"time"

	"agateswitch/core/admission"
	"agateswitch/core/fleet"
	"agateswitch/core/rendezvous"
)

// waitingRequest is a request in the queue.
type waitingRequest struct {
	request Request
	since   time.Time
	// lastPolled is when its router last sent the request.
	lastPolled time.Time
}

// enqueue adds a request to the queue, or refuses it at once if it cannot start in time.
func (o *Owner) enqueue(now time.Time, request Request) Decision {
	if refusal := o.refuseUnservable(request); refusal != nil {
		return *refusal
	}
	if o.queue.Len() >= maxWaiters {
		return o.refuseForWait(request, o.expectedWait(o.queue.Len()), "the shard's queue is full")
	}
	entry := &waitingRequest{request: request, since: now, lastPolled: now}
	o.waiting[request.Ticket] = entry
	o.queue.Push(admission.Waiter{
		Ticket: request.Ticket, Team: request.Team, Work: request.Prefill + request.Decode,
		Priority: request.Priority, Share: request.Share, Since: now,
	})
	o.dispatch(now)
	if _, stillWaiting := o.waiting[request.Ticket]; stillWaiting {
		return Decision{Ticket: request.Ticket, Waiting: true, Reason: "waiting"}
	}
	return o.popResolved(request.Ticket)
}

// refuseUnservable returns a refusal if the request may run on no upstream of the shard, else nil.
func (o *Owner) refuseUnservable(request Request) *Decision {
	for _, e := range o.engines {
		if request.allows(e.Upstream) {
			return nil
		}
	}
	message := "no upstream of the shard takes new work"
	if len(o.engines) > 0 {
		message = fmt.Sprintf("no upstream of the shard has version %q and has not failed this request", request.Version)
	}
	return &Decision{Ticket: request.Ticket, Reason: message,
		Refusal: fleet.Refuse(fleet.CodeNoUpstream, message, time.Second)}
}

// popResolved removes and returns the decision on one request.
func (o *Owner) popResolved(ticket admission.Ticket) Decision {
	for i, decision := range o.resolved {
		if decision.Ticket == ticket {
			o.resolved = append(o.resolved[:i], o.resolved[i+1:]...)
			return decision
		}
	}
	panic("placement: a request was removed from the queue without a decision")
}

// Resolved returns the decisions on waiting requests since the last call.
func (o *Owner) Resolved() []Decision {
	resolved := o.resolved
	o.resolved = nil
	return resolved
}

// dispatch grants waiting requests in queue order, and refuses those that cannot start in time
// or whose router has stopped polling.
func (o *Owner) dispatch(now time.Time) {
	if o.queue.Len() == 0 {
		return
	}
	ahead := 0
	for _, waiter := range o.queue.Ordered(now) {
		entry := o.waiting[waiter.Ticket]
		if now.Sub(entry.lastPolled) > WaiterTimeout {
			o.refuseWaiting(Decision{Ticket: waiter.Ticket, Reason: "its router stopped asking", Refusal: fleet.Refuse(
				fleet.CodeDeadline, "the request's router stopped asking", minRetryAfter)})
			continue
		}
		if decision, placed := o.place(now, entry.request); placed {
			o.queue.Serve(waiter.Ticket)
			delete(o.waiting, waiter.Ticket)
			o.resolved = append(o.resolved, decision)
			continue
		}
		wait := o.expectedWait(ahead)
		if now.Add(wait + o.progress.firstToken).After(entry.request.latestStart(entry.since)) {
			if o.placeElsewhere(now, entry) {
				continue
			}
			o.refuseWaiting(o.refuseForWait(entry.request, wait, "every upstream of the shard is at its limit"))
			continue
		}
		ahead++
	}
}

// placeElsewhere ends a request's wait for a warm upstream and places it on any upstream, as it
// would otherwise miss its deadline.
func (o *Owner) placeElsewhere(now time.Time, entry *waitingRequest) bool {
	if !now.Before(entry.request.warmWaitUntil) {
		return false
	}
	entry.request.warmWaitUntil = time.Time{}
	decision, placed := o.place(now, entry.request)
	if !placed {
		return false
	}
	o.queue.Serve(decision.Ticket)
	delete(o.waiting, decision.Ticket)
	o.resolved = append(o.resolved, decision)
	return true
}

// refuseWaiting removes a request from the queue and records its refusal.
func (o *Owner) refuseWaiting(decision Decision) {
	o.removeFromQueue(decision.Ticket)
	o.resolved = append(o.resolved, decision)
}

func (o *Owner) removeFromQueue(ticket admission.Ticket) {
	o.queue.Drop(ticket)
	delete(o.waiting, ticket)
}

// expectedWait estimates how long a request waits in the queue behind a number of others.
// Running requests end at the rate of their number divided by their mean service time.
func (o *Owner) expectedWait(ahead int) time.Duration {
	serviceTime := o.serviceTime
	if serviceTime == 0 {
		serviceTime = defaultServiceTime
	}
	running := 0
	for _, e := range o.engines {
		running += e.totalRunning()
	}
	return time.Duration(ahead+1) * serviceTime / time.Duration(max(1, running))
}

// refuseForWait refuses a request because of its expected wait. The retry delay has jitter, so
// that callers refused at the same time do not retry at the same time.
func (o *Owner) refuseForWait(request Request, wait time.Duration, cause string) Decision {
	jitter := float64(rendezvous.Mix(request.Ticket.Nonce, request.Chat)>>11) / (1 << 53)
	retryAfter := time.Duration(float64(wait) * (1 + jitterFraction*jitter))
	retryAfter = min(max(retryAfter, minRetryAfter), maxRetryAfter)
	message := fmt.Sprintf("%s and the expected wait of %s passes the deadline", cause, wait.Round(time.Millisecond))
	return Decision{Ticket: request.Ticket, Reason: message,
		Refusal: fleet.Refuse(fleet.CodeOverloaded, message, retryAfter)}
}
