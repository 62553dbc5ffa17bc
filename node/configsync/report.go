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

// Parameters of reports. Reports are collected over a tree: a router splits the hosts into
// reportFanOut groups and sends a request to the first member of each group, which collects the
// rest of its group in the same way. While the members respond, no router makes more than
// reportFanOut calls, whatever the fleet's size.
const (
	reportFanOut = 8
	// reportTimeout limits one report. Each level of the tree gets half of the remaining time.
	reportTimeout = 4 * time.Second
	// minReportBudget is the time below which no further member of a group is tried.
	minReportBudget = 50 * time.Millisecond
)

// HostReport is the state that one router reports of itself.
type HostReport struct {
	Host     fleet.HostID           `msgpack:"h" json:"host"`
	Revision configuration.Revision `msgpack:"r" json:"revision"`
	// Loaded is false while the router has no configuration and refuses callers.
	Loaded bool `msgpack:"l,omitempty" json:"loaded"`
	// Watching is true while the router watches the key-value service.
	Watching bool `msgpack:"w,omitempty" json:"watching,omitempty"`
	// Running is the number of the router's running requests for each data centre of the upstreams.
	Running map[fleet.DataCentre]int `msgpack:"n,omitempty" json:"running,omitempty"`
	// Unreachable is true when the router did not respond. All other state is unknown then.
	Unreachable bool `msgpack:"u,omitempty" json:"unreachable,omitempty"`
}

// reportRequest requests the reports of the receiver and of Hosts within a time budget.
type reportRequest struct {
	Hosts        []fleet.HostID `msgpack:"h"`
	BudgetMillis int64          `msgpack:"b"`
}

type reportResponse struct {
	Reports []HostReport `msgpack:"r"`
}

// Report collects the reports of all live routers, in id order.
func (s *Service) Report(ctx context.Context) []HostReport {
	var hosts []fleet.HostID
	for _, host := range s.members.Routers() {
		hosts = append(hosts, host.ID)
	}
	return s.ReportOf(ctx, hosts)
}

// ReportOf collects the reports of some routers, in id order.
func (s *Service) ReportOf(ctx context.Context, hosts []fleet.HostID) []HostReport {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	others := slices.DeleteFunc(slices.Clone(hosts), func(id fleet.HostID) bool { return id == s.members.Self().ID })
	reports := s.collectReports(ctx, others)
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
		Watching: watching, Running: s.runningCounts(),
	}
}

// collectReports collects the reports of hosts, split into groups that are queried in parallel.
func (s *Service) collectReports(ctx context.Context, hosts []fleet.HostID) []HostReport {
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

// collectGroup requests the group's reports from its first member that responds. The members
// tried before it, and those for which no time remains, are reported as unreachable.
func (s *Service) collectGroup(ctx context.Context, group []fleet.HostID) []HostReport {
	var reports []HostReport
	for i, member := range group {
		deadline, _ := ctx.Deadline()
		budget := time.Until(deadline) / 2
		if budget < minReportBudget {
			return append(reports, unreachableReports(group[i:])...)
		}
		answer, err := s.requestGroupReport(ctx, member, group[i+1:], budget)
		if err == nil {
			return append(reports, answer...)
		}
		reports = append(reports, HostReport{Host: member, Unreachable: true})
	}
	return reports
}

// requestGroupReport requests the reports of a member and the rest of its group from the member.
func (s *Service) requestGroupReport(ctx context.Context, member fleet.HostID, rest []fleet.HostID, budget time.Duration) ([]HostReport, error) {
	ctx, cancel := context.WithTimeout(ctx, budget)
	defer cancel()
	var response reportResponse
	request := reportRequest{Hosts: rest, BudgetMillis: budget.Milliseconds()}
	// A slow report is no evidence that the member failed: unresponsive routers further down the
	// tree delay it. So the member is not marked as suspect.
	err := s.peers.Call(ctx, member, methodReport, request, &response)
	return response.Reports, err
}

func unreachableReports(hosts []fleet.HostID) []HostReport {
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
	// A tenth of the budget is reserved for the response to arrive.
	budget := time.Duration(request.BudgetMillis) * time.Millisecond * 9 / 10
	ctx, cancel := context.WithTimeout(ctx, budget)
	defer cancel()
	return reportResponse{Reports: append(s.collectReports(ctx, request.Hosts), s.ownReport())}, nil
}

// Lacking returns the reports of routers that do not have a revision in force.
func Lacking(reports []HostReport, revision configuration.Revision) []HostReport {
	return slices.DeleteFunc(slices.Clone(reports), func(report HostReport) bool {
		return !report.Unreachable && report.Revision >= revision
	})
}

// State describes how a router's configuration relates to the key-value service.
type State struct {
	// StoreBehind is true when the key-value service holds a lower revision than is in force.
	StoreBehind bool
	// Staleness is how long ago the key-value service last confirmed the head.
	Staleness time.Duration
	// Watching is true while the router watches the key-value service.
	Watching bool
}

// State returns the service's state.
func (s *Service) State() State {
	staleness := s.staleness()
	s.mu.Lock()
	defer s.mu.Unlock()
	return State{StoreBehind: s.storeBehind, Staleness: staleness, Watching: s.watching}
}

var _ port.Configuration = (*Service)(nil)
