package room

import (
	"math"
	"slices"
	"time"

	"agateswitch/core/fleet"
)

const (
	// transitShare is the part of an upstream's slots by which its places pass them. A place is also held while the permission, the
	// request and its return are under way, when its slot is free. On busy hosts that takes as long as short work.
	transitShare = 1.0
	// leastTeamShare is the least part of its patience that a request of a team with much use keeps, and teamSlack by how many grants
	// of the last seconds a team may pass the mean before it keeps less than all of it.
	leastTeamShare = 0.25
	teamSlack      = 2
	// maxWaiting bounds the requests that wait for one pool.
	maxWaiting = 256
	// unknownHoldTime is assumed for how long a place is held until some were returned, and holdWeight is the weight of each return in
	// the mean.
	unknownHoldTime = 50 * time.Millisecond
	holdWeight      = 0.1
	// usageHalfLife is the time in which a team's grants lose half of their weight in the order of its requests.
	usageHalfLife = time.Second
	// leftTime is how long a ticket that was given up is remembered: a request for it may still be under way.
	leftTime = 5 * time.Second
	// returnShare is the part of the rate at which places become free that is set aside for callers who were refused.
	returnShare = 0.25
	// maxReturnShare is the part of a request's time left that its caller is asked to wait at most.
	maxReturnShare = 1.0 / 3
)

// Upstream is one incarnation of an upstream.
type Upstream struct {
	ID          fleet.UpstreamID
	Incarnation int64
}

// Slots is an upstream that may get a request, and the number of requests that it runs concurrently.
type Slots struct {
	Upstream Upstream
	Slots    int
}

// Places returns how many places an upstream has: its slots, and those for requests that are under way.
func (s Slots) Places() int { return s.Slots + int(math.Ceil(float64(s.Slots)*transitShare)) }

// Ticket identifies a request for a place. Each router numbers its own.
type Ticket struct {
	Router fleet.HostID
	Number uint64
}

// Request asks for a place on one of several upstreams of a pool.
type Request struct {
	Ticket Ticket
	// Rank is the request's urgency; 0 is the most urgent.
	Rank int
	Team fleet.Team
	// Aim is the time left in which it should be answered, and Left the time until its deadline.
	Aim, Left time.Duration
	// Candidates are the upstreams that may get the request.
	Candidates []Slots
}

// Outcome is what a queue decides on a request.
type Outcome string

// Outcomes of requests for a place.
const (
	// OutcomeGranted means that the request has a place on Decision.Upstream.
	OutcomeGranted Outcome = "granted"
	// OutcomeWaiting means that it waits for at most Decision.Patience.
	OutcomeWaiting Outcome = "waiting"
	// OutcomeRefused means that a place would be free too late. The caller should come back after Decision.RetryAfter.
	OutcomeRefused Outcome = "refused"
)

// Decision is the decision on one request.
type Decision struct {
	Outcome  Outcome
	Upstream Upstream
	// Expected is the expected time until a place is free. RetryAfter is for a caller who is refused, also after Patience has passed.
	Expected, Patience, RetryAfter time.Duration
}

// Grant is a place for a request that has waited. Its router takes it up until Until, if at all.
type Grant struct {
	Ticket   Ticket
	Upstream Upstream
	Until    time.Time
}

// Queue holds the places of a small pool's upstreams and the requests that wait for one. It answers a load of short requests from
// many routers on a few slots: no router sees enough of them to know which slots are free. The zero value is ready. It is not safe
// for concurrent use.
type Queue struct {
	// Limit is how many places may be taken together; 0 means no other limit than those of the upstreams.
	Limit int

	rooms   map[Upstream]*Room
	places  map[Ticket]place
	waiting []*waiter
	left    map[Ticket]time.Time
	usage   map[fleet.Team]usage
	// admitted counts the requests that were let in lately, by rank.
	admitted map[int]usage
	// hold is the mean time for which a place is held, and spread the mean distance from it.
	hold, spread time.Duration
	// nextReturn is when the next caller who is refused should come back.
	nextReturn time.Time
}

type place struct {
	upstream Upstream
	number   uint64
	slots    int
	at       time.Time
	until    time.Time
}

type waiter struct {
	Request
	// aimAt is when the request should be answered, until when it is given up, and deadline its deadline.
	aimAt, until, deadline time.Time
}

// usage is a decaying number of grants.
type usage struct {
	grants float64
	at     time.Time
}

func (u usage) now(now time.Time) float64 {
	return u.grants * math.Exp2(-now.Sub(u.at).Seconds()/usageHalfLife.Seconds())
}

// perSecond returns the rate of events, given their decaying number.
func (u usage) perSecond(now time.Time) float64 {
	return u.now(now) * math.Ln2 / usageHalfLife.Seconds()
}

