package grants

import (
	"context"
	"fmt"
	"sync"
	"time"

	"agateswitch/core/admission"
	"agateswitch/core/configuration"
	"agateswitch/core/fleet"
	"agateswitch/port"
)

// renewInterval is the time between renewals of lent concurrency.
const renewInterval = admission.SlotTTL / 3

// team is what this router may admit of one team.
type team struct {
	// drawing has room for the one draw that may be under way. A channel lets a caller that
	// goes away stop waiting for it.
	drawing chan struct{}

	// mu guards the fields below. It is never held during a call.
	mu        sync.Mutex
	allowance *admission.Allowance
	owner     fleet.HostID
	renewed   time.Time
}

// teams holds the allowances of the teams that use this router. It is safe for concurrent use.
type teams struct {
	self fleet.HostID
	mu   sync.Mutex
	all  map[fleet.Team]*team
}

func newTeams(self fleet.HostID) *teams {
	return &teams{self: self, all: map[fleet.Team]*team{}}
}

func (t *teams) get(name fleet.Team, limits admission.Limits) *team {
	t.mu.Lock()
	defer t.mu.Unlock()
	known, found := t.all[name]
	if !found {
		known = &team{drawing: make(chan struct{}, 1), allowance: admission.NewAllowance(t.self, limits)}
		t.all[name] = known
	}
	return known
}

func (t *teams) leave(name fleet.Team) {
	t.mu.Lock()
	known, found := t.all[name]
	t.mu.Unlock()
	if found {
		known.mu.Lock()
		known.allowance.Release()
		known.mu.Unlock()
	}
}

func limitsOf(contract configuration.Contract) admission.Limits {
	return admission.Limits{Rate: contract.RequestsPerSecond, Burst: contract.Burst, Concurrency: contract.Concurrency}
}

// admit checks a request against its team's contract.
func (s *Service) admit(ctx context.Context, request fleet.Request) *fleet.Refusal {
	contract, found := s.config.Current().Contract(request.Team)
	if !found {
		return fleet.Refuse(fleet.CodeForbidden, "the team has no contract", 0)
	}
	known := s.teams.get(request.Team, limitsOf(contract))
	retry := len(request.Exclude) > 0
	verdict := known.admit(time.Now(), limitsOf(contract), retry, true)
	if verdict.Admitted || !verdict.Draw {
		return verdict.Refusal
	}
	select {
	case known.drawing <- struct{}{}:
		defer func() { <-known.drawing }()
	case <-ctx.Done():
		return fleet.Refuse(fleet.CodeDeadline, "the caller went away or its time ran out", 0)
	}
	// A draw that was under way may have brought what is missing.
	verdict = known.admit(time.Now(), limitsOf(contract), retry, false)
	if verdict.Admitted || !verdict.Draw {
		return verdict.Refusal
	}
	s.draw(ctx, request.Team, known)
	return known.admit(time.Now(), limitsOf(contract), retry, false).Refusal
}

func (t *team) admit(now time.Time, limits admission.Limits, retry, arrives bool) admission.Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.allowance.SetLimits(limits)
	if arrives {
		t.allowance.RecordArrival(now)
	}
	return t.allowance.Admit(now, retry)
}

// draw asks the team's budget owner for tokens and slots.
func (s *Service) draw(ctx context.Context, name fleet.Team, known *team) {
	known.mu.Lock()
	ask := known.allowance.DrawRequest()
	known.mu.Unlock()
	owner := s.routes.budgetOwner(time.Now(), name)
	var reply budgetReply
	err := s.call(ctx, owner, methodBudget, budgetMessage{Asks: []askMessage{encodeAsk(name, ask)}}, &reply)
	now := time.Now()
	known.mu.Lock()
	defer known.mu.Unlock()
	if err != nil || len(reply.Lent) != 1 {
		known.allowance.ApplyFallback(now, len(s.members.Routers()))
		s.telemetry.Log.Warn("budget owner unreachable, going on with a share", "team", name, "owner", owner, "err", err)
		return
	}
	known.allowance.ApplyLoan(now, reply.Lent[0].decode())
	known.owner, known.renewed = owner, now
}

