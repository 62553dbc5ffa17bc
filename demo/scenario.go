package demo

import (
	"context"
	"encoding/json"
	"sort"
	"strings"
	"time"

	"agateswitch/adapter/operatorclient"
	"agateswitch/core/configuration"
	"agateswitch/core/fleet"

	"github.com/juju/errors"
)

// Mix tells what a caller sends.
type Mix struct {
	// PromptWords and Tokens are the most words of a prompt and tokens of an answer.
	PromptWords int
	Tokens      int
	// Pause is the mean time between two calls of a caller.
	Pause time.Duration
	// Callers is the number of callers for each router.
	Callers int
}

// Phase is a part of a scenario.
type Phase struct {
	Name string
	// Share is the phase's part of the run, all phases together being 1.
	Share float64
	Mix   Mix
	// Surge is the number of further callers, for each router, of the surging team.
	Surge int
	// Begin is done when the phase begins; it may be nil.
	Begin func(ctx context.Context, f *Fleet) error
}

// Scenario is a course of load and of operators' work.
type Scenario struct {
	Name   string
	Title  string
	Phases []Phase
}

var (
	mixed   = Mix{PromptWords: 200, Tokens: 48, Pause: 20 * time.Millisecond, Callers: 6}
	morning = Mix{PromptWords: 20, Tokens: 12, Pause: 10 * time.Millisecond, Callers: 10}
	evening = Mix{PromptWords: 1500, Tokens: 160, Pause: 100 * time.Millisecond, Callers: 6}
)

// scenarios holds every scenario by its name.
var scenarios = map[string]Scenario{
	"mixed": {Title: "requests of every size", Phases: []Phase{
		{Name: "mixed", Share: 1, Mix: mixed},
	}},
	"morning": {Title: "many small requests", Phases: []Phase{
		{Name: "morning", Share: 1, Mix: morning},
	}},
	"evening": {Title: "fewer and larger requests", Phases: []Phase{
		{Name: "evening", Share: 1, Mix: evening},
	}},
	"surge": {Title: "one team sends far more than its contract", Phases: []Phase{
		{Name: "before", Share: 0.25, Mix: mixed},
		{Name: "surge", Share: 0.5, Mix: mixed, Surge: 24},
		{Name: "after", Share: 0.25, Mix: mixed},
	}},
	"failures": failures,
	"datacentre": {Title: "a data centre is taken out and comes back", Phases: []Phase{
		{Name: "before", Share: 0.25, Mix: mixed},
		{Name: "out", Share: 0.4, Mix: mixed, Begin: setLastDataCentre(true)},
		{Name: "back", Share: 0.35, Mix: mixed, Begin: setLastDataCentre(false)},
	}},
}

// FindScenario returns the scenario of a name.
func FindScenario(name string) (Scenario, error) {
	scenario, found := scenarios[name]
	if !found {
		return Scenario{}, errors.Errorf("no scenario %q; there are %s", name, strings.Join(ScenarioNames(), ", "))
	}
	scenario.Name = name
	return scenario, nil
}

// ScenarioNames returns the names of all scenarios in order.
func ScenarioNames() []string {
	names := make([]string, 0, len(scenarios))
	for name := range scenarios {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// setLastDataCentre takes the example's last data centre out, or brings it back.
func setLastDataCentre(out bool) func(context.Context, *Fleet) error {
	return func(ctx context.Context, f *Fleet) error {
		names := f.Example.Topology.DataCentres
		dataCentre := configuration.DataCentre{Name: names[len(names)-1], Out: out}
		value, err := json.Marshal(dataCentre)
		if err != nil {
			return errors.Trace(err)
		}
		key := configuration.Key{Kind: configuration.KindDataCentre, Name: string(dataCentre.Name)}
		_, err = operatorclient.New(f.Operators[0], OperatorToken).Put(ctx, key, value, operatorclient.ChangeOptions{})
		return err
	}
}

// surgingTeam is the team that sends too much in the surge scenario: the one with the
// lowest priority and rate.
func (f *Fleet) surgingTeam() fleet.Team {
	least := f.Example.Contracts[0]
	for _, contract := range f.Example.Contracts {
		if contract.RequestsPerSecond < least.RequestsPerSecond {
			least = contract
		}
	}
	return least.Team
}
