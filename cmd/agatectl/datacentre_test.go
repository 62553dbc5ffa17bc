package main

import (
	"encoding/json"
	"testing"

	"agateswitch/adapter/operatorclient"
	"agateswitch/adapter/operatorhttp"
	"agateswitch/core/configuration"
	"agateswitch/core/fleet"

	"github.com/shoenig/test/must"
)

func (o operator) fleet() operatorhttp.FleetAnswer {
	o.t.Helper()
	var status operatorhttp.FleetAnswer
	must.NoError(o.t, json.Unmarshal([]byte(o.must("status", "-o", "json")), &status))
	return status
}

// awaitRouters waits until the asked router has seen the others on the lagging host list.
func (o operator) awaitRouters(count int) {
	o.t.Helper()
	for len(o.fleet().Routers) < count {
		must.NoError(o.t, o.t.Context().Err())
	}
}

func (o operator) dataCentre(name fleet.DataCentre) operatorhttp.DataCentreStatus {
	o.t.Helper()
	for _, found := range o.fleet().DataCentres {
		if found.Name == name {
			return found
		}
	}
	o.t.Fatalf("status does not show %s", name)
	return operatorhttp.DataCentreStatus{}
}

// A data centre leaves and returns by the commands, with its plan, its end and its ramp.
func TestDataCentreLeavesAndReturns(t *testing.T) {
	o := startFleet(t)
	o.awaitRouters(2)
	plan := o.must("datacentre", "out", "arima", "--plan")
	must.StrContains(t, plan, "pool farrier-lm: takes out")
	must.StrContains(t, plan, "% of the bound")
	must.Eq(t, operatorhttp.DataCentreIn, o.dataCentre("arima").State)

	code, _, stderr := o.call("datacentre", "out", "arima", "--wait", "--timeout", "1m")
	must.Eq(t, 0, code, must.Sprint(stderr))
	must.StrContains(t, stderr, "in force on all 2 live routers")
	must.StrContains(t, stderr, "data centre arima is out, nothing runs there")
	must.Eq(t, operatorhttp.DataCentreOut, o.dataCentre("arima").State)

	o.must("datacentre", "in", "arima", "--ramp", "3600", "--wait", "--timeout", "1m")
	returning := o.dataCentre("arima")
	must.Eq(t, operatorhttp.DataCentreReturning, returning.State)
	must.Less(t, 0.5, returning.Weight)
}

// Mistakes are refused with their reason, and forced only when that is said.
func TestDataCentreMistakesAreRefused(t *testing.T) {
	o := startFleet(t)
	refused := func(want string, args ...string) {
		t.Helper()
		code, _, stderr := o.call(args...)
		must.Eq(t, exitRefused, code)
		must.StrContains(t, stderr, want)
	}
	refused("the host list does not know", "datacentre", "out", "nowhere")
	o.must("datacentre", "out", "arima")
	o.must("datacentre", "out", "tunapuna")
	refused("no other data centre is in", "datacentre", "out", "santa-rosa", "--plan")
	refused("no other data centre is in", "datacentre", "out", "santa-rosa")
	// The rules hold for a data centre that is written as an item, too.
	key := configuration.Key{Kind: configuration.KindDataCentre, Name: "santa-rosa"}
	value := []byte(`{"name":"santa-rosa","out":true}`)
	_, err := operatorclient.New(o.server, o.token).Put(t.Context(), key, value, operatorclient.ChangeOptions{})
	must.ErrorContains(t, err, "no other data centre is in")
	_, err = operatorclient.New(o.server, o.token).Put(t.Context(), key, []byte(`{"name":"santa-rosa","outt":true}`), operatorclient.ChangeOptions{})
	must.ErrorContains(t, err, "unknown field")
	key.Name = "arima"
	_, err = operatorclient.New(o.server, o.token).Delete(t.Context(), key, operatorclient.ChangeOptions{})
	must.ErrorContains(t, err, "bring it in first")
	o.must("datacentre", "out", "santa-rosa", "--force")
	refused("contracts name this pool", "pool", "delete", "farrier-lm")
}
