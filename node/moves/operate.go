package moves

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"time"

	"agateswitch/core/configuration"
	"agateswitch/core/fleet"
	"agateswitch/core/rollout"
	"agateswitch/port"

	"github.com/google/uuid"
)

// Proposal is a move that an operator may begin, with its plan.
type Proposal struct {
	Pool fleet.PoolID  `json:"pool"`
	From fleet.Version `json:"from"`
	To   fleet.Version `json:"to"`
	By   time.Time     `json:"by"`
	Plan rollout.Plan  `json:"plan"`
	// expected is the revision of the pool's move item.
	expected configuration.Revision
}

// MoveStatus is the state of a pool's last move.
type MoveStatus struct {
	Move rollout.Move `json:"move"`
	// Share of chats on the new version now, in [0, 1].
	Share  float64      `json:"share"`
	Leader fleet.HostID `json:"leader"`
	// Requests of the new version that ended in this step, as counted by the leader.
	Requests uint32 `json:"requests"`
	// Waiting is what the next step waits for.
	Waiting string `json:"waiting,omitempty"`
	// Stored is false while a rollback is not yet stored in the key-value service.
	Stored bool `json:"stored"`
}

// Propose validates a move and returns its plan, without beginning the move.
func (s *Service) Propose(ctx context.Context, pool fleet.PoolID, to fleet.Version, by time.Time) (Proposal, *fleet.Refusal) {
	settings, found := s.config.Current().Pool(pool)
	if !found {
		return Proposal{}, fleet.Refuse(fleet.CodeNotFound, fmt.Sprintf("pool %q does not exist", pool), 0)
	}
	proposal := Proposal{Pool: pool, To: to, By: by, From: settings.Version}
	s.mu.Lock()
	state, move, moved := s.stateAndMove(pool)
	if moved {
		proposal.expected = state.revision
	}
	s.mu.Unlock()
	if moved && move.Status == rollout.StatusRunning {
		return proposal, fleet.Refuse(fleet.CodeConflict,
			fmt.Sprintf("a move to version %s by %s is running: take it back first", move.To, move.Deadline.UTC().Format(time.RFC3339)), 0)
	}
	if moved {
		proposal.From = move.FinalVersion()
	}
	if item, deleted := s.config.Current().Item(configuration.Key{Kind: configuration.KindMove, Name: string(pool)}); !moved && deleted {
		proposal.expected = item.Revision
	}
	if refusal := s.checkVersions(&proposal); refusal != nil {
		return proposal, refusal
	}
	proposal.Plan = rollout.MakePlan(time.Now(), by, s.poolRate(ctx, pool))
	return proposal, nil
}

// checkVersions refuses a move if a version is missing, if both are equal, or if the new one has no
// usable upstream. It sets the old version if the pool doesn't name it and exactly one version other
// than the new one has usable upstreams.
func (s *Service) checkVersions(proposal *Proposal) *fleet.Refusal {
	counts := countVersions(s.members.Usable(proposal.Pool))
	var others []string
	for version := range counts {
		if version != proposal.To {
			others = append(others, string(version))
		}
	}
	sort.Strings(others)
	if proposal.From == "" && len(others) == 1 {
		proposal.From = fleet.Version(others[0])
	}
	switch {
	case proposal.To == "":
		return fleet.Refuse(fleet.CodeInvalid, "the version to move to is missing", 0)
	case proposal.From == proposal.To:
		return fleet.Refuse(fleet.CodeConflict, fmt.Sprintf("version %s is in use already", proposal.To), 0)
	case counts[proposal.To] == 0:
		return fleet.Refuse(fleet.CodeNoUpstream, fmt.Sprintf("no upstream of version %s takes work; others: %s",
			proposal.To, strings.Join(others, ", ")), time.Minute)
	case proposal.From == "" && len(others) == 0:
		return fleet.Refuse(fleet.CodeConflict, fmt.Sprintf("all upstreams run version %s already", proposal.To), 0)
	case proposal.From == "":
		return fleet.Refuse(fleet.CodeInvalid, fmt.Sprintf("the version in use is not known: set the pool's version to one of %s",
			strings.Join(others, ", ")), 0)
	}
	return nil
}

