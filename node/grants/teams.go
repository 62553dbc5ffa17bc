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

// renewInterval is the time between renewals of lent slots.
const renewInterval = admission.SlotTTL / 3

// teamState is this router's allowance for one team.
type teamState struct {
	// drawing is a semaphore that allows one draw at a time. It is a channel so that a caller
	// that disconnects can stop waiting.
	drawing chan struct{}

	// mu guards the fields below. It is never held during a call.
	mu          sync.Mutex
	allowance   *admission.Allowance
	owner       fleet.HostID
	lastRenewed time.Time
}

// teams holds the allowances of the teams that use this router. It is safe for concurrent use.
type teams struct {
	self fleet.HostID
	mu   sync.Mutex
	all  map[fleet.Team]*teamState
}

func newTeams(self fleet.HostID) *teams {
	return &teams{self: self, all: map[fleet.Team]*teamState{}}
}

func (t *teams) get(name fleet.Team, limits admission.Limits) *teamState {
	t.mu.Lock()
	defer t.mu.Unlock()
	team, found := t.all[name]
	if !found {
		team = &teamState{drawing: make(chan struct{}, 1), allowance: admission.NewAllowance(t.self, limits)}
		t.all[name] = team
	}
	return team
}

// release releases the slot of a team's request that has ended.
func (t *teams) release(name fleet.Team) {
	t.mu.Lock()
	team, found := t.all[name]
	t.mu.Unlock()
	if found {
		team.mu.Lock()
		team.allowance.Release()
		team.mu.Unlock()
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
	team := s.teams.get(request.Team, limitsOf(contract))
	retry := len(request.Exclude) > 0
	decision := team.admit(time.Now(), limitsOf(contract), retry, true)
	if decision.Admitted || !decision.Draw {
		return decision.Refusal
	}
	select {
	case team.drawing <- struct{}{}:
		defer func() { <-team.drawing }()
	case <-ctx.Done():
		return fleet.Refuse(fleet.CodeDeadline, "the caller went away or its time ran out", 0)
	}
	// A concurrent draw may have supplied the missing token or slot.
	decision = team.admit(time.Now(), limitsOf(contract), retry, false)
	if decision.Admitted || !decision.Draw {
		return decision.Refusal
	}
	s.draw(ctx, request.Team, team)
	return team.admit(time.Now(), limitsOf(contract), retry, false).Refusal
}

// admit applies the limits and tries to admit a request. If countArrival is set, the request counts
// in the team's demand.
func (t *teamState) admit(now time.Time, limits admission.Limits, retry, countArrival bool) admission.Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.allowance.SetLimits(limits)
	if countArrival {
		t.allowance.RecordArrival(now)
	}
	return t.allowance.Admit(now, retry)
}

// draw requests tokens and slots from the team's budget owner. If the owner is unreachable, it
// applies the fallback share.
func (s *Service) draw(ctx context.Context, name fleet.Team, team *teamState) {
	team.mu.Lock()
	request := team.allowance.DrawRequest()
	team.mu.Unlock()
	owner := s.routes.budgetOwner(time.Now(), name)
	var reply budgetReply
	err := s.call(ctx, owner, methodBudget, budgetMessage{Draws: []drawMessage{encodeDraw(name, request)}}, &reply)
	now := time.Now()
	team.mu.Lock()
	defer team.mu.Unlock()
	if err != nil || len(reply.Loans) != 1 {
		team.allowance.ApplyFallback(now, len(s.members.Routers()))
		s.telemetry.Log.Warn("budget owner unreachable; admitting an equal share of the team's limits", "team", name, "owner", owner, "err", err)
		return
	}
	team.allowance.ApplyLoan(now, reply.Loans[0].decode())
	team.owner, team.lastRenewed = owner, now
}

