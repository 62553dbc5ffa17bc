package room

import (
	"fmt"
	"testing"
	"time"

	"agateswitch/core/fleet"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// pair is a pool of two upstreams with two places each.
var pair = []Slots{{Upstream: Upstream{ID: "a"}, Slots: 1}, {Upstream: Upstream{ID: "b"}, Slots: 1}}

func ask(number uint64, rank int, team fleet.Team) Request {
	return Request{
		Ticket: Ticket{Router: "r", Number: number}, Rank: rank, Team: team, Candidates: pair,
		Aim: 500 * time.Millisecond, Left: 2 * time.Second,
	}
}

// fill takes all places of the pair, with tickets from 1.
func fill(q *Queue) {
	for number := range uint64(4) {
		q.Take(start, ask(number+1, 0, "filler"))
	}
}

// Whatever is asked, returned, given up and refused by upstreams, in any order and at any time: no upstream has more places taken than
// it has, nobody waits while a place is free for them, and what is left, waits or is granted is known once.
func TestQueueKeepsPlacesAndLeavesNoneEmpty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pool := make([]Slots, rapid.IntRange(1, 4).Draw(t, "upstreams"))
		for i := range pool {
			pool[i] = Slots{Upstream: Upstream{ID: fleet.UpstreamID(fmt.Sprint("u", i))}, Slots: rapid.IntRange(1, 8).Draw(t, "slots")}
		}
		q, now := Queue{Limit: rapid.IntRange(0, 6).Draw(t, "limit")}, start
		held := map[Ticket]place{}
		turnedAway := false
		grant := func(ticket Ticket, upstream Upstream, until time.Time) {
			_, isHeld := held[ticket]
			must.False(t, isHeld)
			held[ticket] = place{upstream: upstream, until: until}
		}
		deadlines := map[Ticket]time.Time{}
		for number := range uint64(rapid.IntRange(1, 120).Draw(t, "steps")) {
			now = now.Add(time.Duration(rapid.IntRange(0, 80).Draw(t, "gap")) * time.Millisecond)
			ticket := Ticket{Router: "r", Number: uint64(rapid.IntRange(0, int(number)).Draw(t, "earlier"))}
			var grants []Grant
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				grants = q.Leave(now, ticket)
				delete(held, ticket)
			case 1:
				isRefusal := rapid.IntRange(0, 9).Draw(t, "turned away") == 0
				_, isHeld := held[ticket]
				turnedAway = turnedAway || isRefusal && isHeld
				grants = q.Return(now, ticket, isRefusal)
				delete(held, ticket)
			default:
				request := Request{
					Ticket: Ticket{Router: "r", Number: number}, Rank: rapid.IntRange(0, 2).Draw(t, "rank"),
					Team: fleet.Team(rapid.SampledFrom([]string{"x", "y"}).Draw(t, "team")), Candidates: pool[rapid.IntRange(0, len(pool)-1).Draw(t, "first"):],
					Aim: time.Duration(rapid.IntRange(0, 500).Draw(t, "aim")) * time.Millisecond, Left: time.Duration(rapid.IntRange(1, 2000).Draw(t, "left")) * time.Millisecond,
				}
				deadlines[request.Ticket] = now.Add(request.Left)
				var decision Decision
				decision, grants = q.Take(now, request)
				if decision.Outcome == OutcomeGranted {
					grant(request.Ticket, decision.Upstream, deadlines[request.Ticket])
				}
				must.True(t, decision.RetryAfter <= request.Left)
			}
			for _, g := range grants {
				grant(g.Ticket, g.Upstream, deadlines[g.Ticket])
			}
			taken := map[Upstream]int{}
			for ticket, p := range held {
				if now.Before(p.until) {
					taken[p.upstream]++
				} else {
					delete(held, ticket)
				}
			}
			must.Eq(t, len(held), q.InWork())
			for _, u := range pool {
				must.LessEq(t, u.Places(), taken[u.Upstream])
			}
			if q.Limit > 0 {
				must.LessEq(t, q.Limit, len(held))
			}
			must.LessEq(t, maxWaiting, q.Waiting())
			if q.Waiting() > 0 && !turnedAway && (q.Limit == 0 || len(held) < q.Limit) {
				for _, u := range q.waiting[0].Candidates {
					must.Eq(t, u.Places(), taken[u.Upstream])
				}
			}
		}
	})
}

