package placement

import (
	"fmt"
	"time"

	"agateswitch/core/admission"
	"agateswitch/core/fleet"
	"agateswitch/core/rendezvous"
)

// waiting is a request in the queue.
type waiting struct {
	request Request
	since   time.Time
	// asked is when its router last asked for it.
	asked time.Time
}

// enqueue lets a request wait for its turn, or refuses it at once when that is hopeless.
func (o *Owner) enqueue(now time.Time, request Request) Decision {
	if refusal := o.refuseUnservable(request); refusal != nil {
		return *refusal
	}
	if o.queue.Len() >= maxWaiters {
		return o.refuseWait(request, o.expectedWait(o.queue.Len()), "the shard's queue is full")
	}
	entry := &waiting{request: request, since: now, asked: now}
	o.waiting[request.Ticket] = entry
	o.queue.Push(admission.Waiter{
		Ticket: request.Ticket, Team: request.Team, Work: request.Prefill + request.Decode,
		Priority: request.Priority, Share: request.Share, Since: now,
	})
	o.dispatch(now)
	if _, stillWaiting := o.waiting[request.Ticket]; stillWaiting {
		return Decision{Ticket: request.Ticket, Waiting: true, Reason: "waiting"}
	}
	return o.takeResolved(request.Ticket)
}

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

// takeResolved removes one decision from those that wait to be read.
func (o *Owner) takeResolved(ticket admission.Ticket) Decision {
	for i, decision := range o.resolved {
		if decision.Ticket == ticket {
			o.resolved = append(o.resolved[:i], o.resolved[i+1:]...)
			return decision
		}
	}
	panic("placement: a request left the queue without a decision")
}

// Resolved returns the decisions on requests that waited, since the last call.
func (o *Owner) Resolved() []Decision {
	resolved := o.resolved
	o.resolved = nil
	return resolved
}

// dispatch gives waiting requests their turn, and refuses those that cannot be in time.
func (o *Owner) dispatch(now time.Time) {
	if o.queue.Len() == 0 {
		return
	}
	ahead := 0
	for _, waiter := range o.queue.Ordered(now) {
		entry := o.waiting[waiter.Ticket]
		if now.Sub(entry.asked) > WaiterLife {
			o.resolve(Decision{Ticket: waiter.Ticket, Reason: "its router stopped asking", Refusal: fleet.Refuse(
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
		if now.Add(wait + o.progress.firstToken).After(entry.request.due(entry.since)) {
			if o.placeElsewhere(now, entry) {
				continue
			}
			o.resolve(o.refuseWait(entry.request, wait, "every upstream of the shard is at its limit"))
			continue
		}
		ahead++
	}
}

// placeElsewhere ends the wait for a warm upstream of a request that would else be late.
func (o *Owner) placeElsewhere(now time.Time, entry *waiting) bool {
	if !now.Before(entry.request.warmUntil) {
		return false
	}
	entry.request.warmUntil = time.Time{}
	decision, placed := o.place(now, entry.request)
	if !placed {
		return false
	}
	o.queue.Serve(decision.Ticket)
	delete(o.waiting, decision.Ticket)
	o.resolved = append(o.resolved, decision)
	return true
}

// resolve takes a request out of the queue with a refusal.
func (o *Owner) resolve(decision Decision) {
	o.leaveQueue(decision.Ticket)
	o.resolved = append(o.resolved, decision)
}

func (o *Owner) leaveQueue(ticket admission.Ticket) {
	o.queue.Drop(ticket)
	delete(o.waiting, ticket)
}

// expectedWait estimates the time until a request gets its turn that has a number of others
// ahead: running requests end at the rate of their number divided by their mean time.
func (o *Owner) expectedWait(ahead int) time.Duration {
	service := o.service
	if service == 0 {
		service = defaultService
	}
	running := 0
	for _, e := range o.engines {
		running += e.busy()
	}
	return time.Duration(ahead+1) * service / time.Duration(max(1, running))
}

// refuseWait refuses a request because of its expected wait. The time to come back carries
// jitter, so that callers refused together do not come back together.
func (o *Owner) refuseWait(request Request, wait time.Duration, cause string) Decision {
	jitter := float64(rendezvous.Mix(request.Ticket.Nonce, request.Chat)>>11) / (1 << 53)
	retryAfter := time.Duration(float64(wait) * (1 + jitterFraction*jitter))
	retryAfter = min(max(retryAfter, minRetryAfter), maxRetryAfter)
	message := fmt.Sprintf("%s and the expected wait of %s passes the deadline", cause, wait.Round(time.Millisecond))
	return Decision{Ticket: request.Ticket, Reason: message,
		Refusal: fleet.Refuse(fleet.CodeOverloaded, message, retryAfter)}
}