// Take decides on a request, and returns the grants to others that this has brought about.
func (q *Queue) Take(now time.Time, request Request) (Decision, []Grant) {
	q.expire(now)
	if _, hasLeft := q.left[request.Ticket]; hasLeft {
		delete(q.left, request.Ticket)
		return Decision{Outcome: OutcomeRefused}, nil
	}
	w := &waiter{Request: request, aimAt: now.Add(request.Aim), deadline: now.Add(request.Left)}
	patience := q.patience(request)
	w.until = now.Add(patience)
	expected := q.expectedWait(now, w)
	if float64(expected) > float64(patience)*q.teamShare(now, request.Team) || len(q.waiting) >= maxWaiting {
		return Decision{Outcome: OutcomeRefused, Expected: expected, RetryAfter: q.retryAfter(now, request)}, q.dispatch(now)
	}
	q.admitted[request.Rank] = usage{grants: q.admitted[request.Rank].now(now) + 1, at: now}
	q.waiting = append(q.waiting, w)
	grants := q.dispatch(now)
	for i, grant := range grants {
		if grant.Ticket == request.Ticket {
			return Decision{Outcome: OutcomeGranted, Upstream: grant.Upstream}, slices.Delete(grants, i, i+1)
		}
	}
	longest := time.Duration(float64(request.Left-patience) * maxReturnShare)
	return Decision{Outcome: OutcomeWaiting, Expected: expected, Patience: patience, RetryAfter: min(max(q.holdTime(), q.nextReturn.Sub(now)), longest)}, grants
}

// teamShare is the part of their patience that a team's requests keep: less for one that had more than the mean of all teams lately.
// While there is room nobody waits, and each team gets all that it asks for.
func (q *Queue) teamShare(now time.Time, team fleet.Team) float64 {
	mean := 0.0
	for _, u := range q.usage {
		mean += u.now(now) / float64(len(q.usage))
	}
	return min(1, max(leastTeamShare, (mean+teamSlack)/max(1, q.usage[team].now(now))))
}

// Return gives a place back. turnedAway is true if the upstream has turned the request away for want of room.
func (q *Queue) Return(now time.Time, ticket Ticket, turnedAway bool) []Grant {
	q.expire(now)
	if p, found := q.places[ticket]; found {
		delete(q.places, ticket)
		q.room(p.upstream).Return(now, p.number)
		if turnedAway {
			q.room(p.upstream).TurnedAway(now, p.slots)
		} else {
			distance := now.Sub(p.at) - q.holdTime()
			q.hold += time.Duration(holdWeight * float64(distance))
			q.spread += time.Duration(holdWeight * float64(distance.Abs()-q.spread))
		}
	}
	return q.dispatch(now)
}

// Leave gives up a request, whether it waits, has a place that was not used, or is still to arrive.
func (q *Queue) Leave(now time.Time, ticket Ticket) []Grant {
	q.expire(now)
	count := len(q.waiting)
	q.waiting = slices.DeleteFunc(q.waiting, func(w *waiter) bool { return w.Ticket == ticket })
	if p, found := q.places[ticket]; found {
		delete(q.places, ticket)
		q.room(p.upstream).Return(now, p.number)
	} else if count == len(q.waiting) && len(q.left) < maxWaiting {
		q.left[ticket] = now.Add(leftTime)
	}
	return q.dispatch(now)
}

// InWork and Waiting return how many places are taken, and how many requests wait.
func (q *Queue) InWork() int  { return len(q.places) }
func (q *Queue) Waiting() int { return len(q.waiting) }

// holdTime returns the expected time for which a place is held.
func (q *Queue) holdTime() time.Duration {
	if q.hold <= 0 {
		q.hold = unknownHoldTime
	}
	return q.hold
}

// patience is how long a request may wait: so long that it mostly meets its aim, or, if the work takes most of that, for as long as
// the work.
func (q *Queue) patience(request Request) time.Duration {
	hold := q.holdTime()
	return max(0, min(max(request.Aim-hold-q.spread, hold), request.Left-hold))
}

// expectedWait returns the expected time until a place is free for a request that is not in the queue. More urgent ones that come
// meanwhile go before it.
func (q *Queue) expectedWait(now time.Time, w *waiter) time.Duration {
	ahead, free, places := 0, 0, 0
	for _, other := range q.waiting {
		if !w.isBefore(other) {
			ahead++
		}
	}
	for _, candidate := range w.Candidates {
		free += q.free(now, candidate)
		places += candidate.Places()
	}
	if q.Limit > 0 {
		places = min(places, q.Limit)
		free = min(free, q.Limit-len(q.places))
	}
	if places <= 0 {
		return math.MaxInt64
	}
	if free > ahead {
		return 0
	}
	perPlace := q.holdTime().Seconds() / float64(places)
	urgent := 0.0
	for rank, u := range q.admitted {
		if rank < w.Rank {
			urgent += u.perSecond(now) * perPlace
		}
	}
	if urgent >= 1 {
		return math.MaxInt64
	}
	return time.Duration(float64(ahead+1-free) * perPlace / (1 - urgent) * float64(time.Second))
}

