// Package fleethealth condenses the reports of a fleet's routers to what an operator has to see: a line for each
// data centre, and the routers that are in doubt.
package fleethealth

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"agateswitch/core/fleet"
)

// Report is what one router says about itself.
type Report struct {
	Host       fleet.HostID
	DataCentre fleet.DataCentre
	// Silent is true when the router did not answer. All fields below are empty then.
	Silent bool
	// Leaving is true while the router finishes its last requests.
	Leaving bool
	// Version is the version of the desired state in force; 0 means that there is none yet.
	Version int64
	// CopyAge and StateAge are the times since the copy of the store's entries and the desired state were last
	// confirmed to be the newest.
	CopyAge, StateAge time.Duration
	// WatchesStore is true when the router watches the store, and LostStore while the store does not answer it.
	WatchesStore, LostStore bool
	// Pathless lists the pools of which the router reaches no upstream itself, although it should.
	Pathless []fleet.PoolID
}

// Doubt is a router that needs an operator's attention, and why.
type Doubt struct {
	Host       fleet.HostID     `json:"host"`
	DataCentre fleet.DataCentre `json:"datacentre"`
	Reason     string           `json:"reason"`
}

// DataCentre counts the routers of a data centre.
type DataCentre struct {
	Name    fleet.DataCentre `json:"name"`
	Routers int              `json:"routers"`
	// Silent routers did not answer, and Starting ones have no desired state.
	Silent   int `json:"silent"`
	Starting int `json:"starting"`
	// Behind routers have a desired state in force that is older than the newest of any router.
	Behind  int `json:"behind"`
	Leaving int `json:"leaving"`
	// Watching routers watch the store, and Cut ones get no answer from it.
	Watching int `json:"watching"`
	Cut      int `json:"cut"`
	// Pathless routers reach no upstream of some pool, and send its requests through others.
	Pathless int `json:"pathless"`
	// OldestCopyMs is the largest age of a router's copy of the store.
	OldestCopyMs int64 `json:"oldest_copy_ms"`
}

// Summary is the state of a fleet.
type Summary struct {
	Routers int `json:"routers"`
	// Version is the newest version of the desired state that a router has in force.
	Version     int64        `json:"version"`
	DataCentres []DataCentre `json:"datacentres"`
	// Doubts lists the worst routers, and FurtherDoubts counts those that are not listed.
	Doubts        []Doubt `json:"doubts"`
	FurtherDoubts int     `json:"further_doubts"`
}

// Limits bounds a summary.
type Limits struct {
	// MaxCopyAge is the age from which a copy is in doubt.
	MaxCopyAge time.Duration
	// MaxDoubts is how many routers in doubt are listed.
	MaxDoubts int
}

// Summarize returns the summary of reports. Data centres are in the order of their names, doubts in the order of
// their weight, then of the routers' ids.
func Summarize(reports []Report, limits Limits) Summary {
	summary := Summary{Routers: len(reports), DataCentres: []DataCentre{}, Doubts: []Doubt{}}
	for _, report := range reports {
		summary.Version = max(summary.Version, report.Version)
	}
	counts := map[fleet.DataCentre]*DataCentre{}
	var found []weighedDoubt
	for _, report := range reports {
		if counts[report.DataCentre] == nil {
			counts[report.DataCentre] = &DataCentre{Name: report.DataCentre}
		}
		counts[report.DataCentre].add(report, summary.Version)
		if doubt, isInDoubt := doubtOf(report, summary.Version, limits.MaxCopyAge); isInDoubt {
			found = append(found, doubt)
		}
	}
	for _, dataCentre := range counts {
		summary.DataCentres = append(summary.DataCentres, *dataCentre)
	}
	slices.SortFunc(summary.DataCentres, func(a, b DataCentre) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(found, func(a, b weighedDoubt) int {
		return cmp.Or(cmp.Compare(a.weight, b.weight), cmp.Compare(a.Host, b.Host))
	})
	for _, doubt := range found[:min(len(found), limits.MaxDoubts)] {
		summary.Doubts = append(summary.Doubts, doubt.Doubt)
	}
	summary.FurtherDoubts = len(found) - len(summary.Doubts)
	return summary
}

// add counts a router, when the fleet's newest desired state has the given version.
func (d *DataCentre) add(report Report, newest int64) {
	count := func(counter *int, holds bool) {
		if holds {
			*counter++
		}
	}
	d.Routers++
	count(&d.Silent, report.Silent)
	if report.Silent {
		return
	}
	count(&d.Starting, report.Version == 0)
	count(&d.Behind, report.Version > 0 && report.Version < newest)
	count(&d.Leaving, report.Leaving)
	count(&d.Watching, report.WatchesStore)
	count(&d.Cut, report.LostStore)
	count(&d.Pathless, len(report.Pathless) > 0)
	d.OldestCopyMs = max(d.OldestCopyMs, report.CopyAge.Milliseconds())
}

// weighedDoubt is a doubt with its weight. The lowest comes first.
type weighedDoubt struct {
	Doubt
	weight int
}

// doubtOf returns why a router needs attention. The heaviest reason counts.
func doubtOf(report Report, newest int64, maxCopyAge time.Duration) (weighedDoubt, bool) {
	doubt := func(weight int, format string, arguments ...any) (weighedDoubt, bool) {
		return weighedDoubt{Doubt{Host: report.Host, DataCentre: report.DataCentre, Reason: fmt.Sprintf(format, arguments...)}, weight}, true
	}
	seconds := func(age time.Duration) string { return age.Round(100 * time.Millisecond).String() }
	switch {
	case report.Silent:
		return doubt(0, "does not answer")
	case len(report.Pathless) > 0:
		return doubt(1, "reaches no upstream of %v", report.Pathless)
	case report.Version == 0:
		return doubt(1, "has no desired state")
	case report.CopyAge > maxCopyAge && report.LostStore:
		return doubt(2, "gets no answer from the store; its copy is %s old", seconds(report.CopyAge))
	case report.CopyAge > maxCopyAge:
		return doubt(3, "its copy of the store is %s old", seconds(report.CopyAge))
	case report.Version < newest:
		return doubt(4, "has version %d of the desired state, lacks %d", report.Version, newest)
	case report.StateAge > maxCopyAge:
		return doubt(5, "its desired state was confirmed %s ago", seconds(report.StateAge))
	default:
		return weighedDoubt{}, false
	}
}