// renewTeams renews lent slots and reports running requests to a new budget owner. Teams with the
// same owner share a message. Idle teams are removed.
func (s *Service) renewTeams(ctx context.Context, now time.Time) {
	messages := map[fleet.HostID]*budgetMessage{}
	s.teams.mu.Lock()
	for name, team := range s.teams.all {
		team.mu.Lock()
		if team.allowance.IsIdle(now) {
			delete(s.teams.all, name)
			team.mu.Unlock()
			continue
		}
		if team.allowance.NeedsRenewal() {
			s.addRenewal(now, name, team, messages)
		}
		team.mu.Unlock()
	}
	s.teams.mu.Unlock()
	for owner, message := range messages {
		// The reply and errors are ignored, because the next draw returns new slots.
		go s.call(ctx, owner, methodBudget, *message, &budgetReply{})
	}
}

// addRenewal adds a pending renewal of a team to the message for its budget owner. The team's lock
// is held.
func (s *Service) addRenewal(now time.Time, name fleet.Team, team *teamState, messages map[fleet.HostID]*budgetMessage) {
	owner := s.routes.budgetOwner(now, name)
	if owner == team.owner && now.Sub(team.lastRenewed) < renewInterval {
		return
	}
	team.owner, team.lastRenewed = owner, now
	if messages[owner] == nil {
		messages[owner] = &budgetMessage{}
	}
	messages[owner].Draws = append(messages[owner].Draws, encodeDraw(name, team.allowance.Renewal()))
}

// explainTeam describes a team's contract and budget owner.
func (s *Service) explainTeam(now time.Time, name fleet.Team) []string {
	contract, found := s.config.Current().Contract(name)
	if !found {
		return []string{fmt.Sprintf("team %s: rejected: it has no contract", name)}
	}
	line := fmt.Sprintf("team %s: contract allows %g requests a second, burst %d, concurrency %d (0: no limit)",
		name, contract.RequestsPerSecond, contract.Burst, contract.Concurrency)
	return []string{line, "budget owner " + string(s.routes.budgetOwner(now, name))}
}

// budgets holds the team budgets that this router owns. It is safe for concurrent use.
type budgets struct {
	config port.Configuration
	mu     sync.Mutex
	all    map[fleet.Team]*ownedBudget
}

// ownedBudget is a team's budget with the time of the last draw.
type ownedBudget struct {
	*admission.Budget
	lastUsed time.Time
}

func newBudgets(config port.Configuration) *budgets {
	return &budgets{config: config, all: map[fleet.Team]*ownedBudget{}}
}

// draw draws from a team's budget. A team without a contract gets an empty loan.
func (b *budgets) draw(now time.Time, name fleet.Team, request admission.DrawRequest) admission.Loan {
	contract, found := b.config.Current().Contract(name)
	if !found {
		return admission.Loan{Interval: time.Second, RetryAfter: time.Second}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	budget, found := b.all[name]
	if !found {
		budget = &ownedBudget{Budget: admission.NewBudget(now, limitsOf(contract))}
		b.all[name] = budget
	}
	budget.lastUsed = now
	budget.SetLimits(now, limitsOf(contract))
	return budget.Draw(now, request)
}

// removeIdle removes budgets from which no router has drawn for twice SlotTTL. Their burst is full
// again.
func (b *budgets) removeIdle(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, budget := range b.all {
		if now.Sub(budget.lastUsed) > 2*admission.SlotTTL {
			delete(b.all, name)
		}
	}
}

// handleBudget lends tokens and slots from the budgets that this router owns.
func (s *Service) handleBudget(_ context.Context, from fleet.HostID, decode port.Decode) (any, error) {
	var message budgetMessage
	if err := decode(&message); err != nil {
		return nil, err
	}
	now := time.Now()
	s.budgets.removeIdle(now)
	var reply budgetReply
	for _, request := range message.Draws {
		reply.Loans = append(reply.Loans, encodeLoan(s.budgets.draw(now, fleet.Team(request.Team), request.decode(from))))
	}
	return reply, nil
}