// retryAfter returns when a caller who is refused should come back. Callers get successive times at the rate that is set aside for
// them, so that they don't come back together.
func (q *Queue) retryAfter(now time.Time, request Request) time.Duration {
	places := 0
	for _, candidate := range request.Candidates {
		places += candidate.Places()
	}
	gap := float64(q.holdTime()) / max(1, float64(places)*returnShare)
	first := now.Add(time.Duration(float64(len(q.waiting)+1) * float64(q.holdTime()) / max(1, float64(places))))
	if q.nextReturn.Before(first) {
		q.nextReturn = first
	}
	q.nextReturn = q.nextReturn.Add(time.Duration(gap))
	longest := time.Duration(float64(request.Left) * maxReturnShare)
	if latest := now.Add(longest); q.nextReturn.After(latest) {
		// The times begin again at half of the longest one.
		q.nextReturn = now.Add(longest / 2)
	}
	return max(0, q.nextReturn.Sub(now))
}

// dispatch grants free places to waiting requests in order.
func (q *Queue) dispatch(now time.Time) []Grant {
	var grants []Grant
	for {
		next, target := -1, Slots{}
		for i, w := range q.waiting {
			if next >= 0 && !w.isBefore(q.waiting[next]) {
				continue
			}
			if candidate, found := q.freest(now, w.Candidates); found {
				next, target = i, candidate
			}
		}
		if next < 0 {
			return grants
		}
		w := q.waiting[next]
		q.waiting = slices.Delete(q.waiting, next, next+1)
		q.grant(now, w, target)
		grants = append(grants, Grant{Ticket: w.Ticket, Upstream: target.Upstream, Until: w.until})
	}
}

func (q *Queue) grant(now time.Time, w *waiter, target Slots) {
	need := q.need(target)
	need.Lasts = w.deadline.Sub(now)
	number, _ := q.room(target.Upstream).Take(now, need)
	q.places[w.Ticket] = place{upstream: target.Upstream, number: number, slots: need.Slots, at: now, until: w.deadline}
	q.usage[w.Team] = usage{grants: q.usage[w.Team].now(now) + 1, at: now}
}

// freest returns the candidate with the largest part of its places free.
func (q *Queue) freest(now time.Time, candidates []Slots) (best Slots, found bool) {
	if q.Limit > 0 && len(q.places) >= q.Limit {
		return Slots{}, false
	}
	largest := 0.0
	for _, candidate := range candidates {
		if part := float64(q.free(now, candidate)) / float64(max(1, candidate.Places())); part > largest {
			best, largest, found = candidate, part, true
		}
	}
	return best, found
}

func (q *Queue) free(now time.Time, candidate Slots) int {
	return q.room(candidate.Upstream).Free(now, q.need(candidate))
}

// need returns what each request needs of an upstream. The number that it turns away lowers the bound only.
func (q *Queue) need(candidate Slots) Need {
	return Need{Slots: candidate.Places(), PerSecond: math.MaxInt32}
}

func (q *Queue) room(upstream Upstream) *Room {
	kept, found := q.rooms[upstream]
	if !found {
		kept = &Room{}
		q.rooms[upstream] = kept
	}
	return kept
}

// isBefore reports whether w goes before another: by urgency, then by the time of the aim.
func (w *waiter) isBefore(other *waiter) bool {
	if w.Rank != other.Rank {
		return w.Rank < other.Rank
	}
	return w.aimAt.Before(other.aimAt)
}

// expire drops what has run out.
func (q *Queue) expire(now time.Time) {
	if q.places == nil {
		q.rooms, q.places = map[Upstream]*Room{}, map[Ticket]place{}
		q.left, q.usage, q.admitted = map[Ticket]time.Time{}, map[fleet.Team]usage{}, map[int]usage{}
	}
	for ticket, p := range q.places {
		if !now.Before(p.until) {
			delete(q.places, ticket)
		}
	}
	for ticket, until := range q.left {
		if !now.Before(until) {
			delete(q.left, ticket)
		}
	}
	for team, u := range q.usage {
		if u.now(now) < 0.01 {
			delete(q.usage, team)
		}
	}
	q.waiting = slices.DeleteFunc(q.waiting, func(w *waiter) bool { return !now.Before(w.until) })
	for upstream, r := range q.rooms {
		if r.IsIdle(now) {
			delete(q.rooms, upstream)
		}
	}
}
