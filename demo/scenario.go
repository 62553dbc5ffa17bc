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

// Mix describes the callers of a phase and the sizes of their requests.
type Mix struct {
	// PromptWords and Tokens are the maximum number of words in a prompt and of tokens in an answer.
	PromptWords int
	Tokens      int
	// Pause is the mean pause between two calls of a caller.
	Pause time.Duration
	// Callers is the number of callers per router.
	Callers int
}

// Phase is a part of a scenario.
type Phase struct {
	Name string
	// Share is the phase's share of the run time. The shares of all phases add up to 1.
	Share float64
	Mix   Mix
	// Surge is the number of additional callers of the surging team per router.
	Surge int
	// Begin runs before the phase; it may be nil.
	Begin func(ctx context.Context, f *Fleet) error
}

// Scenario is a sequence of phases with their load, failures and operator actions.
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

// scenarios holds all scenarios by name. FindScenario sets their Name.
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

// FindScenario returns the scenario with a name.
func FindScenario(name string) (Scenario, error) {
	scenario, found := scenarios[name]
	if !found {
		return Scenario{}, errors.Errorf("no scenario %q; there are %s", name, strings.Join(ScenarioNames(), ", "))
	}
	scenario.Name = name
	return scenario, nil
}

// ScenarioNames returns the names of all scenarios, sorted.
func ScenarioNames() []string {
	names := make([]string, 0, len(scenarios))
	for name := range scenarios {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// setLastDataCentre takes the example's last data centre out of service, or returns it to service.
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

// surgingTeam returns the team that exceeds its contract in the surge scenario: the one with the
// lowest contracted rate.
func (f *Fleet) surgingTeam() fleet.Team {
	least := f.Example.Contracts[0]
	for _, contract := range f.Example.Contracts {
		if contract.RequestsPerSecond < least.RequestsPerSecond {
			least = contract
		}
	}
	return least.Team
}
