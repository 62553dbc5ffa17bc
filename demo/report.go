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

// NewTally returns an empty tally.
func NewTally() *Tally {
	sketch, err := ddsketch.NewDefaultDDSketch(sketchAccuracy)
	if err != nil {
		panic(err)
	}
	return &Tally{outcomes: map[string]map[Outcome]int{}, codes: map[fleet.Code]int{}, firstToken: sketch}
}

// Add counts one result of a kind of call. First-token times are collected from complete answers to
// chats of callers that do not surge.
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
	if kind == KindChat && result.Outcome == Complete {
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

// PhaseReport holds the results and measurements of one phase.
type PhaseReport struct {
	Phase    string                     `json:"phase"`
	Outcomes map[string]map[Outcome]int `json:"outcomes"`
	Codes    map[fleet.Code]int         `json:"codes,omitempty"`
	// FirstTokenP50 and FirstTokenP95 are quantiles of the time to the first token in milliseconds,
	// for chats of callers that do not surge.
	FirstTokenP50 float64 `json:"first_token_p50_ms"`
	FirstTokenP95 float64 `json:"first_token_p95_ms"`
	// Skew is the ratio of the running requests of the busiest engine to the mean of all engines,
	// averaged over the samples with at least two requests per engine; 0 if there are no such samples.
	Skew float64 `json:"skew"`
	// CacheReuse is the share of requests whose chat was in the engine's cache.
	CacheReuse float64 `json:"cache_reuse"`
	// ControlBytes is the traffic between routers, sent and received, in bytes per router and second.
	ControlBytes float64 `json:"control_bytes_per_second"`
}

// Report is the report on a run of a scenario.
type Report struct {
	Example  string        `json:"example"`
	Scenario string        `json:"scenario"`
	Phases   []PhaseReport `json:"phases"`
	// Faults lists the observed events that must never occur.
	Faults []string `json:"faults"`
}

// report returns the outcomes and first-token times of a phase.
func (t *Tally) report(phase string) PhaseReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	summary := PhaseReport{Phase: phase, Outcomes: t.outcomes, Codes: t.codes}
	if quantiles, err := t.firstToken.GetValuesAtQuantiles([]float64{0.5, 0.95}); err == nil {
		summary.FirstTokenP50, summary.FirstTokenP95 = quantiles[0], quantiles[1]
	}
	return summary
}

// faults describes the outcomes that are faults of the system.
func (t *Tally) faults(phase string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var faults []string
	for _, kind := range sortedKeys(t.outcomes) {
		for _, outcome := range []Outcome{Lost, Truncated, Mismatched, Duplicated} {
			if count := t.outcomes[kind][outcome]; count > 0 {
				faults = append(faults, fmt.Sprintf("%s: %d %s answers %s", phase, count, kind, outcome))
			}
		}
	}
	return faults
}

// repeatedRuns describes the idempotency keys that ran more than once on all services together.
func (f *Fleet) repeatedRuns() []string {
	runs := map[string]int{}
	for _, started := range f.Services {
		for key, count := range started.Runs() {
			runs[key] += count
		}
	}
	var faults []string
	for _, key := range sortedKeys(runs) {
		if runs[key] > 1 {
			faults = append(faults, fmt.Sprintf("key %s ran %d times", key, runs[key]))
		}
	}
	return faults
}

// Write prints the report as a table.
func (r Report) Write(w io.Writer) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, phase := range r.Phases {
		phase.write(table)
	}
	table.Flush()
	for _, fault := range r.Faults {
		fmt.Fprintln(w, "FAULT:", fault)
	}
}

func (p PhaseReport) write(table io.Writer) {
	fmt.Fprintf(table, "PHASE %s\tOUTCOME\tCOUNT\n", p.Phase)
	for _, kind := range sortedKeys(p.Outcomes) {
		for _, outcome := range sortedKeys(p.Outcomes[kind]) {
			fmt.Fprintf(table, "%s\t%s\t%d\n", kind, outcome, p.Outcomes[kind][outcome])
		}
	}
	for _, code := range sortedKeys(p.Codes) {
		fmt.Fprintf(table, "refusals\t%s\t%d\n", code, p.Codes[code])
	}
	fmt.Fprintf(table, "first token\tp50\t%.1f ms\n", p.FirstTokenP50)
	fmt.Fprintf(table, "first token\tp95\t%.1f ms\n", p.FirstTokenP95)
	fmt.Fprintf(table, "skew\tmax/mean running\t%.2f\n", p.Skew)
	fmt.Fprintf(table, "cache reuse\tof requests\t%.2f\n", p.CacheReuse)
	fmt.Fprintf(table, "control traffic\ta router\t%.1f KB/s\n\t\t\n", p.ControlBytes/1000)
}

func sortedKeys[K ~string, V any](values map[K]V) []K {
	keys := make([]K, 0, len(values))
	for key := range values {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i] < keys[j] })
	return keys
}
