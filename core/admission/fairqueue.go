package admission

import (
	"sort"
	"time"

	"agateswitch/core/fleet"
)

// Ticket identifies one request for a grant. A router that repeats the request uses the same
// ticket, so that the request is queued once.
type Ticket struct {
	From  fleet.HostID
	Nonce uint64
}

// Waiter is a request in the queue.
type Waiter struct {
	Ticket   Ticket
	Team     fleet.Team
	Work     fleet.Work
	Priority fleet.Priority
	// Share is the team's weight from its contract.
	Share float64
	Since time.Time
	// start is the virtual start time of the request (Goyal, Vin and Cheng, Start-time Fair
	// Queuing, 1996).
	start float64
}

// FairQueue orders waiting requests by priority. Requests of equal priority are ordered by
// weighted fair queueing between teams, with each team's share as its weight. A request's
// priority rises by one after each agingInterval of waiting, which prevents starvation of low
// priorities. A FairQueue is not safe for concurrent use.
type FairQueue struct {
	agingInterval time.Duration
	waiting       []*Waiter
	virtualTime   float64
	// finishTimes holds the virtual finish time of each team's last request.
	finishTimes map[fleet.Team]float64
}

// NewFairQueue returns an empty queue.
func NewFairQueue(agingInterval time.Duration) *FairQueue {
	return &FairQueue{agingInterval: agingInterval, finishTimes: map[fleet.Team]float64{}}
}

// Len returns the number of waiting requests.
func (q *FairQueue) Len() int { return len(q.waiting) }

// Push adds a request.
func (q *FairQueue) Push(waiter Waiter) {
	waiter.start = max(q.virtualTime, q.finishTimes[waiter.Team])
	q.finishTimes[waiter.Team] = waiter.start + cost(waiter)
	q.waiting = append(q.waiting, &waiter)
}

// cost returns the virtual service time of a request: its work divided by its team's share.
func cost(waiter Waiter) float64 {
	if waiter.Share <= 0 {
		return float64(waiter.Work)
	}
	return float64(waiter.Work) / waiter.Share
}

// Ordered returns the waiting requests in the order in which they are served.
func (q *FairQueue) Ordered(now time.Time) []Waiter {
	sort.SliceStable(q.waiting, func(i, j int) bool {
		left, right := q.rank(now, q.waiting[i]), q.rank(now, q.waiting[j])
		if left != right {
			return left > right
		}
		return q.waiting[i].start < q.waiting[j].start
	})
	ordered := make([]Waiter, len(q.waiting))
	for i, waiter := range q.waiting {
		ordered[i] = *waiter
	}
	return ordered
}

// rank returns a request's priority, raised by its waiting time.
func (q *FairQueue) rank(now time.Time, waiter *Waiter) int {
	return int(waiter.Priority) + int(now.Sub(waiter.Since)/q.agingInterval)
}

// Serve removes a request that is served, and advances the virtual time.
func (q *FairQueue) Serve(ticket Ticket) {
	if waiter, found := q.remove(ticket); found {
		q.virtualTime = max(q.virtualTime, waiter.start)
	}
}

// Drop removes a request that was abandoned. Its team's later requests move up in its place.
func (q *FairQueue) Drop(ticket Ticket) {
	waiter, found := q.remove(ticket)
	if !found {
		return
	}
	for _, other := range q.waiting {
		if other.Team == waiter.Team && other.start > waiter.start {
			other.start -= cost(*waiter)
		}
	}
	q.finishTimes[waiter.Team] -= cost(*waiter)
	q.evict(waiter.Team)
}

func (q *FairQueue) remove(ticket Ticket) (*Waiter, bool) {
	for i, waiter := range q.waiting {
		if waiter.Ticket == ticket {
			q.waiting = append(q.waiting[:i], q.waiting[i+1:]...)
			if len(q.waiting) == 0 {
				q.reset()
			}
			return waiter, true
		}
	}
	return nil, false
}

// reset starts a new busy period, in which no team is charged for earlier service.
func (q *FairQueue) reset() {
	q.virtualTime = 0
	clear(q.finishTimes)
}

// evict removes the finish time of a team that is not ahead of the virtual time. This bounds
// memory.
func (q *FairQueue) evict(team fleet.Team) {
	if q.finishTimes[team] <= q.virtualTime {
		delete(q.finishTimes, team)
	}
}
