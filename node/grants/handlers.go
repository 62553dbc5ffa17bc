package grants

import (
	"context"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/core/placement"
	"agateswitch/port"
)

func (s *Service) handleAcquire(_ context.Context, _ fleet.HostID, decode port.Decode) (any, error) {
	var request acquireRequest
	if err := decode(&request); err != nil {
		return nil, err
	}
	var decision placement.Decision
	known := s.withOwner(request.Request.Pool, func(owner *placement.Owner) {
		decision = owner.Grant(time.Now(), request.Request, request.Version)
	})
	if !known {
		refusal := fleet.Refuse(fleet.CodeNotFound, "the pool is not in the configuration in force", time.Second)
		return acquireResponse{Refusal: refusal}, nil
	}
	return acquireResponse{Grant: decision.Grant, Refusal: decision.Refusal}, nil
}

func (s *Service) handleComplete(_ context.Context, _ fleet.HostID, decode port.Decode) (any, error) {
	var request completeRequest
	if err := decode(&request); err != nil {
		return nil, err
	}
	s.withOwner(request.Pool, func(owner *placement.Owner) { owner.Complete(request.Completion) })
	return completeResponse{}, nil
}

func (s *Service) handleExplain(_ context.Context, _ fleet.HostID, decode port.Decode) (any, error) {
	var request acquireRequest
	if err := decode(&request); err != nil {
		return nil, err
	}
	var response explainResponse
	s.withOwner(request.Request.Pool, func(owner *placement.Owner) {
		response.Lines = owner.Explain(request.Request, request.Version)
	})
	return response, nil
}
