package admission

import (
	"sort"
	"time"

	"agateswitch/core/fleet"
)

// Ticket names one request for a grant. A router repeats it when it asks again, so that
// a repeated question is not a second request.
type Ticket struct {
	From  fleet.HostID
	Nonce uint64
}

// Waiter is a request that waits for its turn.
type Waiter struct {
	Ticket   Ticket
	Team     fleet.Team
	Work     fleet.Work
	Priority fleet.Priority
	// Share is the team's weight from its contract.
	Share float64
	Since time.Time
	// start is the virtual time at which the waiter's turn begins (Goyal, Vin and Cheng,
	// Start-time Fair Queuing, 1996).
	start float64
}

// FairQueue orders waiting requests: by priority first, and among equals by weighted fair
// queueing between teams, each by its share. Waiting raises the priority by one step each
// AgeStep, so that low priorities are not starved. It is not safe for concurrent use.
type FairQueue struct {
	ageStep time.Duration
	waiting []*Waiter
	virtual float64
	// finish is the virtual time at which a team's last request ends.
	finish map[fleet.Team]float64
}

// NewFairQueue makes an empty queue.
func NewFairQueue(ageStep time.Duration) *FairQueue {
	return &FairQueue{ageStep: ageStep, finish: map[fleet.Team]float64{}}
}

// Len returns how many requests wait.
func (q *FairQueue) Len() int { return len(q.waiting) }

// Push adds a request.
func (q *FairQueue) Push(waiter Waiter) {
	waiter.start = max(q.virtual, q.finish[waiter.Team])
	q.finish[waiter.Team] = waiter.start + cost(waiter)
	q.waiting = append(q.waiting, &waiter)
}

func cost(waiter Waiter) float64 {
	if waiter.Share <= 0 {
		return float64(waiter.Work)
	}
	return float64(waiter.Work) / waiter.Share
}

// Ordered returns the waiting requests, the next one first.
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

func (q *FairQueue) rank(now time.Time, waiter *Waiter) int {
	return int(waiter.Priority) + int(now.Sub(waiter.Since)/q.ageStep)
}

// Take removes a request that gets its turn, and moves the virtual time on.
func (q *FairQueue) Take(ticket Ticket) {
	if waiter, found := q.remove(ticket); found {
		q.virtual = max(q.virtual, waiter.start)
	}
}

// Drop removes a request that no longer waits. Its team's later requests keep their turn.
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
	q.finish[waiter.Team] -= cost(*waiter)
	q.forget(waiter.Team)
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

// reset starts a new busy period: teams that were ahead owe nothing for it.
func (q *FairQueue) reset() {
	q.virtual = 0
	clear(q.finish)
}

// forget drops the record of a team that owes nothing, which bounds memory.
func (q *FairQueue) forget(team fleet.Team) {
	if q.finish[team] <= q.virtual {
		delete(q.finish, team)
	}
}