// Begin validates a move and makes it durable. If two operators race, one of them is refused.
func (s *Service) Begin(ctx context.Context, pool fleet.PoolID, to fleet.Version, by time.Time) (rollout.Move, *fleet.Refusal) {
	proposal, refusal := s.Propose(ctx, pool, to, by)
	if refusal != nil {
		return rollout.Move{}, refusal
	}
	if proposal.Plan.Impossible != "" {
		return rollout.Move{}, fleet.Refuse(fleet.CodeInvalid, "the deadline cannot be met: "+proposal.Plan.Impossible, 0)
	}
	now := time.Now()
	move := rollout.Move{
		ID: rollout.MoveID(uuid.NewString()), Pool: pool, From: proposal.From, To: to, Begun: now, Deadline: by,
		Status: rollout.StatusRunning, Plan: proposal.Plan.Steps, Effective: now.Add(rollout.StepLeadTime), Reason: "begun by an operator",
	}
	move.History = []rollout.Transition{{At: now, Share: rollout.FirstShare, Status: move.Status, Reason: move.Reason}}
	return move, s.writeMove(ctx, pool, move, proposal.expected)
}

// Back rolls the running move of a pool back. It works while the store is down.
func (s *Service) Back(pool fleet.PoolID, reason string) (rollout.Move, *fleet.Refusal) {
	move, found := s.currentMove(pool)
	if !found || move.Status != rollout.StatusRunning {
		return move, fleet.Refuse(fleet.CodeConflict, fmt.Sprintf("no move of pool %q is running", pool), 0)
	}
	return move.RolledBack(s.rollBack(move, "operator: "+reason)), nil
}

// Status returns the state of a pool's last move. It requests the evidence of a running move from
// the move's leader.
func (s *Service) Status(ctx context.Context, pool fleet.PoolID) (MoveStatus, *fleet.Refusal) {
	status, found := s.localStatus(pool)
	if !found {
		return status, fleet.Refuse(fleet.CodeNotFound, fmt.Sprintf("pool %q has had no move", pool), 0)
	}
	if status.Move.Status != rollout.StatusRunning || status.Leader == s.members.Self().ID {
		return status, nil
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var answer statusResponse
	if err := s.peers.Call(ctx, status.Leader, methodStatus, rateRequest{Pool: pool}, &answer); err != nil {
		s.members.Suspect(status.Leader)
		status.Waiting = "the leader's evidence: it cannot be reached now"
		return status, nil
	}
	status.Requests, status.Waiting = answer.Requests, answer.Waiting
	return status, nil
}

// statusResponse is the part of a move's state that only its leader has.
type statusResponse struct {
	Requests uint32 `msgpack:"n"`
	Waiting  string `msgpack:"w"`
}

func (s *Service) handleStatus(_ context.Context, _ fleet.HostID, decode port.Decode) (any, error) {
	var request rateRequest
	if err := decode(&request); err != nil {
		return nil, err
	}
	status, _ := s.localStatus(request.Pool)
	return statusResponse{Requests: status.Requests, Waiting: status.Waiting}, nil
}

// localStatus returns the state of a pool's last move as this router has it, and false if the pool
// has had none.
func (s *Service) localStatus(pool fleet.PoolID) (MoveStatus, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state, move, found := s.stateAndMove(pool)
	if !found {
		return MoveStatus{}, false
	}
	status := MoveStatus{Move: move, Share: move.ShareAt(time.Now()), Stored: move.Status == state.move.Status, Waiting: state.holdReason}
	status.Requests, _ = state.detector.StepEvidence()
	if move.Status != rollout.StatusRunning {
		status.Waiting = ""
	}
	leader := rollout.Leader(move.ID, s.members.Routers())
	status.Leader = leader
	return status, true
}
