package admission

import (
	"fmt"
	"testing"
	"time"

	"agateswitch/core/fleet"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// fleetModel is one team's budget and the routers that draw from it.
type fleetModel struct {
	now        time.Time
	limits     Limits
	budget     *Budget
	allowances []*Allowance
	// draws counts the messages to the budget's owner. admitted counts the admitted requests.
	draws, admitted int
}

func newFleetModel(routers int, limits Limits) *fleetModel {
	m := &fleetModel{now: start, limits: limits, budget: NewBudget(start, limits)}
	for i := range routers {
		m.allowances = append(m.allowances, NewAllowance(fleet.HostID(fmt.Sprint("router-", i)), limits))
	}
	return m
}

func (m *fleetModel) request(router int) Decision {
	allowance := m.allowances[router]
	allowance.RecordArrival(m.now)
	decision := allowance.Admit(m.now, false)
	if decision.Draw {
		m.draws++
		allowance.ApplyLoan(m.now, m.budget.Draw(m.now, allowance.DrawRequest()))
		decision = allowance.Admit(m.now, false)
	}
	if decision.Admitted {
		m.admitted++
	}
	return decision
}

func (m *fleetModel) running() int {
	sum := 0
	for _, allowance := range m.allowances {
		sum += allowance.running
	}
	return sum
}

// A team's concurrency reaches every router, even if callers retry at once after each refusal.
// Without turns, the routers that had slots first would keep them.
func TestConcurrencyReachesEveryRouter(t *testing.T) {
	for _, concurrency := range []int{1, 2, 8} {
		t.Run(fmt.Sprint(concurrency), func(t *testing.T) {
			const routers, steps, step, work = 3, 1200, 10 * time.Millisecond, 5
			m := newFleetModel(routers, Limits{Rate: 1e6, Burst: 1e6, Concurrency: concurrency})
			served := make([]int, routers)
			ends := map[int][]int{}
			for now := range steps {
				for _, router := range ends[now] {
					m.allowances[router].Release()
				}
				for router := range routers {
					for range 2 * concurrency {
						if m.request(router).Admitted {
							served[router]++
							ends[now+work] = append(ends[now+work], router)
						}
					}
				}
				must.LessEq(t, concurrency, m.running())
				m.now = m.now.Add(step)
			}
			fair := steps / work * concurrency / routers
			for router := range routers {
				must.GreaterEq(t, fair/3, served[router], must.Sprint(served))
			}
		})
	}
}

// Fleet-wide, a team never exceeds its burst plus its rate, nor its concurrency, for any
// distribution of its requests over the routers and any change of the budget's owner.
func TestTeamStaysWithinItsContract(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{
			Rate: float64(rapid.IntRange(1, 200).Draw(t, "rate")), Burst: rapid.IntRange(1, 100).Draw(t, "burst"),
			Concurrency: rapid.IntRange(0, 30).Draw(t, "concurrency"),
		}
		m := newFleetModel(rapid.IntRange(1, 12).Draw(t, "routers"), limits)
		allowed := float64(limits.Burst)
		t.Repeat(map[string]func(*rapid.T){
			"surge": func(t *rapid.T) {
				router := rapid.IntRange(0, len(m.allowances)-1).Draw(t, "router")
				for range rapid.IntRange(1, 30).Draw(t, "requests") {
					decision := m.request(router)
					if decision.Admitted {
						continue
					}
					must.Eq(t, fleet.CodeRateLimited, decision.Refusal.Code)
					must.Positive(t, decision.Refusal.RetryAfter)
				}
			},
			"end": func(t *rapid.T) {
				allowance := m.allowances[rapid.IntRange(0, len(m.allowances)-1).Draw(t, "router")]
				allowance.Release()
			},
			"time": func(t *rapid.T) {
				passed := time.Duration(rapid.IntRange(1, 900).Draw(t, "milliseconds")) * time.Millisecond
				m.now = m.now.Add(passed)
				allowed += limits.Rate * passed.Seconds()
			},
			"new owner": func(t *rapid.T) {
				m.budget = NewBudget(m.now, limits)
				allowed += max(1, limits.Rate*initialFillDuration.Seconds())
				for _, allowance := range m.allowances {
					m.budget.Draw(m.now, allowance.Renewal())
				}
			},
			"renewal": func(t *rapid.T) {
				allowance := m.allowances[rapid.IntRange(0, len(m.allowances)-1).Draw(t, "router")]
				m.budget.Draw(m.now, allowance.Renewal())
			},
			"": func(t *rapid.T) {
				if float64(m.admitted) > allowed+1e-6 {
					t.Fatalf("%d admitted, the contract allows %.1f", m.admitted, allowed)
				}
				if limits.Concurrency > 0 && m.running() > limits.Concurrency {
					t.Fatalf("%d running, the contract allows %d", m.running(), limits.Concurrency)
				}
			},
		})
	})
}

// A team within its rate is never refused, although each router sees only a small part of its
// requests.
func TestTeamWithinItsRateIsAdmitted(t *testing.T) {
	const routers, rate, seconds = 40, 100, 20
	m := newFleetModel(routers, Limits{Rate: rate, Burst: 2 * rate})
	m.now = m.now.Add(second)
	for i := range seconds * rate * 9 / 10 {
		m.now = m.now.Add(second * 10 / (rate * 9))
		must.True(t, m.request((i*7)%routers).Admitted, must.Sprint("request ", i))
	}
}

const second = time.Second

// During a surge the routers do not flood the budget's owner: there is about one draw per
// drawSpacing plus one per admitted request.
func TestSurgeBoundsDraws(t *testing.T) {
	const routers, rate, seconds = 380, 10, 10
	m := newFleetModel(routers, Limits{Rate: rate, Burst: rate})
	const perSecond = 5000
	for i := range perSecond * seconds {
		m.now = m.now.Add(second / perSecond)
		m.request((i * 7) % routers)
	}
	limit := routers + m.admitted + seconds*int(second/drawSpacing)
	must.LessEq(t, limit, m.draws)
	must.GreaterEq(t, rate*seconds*8/10, m.admitted)
}

// While the budget's owner is unreachable, all routers together stay within the team's rate.
func TestUnreachableOwnerBoundsAdmission(t *testing.T) {
	const routers, rate, seconds = 10, 50, 10
	m := newFleetModel(routers, Limits{Rate: rate, Burst: rate})
	for range seconds * 1000 {
		m.now = m.now.Add(time.Millisecond)
		for _, allowance := range m.allowances {
			decision := allowance.Admit(m.now, false)
			if decision.Draw {
				allowance.ApplyFallback(m.now, routers)
				decision = allowance.Admit(m.now, false)
			}
			if decision.Admitted {
				m.admitted++
			}
		}
	}
	must.Between(t, rate*seconds*8/10, m.admitted, rate*(seconds+1))
}