// renewTeams keeps lent concurrency alive, and tells a new budget owner what runs. Teams
// with the same owner share a message. Idle teams are forgotten.
func (s *Service) renewTeams(ctx context.Context, now time.Time) {
	messages := map[fleet.HostID]*budgetMessage{}
	s.teams.mu.Lock()
	for name, known := range s.teams.all {
		known.mu.Lock()
		if known.allowance.IsIdle(now) {
			delete(s.teams.all, name)
			known.mu.Unlock()
			continue
		}
		if known.allowance.NeedsRenewal() {
			s.addRenewal(now, name, known, messages)
		}
		known.mu.Unlock()
	}
	s.teams.mu.Unlock()
	for owner, message := range messages {
		// The answer changes nothing: the next draw brings new slots.
		go s.call(ctx, owner, methodBudget, *message, &budgetReply{})
	}
}

// addRenewal adds a team's renewal to the message for its budget owner, if it is due. The
// team's lock is held.
func (s *Service) addRenewal(now time.Time, name fleet.Team, known *team, messages map[fleet.HostID]*budgetMessage) {
	owner := s.routes.budgetOwner(now, name)
	if owner == known.owner && now.Sub(known.renewed) < renewInterval {
		return
	}
	known.owner, known.renewed = owner, now
	if messages[owner] == nil {
		messages[owner] = &budgetMessage{}
	}
	messages[owner].Asks = append(messages[owner].Asks, encodeAsk(name, known.allowance.Renewal()))
}

// explainTeam tells what this router may admit of a team.
func (s *Service) explainTeam(now time.Time, name fleet.Team) []string {
	contract, found := s.config.Current().Contract(name)
	if !found {
		return []string{fmt.Sprintf("team %s: rejected: it has no contract", name)}
	}
	line := fmt.Sprintf("team %s: contract allows %g requests a second, burst %d, concurrency %d (0: no limit)",
		name, contract.RequestsPerSecond, contract.Burst, contract.Concurrency)
	return []string{line, "budget owner " + string(s.routes.budgetOwner(now, name))}
}

// budgets are the budgets that this router keeps as their owner. It is safe for concurrent use.
type budgets struct {
	config port.Configuration
	mu     sync.Mutex
	all    map[fleet.Team]*budget
}

type budget struct {
	*admission.Budget
	used time.Time
}

func newBudgets(config port.Configuration) *budgets {
	return &budgets{config: config, all: map[fleet.Team]*budget{}}
}

func (b *budgets) draw(now time.Time, name fleet.Team, ask admission.DrawRequest) admission.Loan {
	contract, found := b.config.Current().Contract(name)
	if !found {
		return admission.Loan{Interval: time.Second, RetryAfter: time.Second}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	known, found := b.all[name]
	if !found {
		known = &budget{Budget: admission.NewBudget(now, limitsOf(contract))}
		b.all[name] = known
	}
	known.used = now
	known.SetLimits(now, limitsOf(contract))
	return known.Draw(now, ask)
}

// forgetIdle drops budgets that nobody has drawn from for long. Their burst is full again.
func (b *budgets) forgetIdle(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, known := range b.all {
		if now.Sub(known.used) > 2*admission.SlotTTL {
			delete(b.all, name)
		}
	}
}

func (s *Service) handleBudget(_ context.Context, from fleet.HostID, decode port.Decode) (any, error) {
	var message budgetMessage
	if err := decode(&message); err != nil {
		return nil, err
	}
	now := time.Now()
	s.budgets.forgetIdle(now)
	var reply budgetReply
	for _, ask := range message.Asks {
		reply.Lent = append(reply.Lent, encodeLent(s.budgets.draw(now, fleet.Team(ask.Team), ask.decode(from))))
	}
	return reply, nil
}
