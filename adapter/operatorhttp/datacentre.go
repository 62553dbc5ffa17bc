package operatorhttp

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"time"

	"agateswitch/core/configuration"
	"agateswitch/core/drain"
	"agateswitch/core/fleet"
	"agateswitch/node/configsync"
)

// PathDataCentre is the path for taking data centres out of service and returning them; the name
// follows.
const PathDataCentre = "/operator/v1/datacentre"

// Query parameters of a data centre's change, in addition to ParamDryRun.
const (
	// ParamOut is true to take the data centre out of service, false to return it.
	ParamOut = "out"
	// ParamRamp is the duration of the ramp after the return, in seconds.
	ParamRamp = "ramp_seconds"
	// ParamForce skips the checks that the host list contains the data centre and that another one
	// remains in service.
	ParamForce = "force"
)

// DataCentreAnswer is the answer to a change of a data centre.
type DataCentreAnswer struct {
	// Revision is the revision at which the change was accepted; 0 for a dry run.
	Revision configuration.Revision `json:"revision"`
	// Before and After are the data centre's configuration before and after the change.
	Before configuration.DataCentre `json:"before"`
	After  configuration.DataCentre `json:"after"`
	// Effects lists the effect of taking it out on each pool with upstreams in it.
	Effects []drain.Effect `json:"effects,omitempty"`
}

// setDataCentre takes a data centre out of service or returns it.
func (s *Server) setDataCentre(w http.ResponseWriter, r *http.Request) {
	name := fleet.DataCentre(r.PathValue("name"))
	query := r.URL.Query()
	out, err := strconv.ParseBool(query.Get(ParamOut))
	if err != nil {
		fail(w, http.StatusBadRequest, Failure{Code: fleet.CodeBadRequest, Message: ParamOut + " must be true or false"})
		return
	}
	ramp, err := strconv.Atoi(query.Get(ParamRamp))
	if err != nil && query.Get(ParamRamp) != "" {
		fail(w, http.StatusBadRequest, Failure{Code: fleet.CodeBadRequest, Message: ParamRamp + " is not a number"})
		return
	}
	change, planned := s.dataCentreChange(name, out, ramp, query.Get(ParamForce) == "true")
	if query.Get(ParamDryRun) == "true" {
		s.planDataCentre(w, change, planned)
		return
	}
	result := s.Config.Accept(r.Context(), change)
	if result.Refusal != nil {
		failResult(w, result)
		return
	}
	planned.Revision = result.Revision
	answer(w, planned)
}

// dataCentreChange returns the change that takes a data centre out of service or returns it, with
// the current time. Unless forced, the change includes its checks.
func (s *Server) dataCentreChange(name fleet.DataCentre, out bool, ramp int, force bool) (configsync.Change, DataCentreAnswer) {
	current := s.Config.Current()
	key := configuration.Key{Kind: configuration.KindDataCentre, Name: string(name)}
	item, _ := current.Item(key)
	planned := DataCentreAnswer{Before: current.DataCentre(name), Effects: s.effects(name, out)}
	planned.Before.Name = name
	planned.After = drain.Change(planned.Before, out, ramp, time.Now())
	// Marshalling a plain struct cannot fail.
	value, _ := json.Marshal(planned.After)
	change := configsync.Change{Key: key, Value: value, Expected: item.Revision}
	if !force {
		change.Check = s.checkDataCentre(name, out)
	}
	return change, planned
}

// withDataCentreRules adds the same time and checks to a data centre that is written as an item. A
// value with problems is left unchanged, and its validation refuses it.
func (s *Server) withDataCentreRules(change configsync.Change, force bool) configsync.Change {
	if change.Key.Kind != configuration.KindDataCentre || change.Value == nil {
		return change
	}
	var value configuration.DataCentre
	problems := configuration.ValidateItem(change.Key, change.Value, s.Config.Current())
	if len(problems) > 0 || json.Unmarshal(change.Value, &value) != nil {
		return change
	}
	checked, _ := s.dataCentreChange(value.Name, value.Out, value.RampSeconds, force)
	if change.Expected != configsync.AnyRevision {
		checked.Expected = change.Expected
	}
	return checked
}

// planDataCentre answers a dry run with the planned change or its problems.
func (s *Server) planDataCentre(w http.ResponseWriter, change configsync.Change, planned DataCentreAnswer) {
	problems := configuration.ValidateItem(change.Key, change.Value, s.Config.Current())
	if change.Check != nil {
		problems = append(problems, change.Check(s.Config.Current())...)
	}
	if len(problems) > 0 {
		refusal := fleet.Refuse(fleet.CodeInvalid, "the change has problems", 0)
		failResult(w, configsync.Result{Refusal: refusal, Problems: problems})
		return
	}
	answer(w, planned)
}

// checkDataCentre returns the check of a change. It runs against the configuration on which the
// change is committed, so that two concurrent changes cannot take out the last data centres.
func (s *Server) checkDataCentre(name fleet.DataCentre, out bool) func(*configuration.Snapshot) []configuration.Problem {
	listed := s.dataCentres()
	return func(current *configuration.Snapshot) []configuration.Problem {
		var problems []configuration.Problem
		if !slices.Contains(listed, name) {
			message := fmt.Sprintf("the host list does not know %q; it knows %v. Force it if the list lags", name, listed)
			problems = append(problems, configuration.Problem{Field: "name", Message: message})
		}
		if out && drain.IsLastInService(name, listed, current) {
			problems = append(problems, configuration.Problem{
				Field: "out", Message: "no other data centre is in: callers would be refused. Force it if that is meant",
			})
		}
		return problems
	}
}

// dataCentres returns the data centres of the host list, ordered by name.
func (s *Server) dataCentres() []fleet.DataCentre {
	var names []fleet.DataCentre
	for _, router := range s.Members.Routers() {
		names = append(names, router.DataCentre)
	}
	for _, pool := range s.pools() {
		for _, upstream := range s.Members.Upstreams(pool.Name) {
			names = append(names, upstream.DataCentre)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// pools returns the pools of the configuration in force.
func (s *Server) pools() []configuration.Pool {
	current := s.Config.Current()
	var pools []configuration.Pool
	for _, item := range current.Items(configuration.KindPool) {
		if pool, found := current.Pool(fleet.PoolID(item.Key.Name)); found {
			pools = append(pools, pool)
		}
	}
	return pools
}

// effects returns the effects of taking a data centre out on the pools with upstreams in it, and nil
// for its return.
func (s *Server) effects(name fleet.DataCentre, out bool) []drain.Effect {
	if !out {
		return nil
	}
	var effects []drain.Effect
	for _, pool := range s.pools() {
		effect := drain.EffectOn(pool, s.Members.Usable(pool.Name), name)
		if effect.Leaving > 0 {
			effects = append(effects, effect)
		}
	}
	return effects
}