func TestUrgentRequestsLeaveTheQueueFirst(t *testing.T) {
	var q Queue
	fill(&q)
	for number, rank := range []int{2, 1, 0, 1} {
		decision, _ := q.Take(start, ask(uint64(10+number), rank, "t"))
		must.Eq(t, OutcomeWaiting, decision.Outcome)
	}
	var order []uint64
	for number := range uint64(4) {
		for _, grant := range q.Return(start, Ticket{Router: "r", Number: number + 1}, false) {
			order = append(order, grant.Ticket.Number)
		}
	}
	must.Eq(t, []uint64{12, 11, 13, 10}, order)
}

// A team that had more than others lately is refused while there is still room in the queue for them.
func TestTeamWithMuchUseLeavesRoomInTheQueue(t *testing.T) {
	var q Queue
	fill(&q)
	number, refused := uint64(10), map[fleet.Team]int{}
	for range 100 {
		for _, team := range []fleet.Team{"filler", "filler", "filler", "small"} {
			number++
			if decision, _ := q.Take(start, ask(number, 0, team)); decision.Outcome == OutcomeRefused {
				refused[team]++
			}
			if number%4 == 0 {
				for ticket := range q.places {
					q.Return(start, ticket, false)
					break
				}
			}
		}
	}
	// A hundred places became free; the fair part of each is half of them.
	must.GreaterEq(t, 45, 100-refused["small"])
	must.GreaterEq(t, 45, 300-refused["filler"])
}

// What is less urgent is refused at once if more urgent requests take all that becomes free.
func TestLessUrgentRequestsAreNotLetInToWaitInVain(t *testing.T) {
	var q Queue
	now, number := start, uint64(0)
	for range 1000 {
		now, number = now.Add(10*time.Millisecond), number+1
		q.Take(now, ask(number, 0, "t"))
		if number > 4 {
			q.Return(now, Ticket{Router: "r", Number: number - 4}, false)
		}
	}
	decision, _ := q.Take(now, ask(1000, 1, "t"))
	must.Eq(t, OutcomeRefused, decision.Outcome)
}

// A request that can't meet its aim by waiting is refused at once, and callers who are refused come back one after the other.
func TestHopelessRequestsAreRefusedAtOnceAndComeBackOneByOne(t *testing.T) {
	var q Queue
	fill(&q)
	waiting, last := 0, time.Duration(0)
	for number := range uint64(60) {
		decision, _ := q.Take(start, ask(10+number, 0, "t"))
		if decision.Outcome == OutcomeWaiting {
			must.LessEq(t, decision.Patience, decision.Expected)
			waiting++
			continue
		}
		must.Eq(t, OutcomeRefused, decision.Outcome)
		must.Between(t, time.Millisecond, decision.RetryAfter, 2*time.Second/3)
		if last < 2*time.Second/3-2*unknownHoldTime && last > 0 {
			must.NotEq(t, last, decision.RetryAfter)
		}
		last = decision.RetryAfter
	}
	// 450 ms at four places of 50 ms.
	must.Eq(t, 36, waiting)
}

// A request that was given up before it arrived gets nothing.
func TestLateRequestOfACallerWhoLeftTakesNoPlace(t *testing.T) {
	var q Queue
	request := ask(1, 0, "t")
	q.Leave(start, request.Ticket)
	decision, _ := q.Take(start.Add(time.Second), request)
	must.Eq(t, OutcomeRefused, decision.Outcome)
	must.Zero(t, q.InWork())
}

func BenchmarkQueueDecision(b *testing.B) {
	var q Queue
	now := start
	pool := []Slots{{Upstream: Upstream{ID: "a"}, Slots: 6}, {Upstream: Upstream{ID: "b"}, Slots: 6}, {Upstream: Upstream{ID: "c"}, Slots: 6}}
	b.ReportAllocs()
	for number := uint64(0); b.Loop(); number++ {
		now = now.Add(2 * time.Millisecond)
		request := ask(number, 1, "t")
		request.Candidates = pool
		q.Take(now, request)
		if number >= 18 {
			q.Return(now, Ticket{Router: "r", Number: number - 18}, false)
		}
	}
}

// A caller who waits in vain is told a time before its own deadline, however late those are that were told to others.
func TestWaitInVainEndsWithATimeBeforeTheDeadline(t *testing.T) {
	var q Queue
	fill(&q)
	for number := range uint64(200) {
		q.Take(start, ask(10+number, 1, "t"))
	}
	hurried := ask(1000, 0, "t")
	hurried.Aim, hurried.Left = 0, 200*time.Millisecond
	decision, _ := q.Take(start, hurried)
	must.Eq(t, OutcomeWaiting, decision.Outcome)
	must.LessEq(t, hurried.Left-decision.Patience, decision.RetryAfter)
}
