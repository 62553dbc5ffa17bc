package enginemodel

import (
	"slices"
	"time"
)

// Users' limit on the load of one engine: capFactor times the mean of its pool, and capSlack.
const (
	capFactor = 2
	capSlack  = 3
)

// KindResult is what came of the requests of a kind.
type KindResult struct {
	Kind string `json:"kind"`
	// Requests were sent; InAim had their first event in time, Late had it before their deadline, Expired had
	// none by then. Refused ones were turned away at once, Lost ones were on an engine that crashed.
	Requests int `json:"requests"`
	InAim    int `json:"in_aim"`
	Late     int `json:"late"`
	Expired  int `json:"expired"`
	Refused  int `json:"refused"`
	Lost     int `json:"lost"`
	// P50, P95 and P99 are the times to the first event of those that had one.
	P50 time.Duration `json:"p50_ns"`
	P95 time.Duration `json:"p95_ns"`
	P99 time.Duration `json:"p99_ns"`
}

// Served returns the share of the requests that had an event before their deadline.
func (r KindResult) Served() float64 {
	return float64(r.InAim+r.Late) / float64(max(1, r.Requests))
}

// Result is the result of a run.
type Result struct {
	Kinds []KindResult `json:"kinds"`
	// Reuse is the share of shared tokens that engines had cached.
	Reuse float64 `json:"reuse"`
	// Skew is the load of the busiest engine over the mean, averaged over time.
	Skew float64 `json:"skew"`
	// OverCap is the share of arrivals at an engine above the users' limit on its load.
	OverCap float64 `json:"over_cap"`
}

// collector gathers a result.
type collector struct {
	load           Load
	result         Result
	firstEvents    [][]time.Duration
	shared, cached int
	skews          float64
	snapshots      int
	arrivals, over int
}

func newCollector(load Load) collector {
	c := collector{load: load, firstEvents: make([][]time.Duration, len(load.Kinds))}
	for _, kind := range load.Kinds {
		c.result.Kinds = append(c.result.Kinds, KindResult{Kind: kind.Name})
	}
	return c
}

func (c *collector) offer(r *request)  { c.result.Kinds[r.kind].Requests++ }
func (c *collector) refuse(r *request) { c.result.Kinds[r.kind].Refused++ }

// lose records that a request's engine has crashed. A stream that has begun is lost too.
func (c *collector) lose(r *request) {
	if r.counted != nil {
		*r.counted--
	}
	c.result.Kinds[r.kind].Lost++
}

func (c *collector) reuse(shared, cached int) {
	c.shared, c.cached = c.shared+shared, c.cached+cached
}

// arrive records an arrival at an engine.
func (c *collector) arrive(engines []*engine, chosen int) {
	sum, live := 0, 0
	for _, e := range engines {
		if !e.down && !e.leaving {
			sum, live = sum+len(e.running)+len(e.waiting), live+1
		}
	}
	c.arrivals++
	holds := len(engines[chosen].running) + len(engines[chosen].waiting)
	if float64(holds) > capFactor*float64(sum)/float64(max(1, live))+capSlack {
		c.over++
	}
}

func (c *collector) addLoads(loads []engineLoad) {
	most, sum := 0, 0
	for _, load := range loads {
		most, sum = max(most, load.requests), sum+load.requests
	}
	if sum > 0 {
		c.skews += float64(most) * float64(len(loads)) / float64(sum)
		c.snapshots++
	}
}

// firstEvent records the time of a request's first event.
func (c *collector) firstEvent(r *request, took time.Duration) {
	kind, limits := &c.result.Kinds[r.kind], c.load.Kinds[r.kind]
	switch {
	case took <= limits.Aim:
		r.counted = &kind.InAim
	case took <= limits.Deadline:
		r.counted = &kind.Late
	default:
		r.counted = &kind.Expired
	}
	*r.counted++
	if took <= limits.Deadline {
		c.firstEvents[r.kind] = append(c.firstEvents[r.kind], took)
	}
}

// finish returns the result.
func (c *collector) finish() Result {
	for i, times := range c.firstEvents {
		slices.Sort(times)
		at := func(share float64) time.Duration {
			if len(times) == 0 {
				return 0
			}
			return times[min(len(times)-1, int(share*float64(len(times))))]
		}
		kind := &c.result.Kinds[i]
		kind.P50, kind.P95, kind.P99 = at(0.5), at(0.95), at(0.99)
	}
	c.result.Reuse = float64(c.cached) / float64(max(1, c.shared))
	c.result.Skew = c.skews / float64(max(1, c.snapshots))
	c.result.OverCap = float64(c.over) / float64(max(1, c.arrivals))
	return c.result
}
