package admission

import (
	"fmt"
	"testing"
	"time"

	"agateswitch/core/fleet"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// Teams that always have waiting requests are served in proportion to their shares, to within
// one request.
func TestFairQueueServesByShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewFairQueue(time.Second)
		shares := rapid.SliceOfN(rapid.IntRange(1, 4), 2, 4).Draw(t, "shares")
		const perTeam, work = 100, 10
		nonce := uint64(0)
		for team, share := range shares {
			for range perTeam {
				nonce++
				q.Push(Waiter{Ticket: Ticket{Nonce: nonce}, Team: fleet.Team(fmt.Sprint(team)), Work: work, Share: float64(share), Since: start})
			}
		}
		served := make([]float64, len(shares))
		for range perTeam {
			next := q.Ordered(start)[0]
			q.Serve(next.Ticket)
			var team int
			fmt.Sscan(string(next.Team), &team)
			served[team]++
		}
		for i := range shares {
			for j := range shares {
				difference := served[i]/float64(shares[i]) - served[j]/float64(shares[j])
				must.Between(t, -1.001, difference, 1.001)
			}
		}
	})
}

// A request of higher priority is served first, unless one of lower priority has waited one
// aging interval longer for each level of difference.
func TestFairQueueAges(t *testing.T) {
	q := NewFairQueue(time.Second)
	q.Push(Waiter{Ticket: Ticket{Nonce: 1}, Team: "low", Work: 1, Priority: 0, Since: start})
	now := start.Add(1500 * time.Millisecond)
	q.Push(Waiter{Ticket: Ticket{Nonce: 2}, Team: "high", Work: 1, Priority: 2, Since: now})
	must.Eq(t, 2, q.Ordered(now)[0].Ticket.Nonce)
	q.Push(Waiter{Ticket: Ticket{Nonce: 3}, Team: "high", Work: 1, Priority: 2, Since: start.Add(2500 * time.Millisecond)})
	q.Serve(Ticket{Nonce: 2})
	must.Eq(t, 1, q.Ordered(start.Add(2500 * time.Millisecond))[0].Ticket.Nonce)
}

// A team is not charged for waiting requests that were dropped.
func TestFairQueueDropRefundsTeam(t *testing.T) {
	q := NewFairQueue(time.Second)
	q.Push(Waiter{Ticket: Ticket{Nonce: 1}, Team: "other", Work: 5, Since: start})
	for nonce := uint64(10); nonce < 20; nonce++ {
		q.Push(Waiter{Ticket: Ticket{Nonce: nonce}, Team: "team", Work: 100, Since: start})
	}
	for nonce := uint64(10); nonce < 20; nonce++ {
		q.Drop(Ticket{Nonce: nonce})
	}
	q.Push(Waiter{Ticket: Ticket{Nonce: 2}, Team: "team", Work: 1, Since: start})
	q.Push(Waiter{Ticket: Ticket{Nonce: 3}, Team: "other", Work: 1, Since: start})
	must.Eq(t, []uint64{1, 2, 3}, nonces(q.Ordered(start)))
}

func nonces(waiters []Waiter) []uint64 {
	var list []uint64
	for _, waiter := range waiters {
		list = append(list, waiter.Ticket.Nonce)
	}
	return list
}
