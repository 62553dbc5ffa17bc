package usage

import (
	"context"
	"slices"
	"sync"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/core/usage"
	"agateswitch/port"
)

// Methods of the peer protocol.
const (
	// methodTell tells a keeper counts.
	methodTell = "usage.tell"
	// methodKnown asks a keeper for the counts that the asking one lacks.
	methodKnown = "usage.known"
)

// tellRequest carries rows, and reports whose content is fixed.
type tellRequest struct {
	// TimeOfDay is the sender's, in nanoseconds since 1970.
	TimeOfDay int64       `msgpack:"t"`
	Rows      []usage.Row `msgpack:"r,omitempty"`
	Fixed     []fixed     `msgpack:"f,omitempty"`
}

// fixed is the content of a window's report.
type fixed struct {
	Window int64              `msgpack:"w"`
	Counts map[fleet.Team]int `msgpack:"c"`
}

type tellResponse struct {
	TimeOfDay int64 `msgpack:"t"`
}

// knownRequest asks for what the receiver knows of a window beyond the rows with these totals.
type knownRequest struct {
	Window int64   `msgpack:"w"`
	Totals []total `msgpack:"s,omitempty"`
}

// total is the sum of a row.
type total struct {
	Host        fleet.HostID `msgpack:"h"`
	Incarnation int64        `msgpack:"i"`
	Total       int          `msgpack:"t"`
}

// tell tells each other keeper what it is not known to have.
func (s *Service) tell(ctx context.Context) {
	var running sync.WaitGroup
	first := s.fleet.First(line, keepers)
	s.mu.Lock()
	for id := range s.told {
		if !slices.Contains(first, id) {
			delete(s.told, id)
		}
	}
	s.mu.Unlock()
	for _, keeper := range first {
		if keeper != s.self.Host {
			running.Go(func() { s.tellKeeper(ctx, keeper) })
		}
	}
	running.Wait()
}

// tellKeeper sends a keeper all rows that have changed since it has last confirmed them, those of other routers too: the keepers before
// it may be gone.
func (s *Service) tellKeeper(ctx context.Context, keeper fleet.HostID) {
	request, totals := s.untold(keeper)
	ctx, cancel := context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	var response tellResponse
	sentAt := time.Now()
	if err := s.transport.Call(ctx, keeper, methodTell, request, &response); err != nil {
		s.counts.untold.Add(1)
		s.log.Debug("failed to tell a router the usage", "peer", keeper, "rows", len(request.Rows), "err", err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.told[keeper] = totals
	if response.TimeOfDay != 0 {
		s.learnTime(keeper, time.Unix(0, response.TimeOfDay).Add(time.Since(sentAt)/2))
	}
}

// untold returns what a keeper is not known to have, and the totals that it will have then.
func (s *Service) untold(keeper fleet.HostID) (tellRequest, map[rowKey]int) {
	first := s.firstKept()
	s.mu.Lock()
	defer s.mu.Unlock()
	request, totals := tellRequest{TimeOfDay: time.Now().UnixNano()}, map[rowKey]int{}
	isKeeper := slices.Contains(s.fleet.First(line, keepers), s.self.Host)
	for _, row := range s.counter.Rows(first) {
		key := rowKey{usage.Source{Host: row.Host, Incarnation: row.Incarnation}, row.Window}
		// Between keepers the asking for what is known suffices.
		if isKeeper && key.source != s.self {
			continue
		}
		totals[key] = row.Total()
		if s.told[keeper][key] != totals[key] {
			request.Rows = append(request.Rows, row)
		}
	}
	for window, counts := range s.fixed {
		// A row without a source stands for the content of a report.
		key := rowKey{window: window}
		totals[key] = 1
		if s.told[keeper][key] == 0 {
			request.Fixed = append(request.Fixed, fixed{window, counts})
		}
	}
	return request, totals
}

func (s *Service) handleTell(_ context.Context, from fleet.HostID, decode port.Decode) (any, error) {
	var told tellRequest
	if err := decode(&told); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if told.TimeOfDay != 0 {
		s.learnTime(from, time.Unix(0, told.TimeOfDay))
	}
	s.merge(told)
	return tellResponse{TimeOfDay: time.Now().UnixNano()}, nil
}

// merge applies what another router has told. The caller holds mu.
func (s *Service) merge(told tellRequest) {
	first := s.firstKept()
	last := s.windows.Of(s.Now()) + keptWindows
	for _, row := range told.Rows {
		if row.Window >= first && row.Window <= last {
			s.counter.Merge(row)
		}
	}
	for _, report := range told.Fixed {
		if _, found := s.fixed[report.Window]; !found && report.Window >= first && report.Window <= last {
			s.fixed[report.Window] = report.Counts
		}
	}
}

// learn asks the other keepers for what they know of a window.
func (s *Service) learn(ctx context.Context, window int64) {
	request := knownRequest{Window: window}
	s.mu.Lock()
	for _, row := range s.counter.Rows(window) {
		if row.Window == window {
			request.Totals = append(request.Totals, total{row.Host, row.Incarnation, row.Total()})
		}
	}
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, messageTimeout)
	defer cancel()
	var running sync.WaitGroup
	for _, keeper := range s.fleet.First(line, keepers) {
		if keeper == s.self.Host {
			continue
		}
		running.Go(func() {
			var known tellRequest
			if err := s.transport.Call(ctx, keeper, methodKnown, request, &known); err != nil {
				s.counts.untold.Add(1)
				s.log.Info("failed to learn the usage from a router", "peer", keeper, "window", window, "err", err)
				return
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			s.merge(known)
		})
	}
	running.Wait()
}

func (s *Service) handleKnown(_ context.Context, _ fleet.HostID, decode port.Decode) (any, error) {
	var request knownRequest
	if err := decode(&request); err != nil {
		return nil, err
	}
	has := map[usage.Source]int{}
	for _, one := range request.Totals {
		has[usage.Source{Host: one.Host, Incarnation: one.Incarnation}] = one.Total
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	known := tellRequest{TimeOfDay: time.Now().UnixNano()}
	for _, row := range s.counter.Rows(request.Window) {
		if row.Window == request.Window && row.Total() != has[usage.Source{Host: row.Host, Incarnation: row.Incarnation}] {
			known.Rows = append(known.Rows, row)
		}
	}
	if counts, found := s.fixed[request.Window]; found {
		known.Fixed = append(known.Fixed, fixed{request.Window, counts})
	}
	return known, nil
}
