package placement

import (
	"strings"
	"testing"

	"agateswitch/core/fleet"

	"github.com/shoenig/test/must"
)

// Explain gives the specific reason for each upstream that would not accept a request.
func TestExplainNamesEachReason(t *testing.T) {
	o := warmOwner(5)
	cold, full, loaded, other := o.engines[0], o.engines[1], o.engines[2], o.engines[3]
	o.Report(start, cold.ID, fleet.LoadReport{Incarnation: "2"})
	cold.running = cold.limit(start)
	full.running = full.limit(start)
	loaded.running, loaded.work = 1, 100_000
	excluding := request(1, 100, start.Add(second))
	excluding.Exclude = []fleet.UpstreamID{other.ID}
	wants := map[fleet.UpstreamID]string{
		cold.ID: "in a cold start since " + string(CauseIncarnationChanged), full.ID: "at its max_concurrency",
		loaded.ID: "above its bound and above the mean", other.ID: "it failed this request", o.engines[4].ID: "fits",
	}
	lines := o.Explain(start, excluding)
	must.Len(t, 1+len(wants), lines)
	for id, want := range wants {
		must.SliceContainsFunc(t, lines, want, func(line, want string) bool {
			return strings.Contains(line, string(id)) && strings.Contains(line, want)
		})
	}
}
