package fleethealth

import (
	"fmt"
	"testing"
	"time"

	"agateswitch/core/fleet"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

var limits = Limits{MaxCopyAge: 3 * time.Second, MaxDoubts: 10}

func TestDoubtsAreListedByWeight(t *testing.T) {
	sound := Report{DataCentre: "arima", Version: 7, CopyAge: time.Second, StateAge: time.Second}
	reports := []Report{sound, sound, sound, sound, sound, sound, sound}
	for i := range reports {
		reports[i].Host = fleet.HostID(fmt.Sprint("front-", i))
	}
	reports[1].Version = 5
	reports[2].CopyAge, reports[2].LostStore = 4*time.Second, true
	reports[3] = Report{Host: "front-3", DataCentre: "tunapuna", Silent: true}
	reports[4].Version, reports[4].CopyAge = 0, time.Hour
	reports[5].LostStore = true
	reports[6].Leaving, reports[6].WatchesStore = true, true
	summary := Summarize(reports, limits)
	must.Eq(t, 7, summary.Version)
	must.Eq(t, []Doubt{
		{Host: "front-3", DataCentre: "tunapuna", Reason: "does not answer"},
		{Host: "front-4", DataCentre: "arima", Reason: "has no desired state"},
		{Host: "front-2", DataCentre: "arima", Reason: "gets no answer from the store; its copy is 4s old"},
		{Host: "front-1", DataCentre: "arima", Reason: "has version 5 of the desired state, lacks 7"},
	}, summary.Doubts)
	must.Eq(t, []DataCentre{
		{Name: "arima", Routers: 6, Starting: 1, Behind: 1, Leaving: 1, Watching: 1, Cut: 2, OldestCopyMs: time.Hour.Milliseconds()},
		{Name: "tunapuna", Routers: 1, Silent: 1},
	}, summary.DataCentres)
}

// However many routers are in doubt, a summary has a line for each data centre and a bounded number of others, and
// counts every router once.
func TestSummaryOfAnyFleetIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reports := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Report {
			return Report{
				Host:       fleet.HostID(rapid.StringMatching("front-[0-9]{3}").Draw(t, "host")),
				DataCentre: rapid.SampledFrom([]fleet.DataCentre{"arima", "tunapuna", "valsayn"}).Draw(t, "datacentre"),
				Silent:     rapid.Bool().Draw(t, "silent"), LostStore: rapid.Bool().Draw(t, "lost"),
				Version: int64(rapid.IntRange(0, 3).Draw(t, "version")),
				CopyAge: time.Duration(rapid.IntRange(0, 6000).Draw(t, "age")) * time.Millisecond,
			}
		}), 0, 400).Draw(t, "reports")
		summary := Summarize(reports, limits)
		must.LessEq(t, 3, len(summary.DataCentres))
		must.LessEq(t, limits.MaxDoubts, len(summary.Doubts))
		routers := 0
		for _, dataCentre := range summary.DataCentres {
			routers += dataCentre.Routers
			must.LessEq(t, dataCentre.Routers, dataCentre.Silent+dataCentre.Starting+dataCentre.Behind)
		}
		must.Eq(t, len(reports), routers)
		must.True(t, summary.FurtherDoubts == 0 || len(summary.Doubts) == limits.MaxDoubts)
	})
}
