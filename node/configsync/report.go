package configsync

import (
	"context"
	"slices"
	"time"

	"agateswitch/core/configuration"
	"agateswitch/core/dissemination"
	"agateswitch/core/fleet"
	"agateswitch/port"

	"golang.org/x/sync/errgroup"
)

// A report is collected over a tree: a router asks the first of each of reportFanOut
// groups, which asks the rest of its group in the same way. So no router makes more calls
// than that, whatever the fleet's size.
const (
	reportFanOut = 8
	// reportTimeout bounds one report; each level of the tree gets half of what is left.
	reportTimeout = 4 * time.Second
	// minReportTime ends the search for a group's members that answer.
	minReportTime = 50 * time.Millisecond
)

// HostReport is what one router tells of itself.
type HostReport struct {
	Host     fleet.HostID           `msgpack:"h" json:"host"`
	Revision configuration.Revision `msgpack:"r" json:"revision"`
	// Loaded is false while the router has no configuration and refuses callers.
	Loaded bool `msgpack:"l,omitempty" json:"loaded"`
	// Watching is true while the router watches the key-value service.
	Watching bool `msgpack:"w,omitempty" json:"watching,omitempty"`
	// Running counts the requests that the router has running, for each data centre of the upstreams.
	Running map[fleet.DataCentre]int `msgpack:"n,omitempty" json:"running,omitempty"`
	// Unreachable is true when no answer came; all else is unknown then.
	Unreachable bool `msgpack:"u,omitempty" json:"unreachable,omitempty"`
}

type reportRequest struct {
	Hosts        []fleet.HostID `msgpack:"h"`
	BudgetMillis int64          `msgpack:"b"`
}

type reportResponse struct {
	Reports []HostReport `msgpack:"r"`
}

// Report asks all live routers what they have in force, in id order.
func (s *Service) Report(ctx context.Context) []HostReport {
	var hosts []fleet.HostID
	for _, host := range s.members.Routers() {
		hosts = append(hosts, host.ID)
	}
	return s.ReportOf(ctx, hosts)
}

// ReportOf asks some routers what they have in force.
func (s *Service) ReportOf(ctx context.Context, hosts []fleet.HostID) []HostReport {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	others := slices.DeleteFunc(slices.Clone(hosts), func(id fleet.HostID) bool { return id == s.members.Self().ID })
	reports := s.collect(ctx, others)
	if len(others) < len(hosts) {
		reports = append(reports, s.ownReport())
	}
	slices.SortFunc(reports, func(a, b HostReport) int {
		if a.Host < b.Host {
			return -1
		}
		return 1
	})
	return reports
}

func (s *Service) ownReport() HostReport {
	s.mu.Lock()
	watching := s.watching
	s.mu.Unlock()
	return HostReport{
		Host: s.members.Self().ID, Revision: s.Current().Revision(), Loaded: s.isLoaded(),
		Watching: watching, Running: s.running(),
	}
}

// collect asks groups of hosts in parallel.
func (s *Service) collect(ctx context.Context, hosts []fleet.HostID) []HostReport {
	groups := dissemination.Split(hosts, reportFanOut)
	results := make([][]HostReport, len(groups))
	var calls errgroup.Group
	for i, group := range groups {
		calls.Go(func() error {
			results[i] = s.collectGroup(ctx, group)
			return nil
		})
	}
	calls.Wait()
	return slices.Concat(results...)
}

// collectGroup asks the first member that answers for its whole group.
func (s *Service) collectGroup(ctx context.Context, group []fleet.HostID) []HostReport {
	var reports []HostReport
	for i, first := range group {
		deadline, _ := ctx.Deadline()
		budget := time.Until(deadline) / 2
		if budget < minReportTime {
			return append(reports, unreachable(group[i:])...)
		}
		answer, err := s.askGroup(ctx, first, group[i+1:], budget)
		if err == nil {
			return append(reports, answer...)
		}
		reports = append(reports, HostReport{Host: first, Unreachable: true})
	}
	return reports
}

func (s *Service) askGroup(ctx context.Context, first fleet.HostID, rest []fleet.HostID, budget time.Duration) ([]HostReport, error) {
	ctx, cancel := context.WithTimeout(ctx, budget)
	defer cancel()
	var response reportResponse
	request := reportRequest{Hosts: rest, BudgetMillis: budget.Milliseconds()}
	// A slow report says nothing about the router that collects it, so none becomes suspect.
	err := s.peers.Call(ctx, first, methodReport, request, &response)
	return response.Reports, err
}

func unreachable(hosts []fleet.HostID) []HostReport {
	var reports []HostReport
	for _, host := range hosts {
		reports = append(reports, HostReport{Host: host, Unreachable: true})
	}
	return reports
}

func (s *Service) handleReport(ctx context.Context, _ fleet.HostID, decode port.Decode) (any, error) {
	var request reportRequest
	if err := decode(&request); err != nil {
		return nil, err
	}
	// A tenth is left for the way back.
	budget := time.Duration(request.BudgetMillis) * time.Millisecond * 9 / 10
	ctx, cancel := context.WithTimeout(ctx, budget)
	defer cancel()
	return reportResponse{Reports: append(s.collect(ctx, request.Hosts), s.ownReport())}, nil
}

// Lacking returns the reports of routers that do not have a revision in force.
func Lacking(reports []HostReport, revision configuration.Revision) []HostReport {
	return slices.DeleteFunc(slices.Clone(reports), func(report HostReport) bool {
		return !report.Unreachable && report.Revision >= revision
	})
}

// State is what this router knows of the configuration's way.
type State struct {
	// StoreBehind is true when the key-value service holds a lower revision than is in force.
	StoreBehind bool
	// Staleness is how long ago the key-value service last confirmed the head.
	Staleness time.Duration
	Watching  bool
}

// State returns the service's state.
func (s *Service) State() State {
	staleness := s.staleness()
	s.mu.Lock()
	defer s.mu.Unlock()
	return State{StoreBehind: s.storeBehind, Staleness: staleness, Watching: s.watching}
}

var _ port.Configuration = (*Service)(nil)
