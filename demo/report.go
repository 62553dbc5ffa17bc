package demo

import (
	"fmt"
	"io"
	"sort"
	"sync"
	"text/tabwriter"
	"time"

	"agateswitch/core/fleet"

	"github.com/DataDog/sketches-go/ddsketch"
)

// sketchAccuracy is the relative accuracy of latency quantiles.
const sketchAccuracy = 0.01

// Tally collects the results of calls. It is safe for concurrent use.
type Tally struct {
	mu         sync.Mutex
	outcomes   map[string]map[Outcome]int
	codes      map[fleet.Code]int
	firstToken *ddsketch.DDSketch
}

// NewTally makes an empty tally.
func NewTally() *Tally {
	sketch, err := ddsketch.NewDefaultDDSketch(sketchAccuracy)
	if err != nil {
		panic(err)
	}
	return &Tally{outcomes: map[string]map[Outcome]int{}, codes: map[fleet.Code]int{}, firstToken: sketch}
}

// Add counts one result of a kind of call.
func (t *Tally) Add(kind string, result Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.outcomes[kind] == nil {
		t.outcomes[kind] = map[Outcome]int{}
	}
	t.outcomes[kind][result.Outcome]++
	if result.Code != "" {
		t.codes[result.Code]++
	}
	if kind == "chat" && result.Outcome == Whole {
		t.firstToken.Add(float64(result.FirstToken) / float64(time.Millisecond))
	}
}

// Total returns the number of calls so far.
func (t *Tally) Total() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	total := 0
	for _, outcomes := range t.outcomes {
		for _, count := range outcomes {
			total += count
		}
	}
	return total
}

// Report is what a demo run showed.
type Report struct {
	Outcomes map[string]map[Outcome]int `json:"outcomes"`
	Codes    map[fleet.Code]int         `json:"codes,omitempty"`
	// FirstTokenP50 and FirstTokenP95 are in milliseconds.
	FirstTokenP50 float64 `json:"first_token_p50_ms"`
	FirstTokenP95 float64 `json:"first_token_p95_ms"`
	// Skew is the requests of the busiest engine over the mean of all.
	Skew float64 `json:"skew"`
	// CacheReuse is the share of requests that found their chat in the engine's cache.
	CacheReuse float64 `json:"cache_reuse"`
	// ControlBytes is sent and received between routers, for each router a second.
	ControlBytes float64 `json:"control_bytes_per_second"`
	// Faults lists what must never happen.
	Faults []string `json:"faults"`
}

// Report sums up a run that took a time.
func (f *Fleet) Report(tally *Tally, took time.Duration) Report {
	tally.mu.Lock()
	defer tally.mu.Unlock()
	report := Report{Outcomes: tally.outcomes, Codes: tally.codes, Faults: []string{}}
	if quantiles, err := tally.firstToken.GetValuesAtQuantiles([]float64{0.5, 0.95}); err == nil {
		report.FirstTokenP50, report.FirstTokenP95 = quantiles[0], quantiles[1]
	}
	report.Skew, report.CacheReuse = f.engineFigures()
	var bytes int64
	for _, started := range f.Routers {
		sent, received := started.Traffic()
		bytes += sent + received
	}
	report.ControlBytes = float64(bytes) / took.Seconds() / float64(len(f.Routers))
	report.Faults = f.faults(tally)
	return report
}

func (f *Fleet) engineFigures() (skew, reuse float64) {
	var total, most, hits int64
	for _, started := range f.Engines {
		counts := started.Counts()
		total += counts.Requests
		most = max(most, counts.Requests)
		hits += counts.CacheHits
	}
	if total == 0 {
		return 0, 0
	}
	mean := float64(total) / float64(len(f.Engines))
	return float64(most) / mean, float64(hits) / float64(total)
}

func (f *Fleet) faults(tally *Tally) []string {
	faults := []string{}
	for kind, outcomes := range tally.outcomes {
		for _, outcome := range []Outcome{Lost, Cut, Crossed, RunTwice} {
			if outcomes[outcome] > 0 {
				faults = append(faults, fmt.Sprintf("%d %s answers %s", outcomes[outcome], kind, outcome))
			}
		}
	}
	runs := map[string]int{}
	for _, started := range f.Services {
		for key, count := range started.Runs() {
			runs[key] += count
		}
	}
	for key, count := range runs {
		if count > 1 {
			faults = append(faults, fmt.Sprintf("key %s ran %d times", key, count))
		}
	}
	sort.Strings(faults)
	return faults
}

// Write prints the report as a table.
func (r Report) Write(w io.Writer) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "REQUESTS\tOUTCOME\tCOUNT")
	for _, kind := range sortedKeys(r.Outcomes) {
		for _, outcome := range sortedKeys(r.Outcomes[kind]) {
			fmt.Fprintf(table, "%s\t%s\t%d\n", kind, outcome, r.Outcomes[kind][outcome])
		}
	}
	for _, code := range sortedKeys(r.Codes) {
		fmt.Fprintf(table, "refusals\t%s\t%d\n", code, r.Codes[code])
	}
	fmt.Fprintln(table, "\t\t")
	fmt.Fprintf(table, "first token\tp50\t%.1f ms\n", r.FirstTokenP50)
	fmt.Fprintf(table, "first token\tp95\t%.1f ms\n", r.FirstTokenP95)
	fmt.Fprintf(table, "skew\tmax/mean requests\t%.2f\n", r.Skew)
	fmt.Fprintf(table, "cache reuse\tof requests\t%.2f\n", r.CacheReuse)
	fmt.Fprintf(table, "control traffic\ta router\t%.1f KB/s\n", r.ControlBytes/1000)
	table.Flush()
	for _, fault := range r.Faults {
		fmt.Fprintln(w, "FAULT:", fault)
	}
}

func sortedKeys[K ~string, V any](values map[K]V) []K {
	keys := make([]K, 0, len(values))
	for key := range values {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i] < keys[j] })
	return keys
}
