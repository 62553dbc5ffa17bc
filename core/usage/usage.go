// Package usage counts the requests that upstreams begin to run, by window of time and team, as a replicated counter: each process of a
// router counts for itself, and the counts of all are merged in any order, any number of times.
package usage

import (
	"maps"
	"slices"
	"strings"
	"time"

	"agateswitch/core/fleet"
)

// Windows divides time into windows of one length, from the start of 1970.
type Windows struct{ Length time.Duration }

// Of returns the number of the window at a time.
func (w Windows) Of(at time.Time) int64 { return at.UnixNano() / int64(w.Length) }

// End returns when a window ends.
func (w Windows) End(window int64) time.Time { return time.Unix(0, (window+1)*int64(w.Length)) }

// Source is a process of a router.
type Source struct {
	Host        fleet.HostID
	Incarnation int64
}

// Row is what one process has counted in one window.
type Row struct {
	Host        fleet.HostID `msgpack:"h"`
	Incarnation int64        `msgpack:"i"`
	Window      int64        `msgpack:"w"`
	// Counts only rise.
	Counts map[fleet.Team]int `msgpack:"c"`
}

// Total returns the sum of the row's counts.
func (r Row) Total() int {
	total := 0
	for _, count := range r.Counts {
		total += count
	}
	return total
}

// maxTeams bounds the teams of a row.
const maxTeams = 1 << 14

// Counter holds the rows that a router knows.
type Counter struct {
	windows map[int64]map[Source]map[fleet.Team]int
}

// NewCounter returns an empty counter.
func NewCounter() *Counter {
	return &Counter{windows: map[int64]map[Source]map[fleet.Team]int{}}
}

// Add counts a request.
func (c *Counter) Add(source Source, window int64, team fleet.Team) {
	if counts := c.row(source, window); len(counts) < maxTeams {
		counts[team]++
	}
}

func (c *Counter) row(source Source, window int64) map[fleet.Team]int {
	sources, found := c.windows[window]
	if !found {
		sources = map[Source]map[fleet.Team]int{}
		c.windows[window] = sources
	}
	counts, found := sources[source]
	if !found {
		counts = map[fleet.Team]int{}
		sources[source] = counts
	}
	return counts
}

// Merge applies a row of another router: of two counts of the same process the higher one is the later.
func (c *Counter) Merge(row Row) {
	counts := c.row(Source{row.Host, row.Incarnation}, row.Window)
	for team, count := range row.Counts {
		if _, found := counts[team]; (found || len(counts) < maxTeams) && count > counts[team] {
			counts[team] = count
		}
	}
}

// Rows returns copies of the rows of the windows from first on, in a fixed order.
func (c *Counter) Rows(first int64) []Row {
	var rows []Row
	for window, sources := range c.windows {
		if window < first {
			continue
		}
		for source, counts := range sources {
			rows = append(rows, Row{Host: source.Host, Incarnation: source.Incarnation, Window: window, Counts: maps.Clone(counts)})
		}
	}
	slices.SortFunc(rows, compareRows)
	return rows
}

func compareRows(a, b Row) int {
	if a.Window != b.Window {
		return int(a.Window - b.Window)
	}
	if a.Host != b.Host {
		return strings.Compare(string(a.Host), string(b.Host))
	}
	return int(min(1, max(-1, a.Incarnation-b.Incarnation)))
}

// Sum returns the counts of a window by team, and how many processes counted in it.
func (c *Counter) Sum(window int64) (counts map[fleet.Team]int, sources int) {
	counts = map[fleet.Team]int{}
	for _, row := range c.windows[window] {
		for team, count := range row {
			counts[team] += count
		}
	}
	return counts, len(c.windows[window])
}

// Forget removes the windows before first.
func (c *Counter) Forget(first int64) {
	maps.DeleteFunc(c.windows, func(window int64, _ map[Source]map[fleet.Team]int) bool { return window < first })
}
