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

// Paths of reports on the whole fleet. The router that receives the request collects them over a
// tree of routers.
const (
	PathFleet   = "/operator/v1/fleet"
	PathInForce = "/operator/v1/inforce"
)

// ParamRevision is the query parameter with the revision to wait for.
const ParamRevision = "revision"

const (
	// inForceTimeout is how long one request waits for the routers that lack a revision.
	inForceTimeout = 5 * time.Second
	// inForceInterval is the delay between two reports of the routers that lack a revision.
	inForceInterval = 250 * time.Millisecond
)

// FleetAnswer holds the revisions that all live routers have in force, and the status of the data
// centres.
type FleetAnswer struct {
	Revision configuration.Revision `json:"revision"`
	// StoreBehind is true when the key-value service has a lower revision than the one in force.
	StoreBehind bool `json:"store_behind,omitempty"`
	// ConfirmedSeconds is the time since the key-value service last confirmed the revision.
	ConfirmedSeconds float64                 `json:"confirmed_seconds"`
	Routers          []configsync.HostReport `json:"routers"`
	DataCentres      []DataCentreStatus      `json:"datacentres"`
}

// DataCentreState is the state of a data centre.
type DataCentreState string

// States of a data centre.
const (
	DataCentreIn        DataCentreState = "in"
	DataCentreReturning DataCentreState = "returning"
	// DataCentreDraining means out of service while exchanges still run there.
	DataCentreDraining DataCentreState = "draining"
	DataCentreOut      DataCentreState = "out"
)

// DataCentreStatus is the status of one data centre.
type DataCentreStatus struct {
	Name  fleet.DataCentre `json:"name"`
	State DataCentreState  `json:"state"`
	// Weight is the weight of its upstreams, from 0 to 1.
	Weight float64 `json:"weight"`
	// Running is the number of exchanges with its upstreams on all routers that responded.
	Running int `json:"running"`
}

// InForceAnswer lists the routers that lack a revision.
type InForceAnswer struct {
	// Live is the number of live routers that were queried.
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

// stateOf derives a data centre's state from its weight and running exchanges.
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

// inForce waits up to inForceTimeout until all live routers have a revision in force. After the
// first report it queries only the routers that lacked it.
func (s *Server) inForce(w http.ResponseWriter, r *http.Request) {
	number, err := strconv.ParseInt(r.URL.Query().Get(ParamRevision), 10, 64)
	if err != nil {
		fail(w, http.StatusBadRequest, Failure{Code: fleet.CodeBadRequest, Message: ParamRevision + " is not a number"})
		return
	}
	revision := configuration.Revision(number)
	reports := s.Config.Report(r.Context())
	result := InForceAnswer{Live: len(reports), Lacking: configsync.Lacking(reports, revision)}
	for deadline := time.Now().Add(inForceTimeout); len(result.Lacking) > 0 && time.Now().Before(deadline); {
		select {
		case <-time.After(inForceInterval):
		case <-r.Context().Done():
			return
		}
		result.Lacking = configsync.Lacking(s.Config.ReportOf(r.Context(), s.liveHosts(result.Lacking)), revision)
	}
	answer(w, result)
}

// liveHosts returns the reports' hosts that the host list still shows as live. Departed routers
// cannot have a revision in force. An unresponsive router is kept, since it may still serve callers.
func (s *Server) liveHosts(reports []configsync.HostReport) []fleet.HostID {
	var live []fleet.HostID
	for _, report := range reports {
		if host, found := s.Members.Router(report.Host); found && host.State == fleet.Live {
			live = append(live, report.Host)
		}
	}
	return live
}
