// Package survey asks all routers of a fleet how they are, for operators. Any router can be asked, and none keeps
// what the others have said.
package survey

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/core/fleethealth"
	"agateswitch/port"

	"github.com/charmbracelet/log"
	"golang.org/x/sync/errgroup"
)

// Path is the path at which routers serve surveys.
const Path = "/fleet"

// methodReport requests a router's report.
const methodReport = "survey.report"

// Limits of a survey.
const (
	// surveyTimeout bounds a survey. Routers that have not been asked by then count as silent.
	surveyTimeout = 900 * time.Millisecond
	// reportTimeout bounds the wait for one router, and maxCalls is how many are asked at a time.
	reportTimeout = 250 * time.Millisecond
	maxCalls      = 128
	// maxDoubts is how many routers in doubt a survey lists, so that it fits a screen.
	maxDoubts = 20
)

// report is fleethealth.Report as routers send it.
type report struct {
	Leaving      bool  `msgpack:"leaving,omitempty"`
	Version      int64 `msgpack:"version"`
	CopyAgeMs    int64 `msgpack:"copy_age_ms"`
	StateAgeMs   int64 `msgpack:"state_age_ms"`
	WatchesStore bool  `msgpack:"watches_store,omitempty"`
	LostStore    bool  `msgpack:"lost_store,omitempty"`

	Pathless []fleet.PoolID `msgpack:"pathless,omitempty"`
}

// Fleet provides the routers to ask.
type Fleet interface {
	// Routers returns the routers that accept callers.
	Routers() []fleet.Host
}

// Survey asks the routers of the fleet. It is safe for concurrent use.
type Survey struct {
	fleet     Fleet
	transport port.Peers
	limits    fleethealth.Limits
	log       *log.Logger
}

// New returns a survey. own returns the report of this router, whose copy counts as too old from maxCopyAge on.
func New(members Fleet, transport port.Peers, own func() fleethealth.Report, maxCopyAge time.Duration, logger *log.Logger) *Survey {
	transport.Handle(methodReport, func(context.Context, fleet.HostID, port.Decode) (any, error) {
		r := own()
		return report{
			Leaving: r.Leaving, Version: r.Version, CopyAgeMs: r.CopyAge.Milliseconds(), StateAgeMs: r.StateAge.Milliseconds(),
			WatchesStore: r.WatchesStore, LostStore: r.LostStore, Pathless: r.Pathless,
		}, nil
	})
	return &Survey{
		fleet: members, transport: transport, limits: fleethealth.Limits{MaxCopyAge: maxCopyAge, MaxDoubts: maxDoubts}, log: logger,
	}
}

// Collect asks all routers, this one included, and returns the summary of their reports within a second.
func (s *Survey) Collect(ctx context.Context) fleethealth.Summary {
	ctx, cancel := context.WithTimeout(ctx, surveyTimeout)
	defer cancel()
	startedAt := time.Now()
	routers := s.fleet.Routers()
	reports := make([]fleethealth.Report, len(routers))
	var calls errgroup.Group
	calls.SetLimit(maxCalls)
	for i, router := range routers {
		calls.Go(func() error {
			reports[i] = s.ask(ctx, router)
			return nil
		})
	}
	// Each outcome is in the reports.
	_ = calls.Wait()
	summary := fleethealth.Summarize(reports, s.limits)
	s.log.Info("fleet surveyed", "routers", summary.Routers, "version", summary.Version,
		"in_doubt", len(summary.Doubts)+summary.FurtherDoubts, "took", time.Since(startedAt))
	return summary
}

// ask returns the report of a router.
func (s *Survey) ask(ctx context.Context, router fleet.Host) fleethealth.Report {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var answer report
	if err := s.transport.Call(ctx, router.ID, methodReport, struct{}{}, &answer); err != nil {
		s.log.Debug("failed to ask a router for its report", "peer", router.ID, "err", err)
		return fleethealth.Report{Host: router.ID, DataCentre: router.DataCentre, Silent: true}
	}
	return fleethealth.Report{
		Host: router.ID, DataCentre: router.DataCentre, Leaving: answer.Leaving, Version: answer.Version,
		CopyAge:  time.Duration(answer.CopyAgeMs) * time.Millisecond,
		StateAge: time.Duration(answer.StateAgeMs) * time.Millisecond, WatchesStore: answer.WatchesStore, LostStore: answer.LostStore, Pathless: answer.Pathless,
	}
}

// ServeHTTP answers GET requests with the summary as JSON.
func (s *Survey) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet {
		http.Error(w, "only GET is supported", http.StatusMethodNotAllowed)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(s.Collect(r.Context())); err != nil {
		s.log.Debug("failed to send a survey", "err", err)
	}
}
