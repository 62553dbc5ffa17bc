package operatorhttp

import (
	"net/http"
	"strconv"
	"time"

	"agateswitch/core/configuration"
	"agateswitch/core/drain"
	"agateswitch/core/fleet"
	"agateswitch/node/configsync"
)

// Paths of reports over the whole fleet. The asked router collects them over a tree.
const (
	PathFleet   = "/operator/v1/fleet"
	PathInForce = "/operator/v1/inforce"
)

// ParamRevision is the query parameter with the revision that is waited for.
const ParamRevision = "revision"

const (
	// inForceWait is how long one question for a revision waits for the last routers.
	inForceWait = 5 * time.Second
	// inForceInterval is the time between two reports of the routers that lack a revision.
	inForceInterval = 250 * time.Millisecond
)

// FleetAnswer tells what all live routers have in force, and how the data centres stand.
type FleetAnswer struct {
	Revision configuration.Revision `json:"revision"`
	// StoreBehind is true when the key-value service holds a lower revision than is in force.
	StoreBehind bool `json:"store_behind,omitempty"`
	// ConfirmedSeconds is how long ago the key-value service last confirmed the revision.
	ConfirmedSeconds float64                 `json:"confirmed_seconds"`
	Routers          []configsync.HostReport `json:"routers"`
	DataCentres      []DataCentreStatus      `json:"datacentres"`
}

// DataCentreState names a state of a data centre.
type DataCentreState string

// States of a data centre.
const (
	DataCentreIn        DataCentreState = "in"
	DataCentreReturning DataCentreState = "returning"
	// DataCentreDraining is out while something still runs there.
	DataCentreDraining DataCentreState = "draining"
	DataCentreOut      DataCentreState = "out"
)

// DataCentreStatus tells how one data centre stands.
type DataCentreStatus struct {
	Name  fleet.DataCentre `json:"name"`
	State DataCentreState  `json:"state"`
	// Weight of its upstreams, from 0 to 1.
	Weight float64 `json:"weight"`
	// Running counts exchanges with its upstreams on all routers that answered.
	Running int `json:"running"`
}

// InForceAnswer tells who lacks a revision.
type InForceAnswer struct {
	// Live is how many live routers were asked.
	Live    int                     `json:"live"`
	Lacking []configsync.HostReport `json:"lacking"`
}

func (s *Server) fleet(w http.ResponseWriter, r *http.Request) {
	state := s.Config.State()
	reports := s.Config.Report(r.Context())
	answer(w, FleetAnswer{
		Revision: s.Config.Current().Revision(), StoreBehind: state.StoreBehind,
		ConfirmedSeconds: state.Staleness.Seconds(), Routers: reports, DataCentres: s.dataCentreStatus(reports),
	})
}

func (s *Server) dataCentreStatus(reports []configsync.HostReport) []DataCentreStatus {
	running := map[fleet.DataCentre]int{}
	for _, report := range reports {
		for name, count := range report.Running {
			running[name] += count
		}
	}
	var statuses []DataCentreStatus
	for _, name := range s.dataCentres() {
		weight := drain.Weight(s.Config.Current().DataCentre(name), time.Now())
		statuses = append(statuses, DataCentreStatus{
			Name: name, State: stateOf(weight, running[name]), Weight: weight, Running: running[name],
		})
	}
	return statuses
}

func stateOf(weight float64, running int) DataCentreState {
	switch {
	case weight == 0 && running > 0:
		return DataCentreDraining
	case weight == 0:
		return DataCentreOut
	case weight < 1:
		return DataCentreReturning
	default:
		return DataCentreIn
	}
}

// inForce waits a little until all live routers have a revision in force. After the first
// report it asks only those that lacked it.
func (s *Server) inForce(w http.ResponseWriter, r *http.Request) {
	number, err := strconv.ParseInt(r.URL.Query().Get(ParamRevision), 10, 64)
	if err != nil {
		fail(w, http.StatusBadRequest, Failure{Code: fleet.CodeBadRequest, Message: ParamRevision + " is not a number"})
		return
	}
	revision := configuration.Revision(number)
	reports := s.Config.Report(r.Context())
	told := InForceAnswer{Live: len(reports), Lacking: configsync.Lacking(reports, revision)}
	for deadline := time.Now().Add(inForceWait); len(told.Lacking) > 0 && time.Now().Before(deadline); {
		select {
		case <-time.After(inForceInterval):
		case <-r.Context().Done():
			return
		}
		told.Lacking = configsync.Lacking(s.Config.ReportOf(r.Context(), s.stillLive(told.Lacking)), revision)
	}
	answer(w, told)
}

// stillLive leaves out routers that the host list no longer shows as live: they cannot
// have a revision in force. A silent one stays, since it may still serve callers.
func (s *Server) stillLive(reports []configsync.HostReport) []fleet.HostID {
	var live []fleet.HostID
	for _, report := range reports {
		if host, found := s.Members.Router(report.Host); found && host.State == fleet.Live {
			live = append(live, report.Host)
		}
	}
	return live
}
