package scaling

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/core/routing"
	"agateswitch/core/scaling"
)

// Path is the path at which routers list what they would order, as a JSON array of Plan.
const Path = "/scaling"

// Bounds on what a decision may rest on.
const (
	// maxLoadAge is the age of other routers' load from which on it is not used.
	maxLoadAge = 1600 * time.Millisecond
	// maxUnheardShare is the share of routers whose load may be missing.
	maxUnheardShare = 0.1
	// maxUnableShare is the share of a pool's engines above which a router that can't work with them doubts its own view.
	maxUnableShare = 0.5
)

// Reasons why a need is not known.
const (
	problemNoLoad    = "no load of other routers has arrived"
	problemLoadLate  = "the load of other routers is late"
	problemUnheard   = "the load of some routers is missing"
	problemEntryLate = "the engines' entries may be out of date"
	problemUnable    = "this router can't work with most of the engines"
)

// Plan is what a router would order for a pool in a data centre, and why.
type Plan struct {
	Pool       fleet.PoolID     `json:"pool"`
	DataCentre fleet.DataCentre `json:"data_centre"`
	// Held is true if this router holds the duty. Only the holder has an order in force, a decision and a reason.
	Held bool `json:"held"`
	// Ordered is the number of engines in force, and Engines the one to order now.
	Ordered int    `json:"ordered,omitempty"`
	Engines int    `json:"engines,omitempty"`
	Reason  string `json:"reason,omitempty"`
	// Problem says why the need is not known; empty if it is.
	Problem string `json:"problem,omitempty"`
	// Wanted is the number of engines that the need of this moment asks for in the data centre, without regard to the limits.
	Wanted float64 `json:"wanted"`
	Min    int     `json:"min"`
	Max    int     `json:"max"`
	// Listed is the number of registered engines that do not leave, and Able how many sound ones they are worth.
	Listed int     `json:"listed"`
	Able   float64 `json:"able"`
	// Out is true if the data centre is taken out of service.
	Out bool `json:"out,omitempty"`
	// PoolNeed is the number of engines that the whole pool needs for the requests that its engines hold and the prompt tokens that they
	// have to read.
	PoolNeed    float64 `json:"pool_need"`
	PoolRunning int     `json:"pool_running"`
	PoolPending int     `json:"pool_pending_tokens"`
	LoadAgeMs   int64   `json:"load_age_ms"`
	CopyAgeMs   int64   `json:"copy_age_ms"`
	Unheard     int     `json:"unheard"`
	// LastOrder is the last order that this router sent.
	LastOrder *LastOrder `json:"last_order,omitempty"`

	pool scaling.Pool
}

// LastOrder is an order and what came of it.
type LastOrder struct {
	Engines int       `json:"engines"`
	Outcome string    `json:"outcome"`
	At      time.Time `json:"at"`
}

// look returns the plan of a pool in a data centre without a decision.
func (s *Service) look(pool routing.Pool, at place) Plan {
	engines, out := s.Pools.PoolEngines(pool.ID)
	places := s.placesOf(pool.ID)
	for dataCentre := range places {
		places[dataCentre] = out[dataCentre]
	}
	measured := scaling.Measure(engines, places, policyOf(pool).Down)
	age, isKnown := s.Loads.Age()
	unheard, throughRelays := s.Loads.Unheard()
	copyAge, supply := s.CopyAge(), measured.Supply[at.dataCentre]
	plan := Plan{
		Pool: pool.ID, DataCentre: at.dataCentre, Min: pool.Scaling.Min, Max: pool.Scaling.Max, Listed: supply.Listed, Able: supply.Able,
		Out: supply.Out, PoolNeed: measured.Need, PoolRunning: measured.Running, PoolPending: measured.Pending,
		Wanted: measured.PartOf(at.dataCentre, limitsOf(pool)), CopyAgeMs: copyAge.Milliseconds(), Unheard: unheard, pool: measured,
	}
	isAlone := s.Fleet.Count() <= 1
	if isKnown {
		plan.LoadAgeMs = age.Milliseconds()
	}
	switch {
	case copyAge > s.MaxCopyAge:
		plan.Problem = problemEntryLate
	case !isKnown && !isAlone:
		plan.Problem = problemNoLoad
	case age > maxLoadAge && !isAlone:
		plan.Problem = problemLoadLate
	case throughRelays && unheard > 0 || float64(unheard) > maxUnheardShare*float64(s.Fleet.Count()):
		plan.Problem = problemUnheard
	case isMostlyUnable(engines):
		plan.Problem = problemUnable
	}
	return plan
}

// isMostlyUnable reports whether this router can't work with most engines.
func isMostlyUnable(engines []scaling.Engine) bool {
	unable, listed := 0, 0
	for _, e := range engines {
		if e.Leaving {
			continue
		}
		listed++
		if e.Unable {
			unable++
		}
	}
	return float64(unable) > maxUnableShare*float64(listed)
}

// take adds a holder's decision.
func (p *Plan) take(d scaling.Decision) {
	p.Held, p.Engines, p.Ordered, p.Reason = true, d.Engines, d.InForce, string(d.Reason)
	if p.Problem == "" {
		p.Wanted = d.Wanted
	}
}

// fields returns the plan as fields of a log line.
func (p Plan) fields() []any {
	return []any{
		"pool", p.Pool, "datacentre", p.DataCentre, "engines", p.Engines, "ordered", p.Ordered, "reason", p.Reason, "problem", p.Problem,
		"wanted", p.Wanted, "listed", p.Listed, "able", p.Able, "out", p.Out, "pool_need", p.PoolNeed, "pool_running", p.PoolRunning,
		"pool_pending", p.PoolPending, "load_age_ms", p.LoadAgeMs, "copy_age_ms", p.CopyAgeMs, "unheard", p.Unheard,
	}
}

// Plans returns what this router would order now, by pool and data centre. As the holder it returns its last decisions.
func (s *Service) Plans() []Plan {
	plans := []Plan{}
	for _, pool := range s.Pools.ScaledPools() {
		for dataCentre := range s.placesOf(pool.ID) {
			plan := s.look(pool, place{pool.ID, dataCentre})
			if held, found := s.lastPlan(place{pool.ID, dataCentre}); found {
				plan = held
			}
			plans = append(plans, plan)
		}
	}
	slices.SortFunc(plans, func(a, b Plan) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.DataCentre, b.DataCentre))
	})
	return plans
}

// lastPlan returns the last decision of this router as the holder.
func (s *Service) lastPlan(at place) (Plan, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h, found := s.holdings[at]
	if !found || time.Since(h.decidedAt) > 2*sendTimeout {
		return Plan{}, false
	}
	return h.plan, true
}

// ServeHTTP answers GET requests with the plans as JSON.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet {
		http.Error(w, "only GET is supported", http.StatusMethodNotAllowed)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(s.Plans()); err != nil {
		s.Log.Debug("failed to send the plans for engines", "err", err)
	}
}
