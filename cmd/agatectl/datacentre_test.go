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

func (o operator) fleetStatus() operatorhttp.FleetAnswer {
	o.t.Helper()
	var status operatorhttp.FleetAnswer
	must.NoError(o.t, json.Unmarshal([]byte(o.mustCall("status", "-o", "json")), &status))
	return status
}

// awaitRouters waits until the router lists the given number of routers; its host list lags behind.
func (o operator) awaitRouters(count int) {
	o.t.Helper()
	for len(o.fleetStatus().Routers) < count {
		must.NoError(o.t, o.t.Context().Err())
	}
}

func (o operator) dataCentre(name fleet.DataCentre) operatorhttp.DataCentreStatus {
	o.t.Helper()
	for _, found := range o.fleetStatus().DataCentres {
		if found.Name == name {
			return found
		}
	}
	o.t.Fatalf("status does not show %s", name)
	return operatorhttp.DataCentreStatus{}
}

// With --plan the command changes nothing, with --wait it returns once the data centre is drained, and
// with --ramp a data centre returns at a low weight.
func TestDataCentreOutAndIn(t *testing.T) {
	o := startFleet(t)
	o.awaitRouters(2)
	plan := o.mustCall("datacentre", "out", "arima", "--plan")
	must.StrContains(t, plan, "pool farrier-lm: takes out")
	must.StrContains(t, plan, "% of the bound")
	must.Eq(t, operatorhttp.DataCentreIn, o.dataCentre("arima").State)

	code, _, stderr := o.call("datacentre", "out", "arima", "--wait", "--timeout", "1m")
	must.Eq(t, 0, code, must.Sprint(stderr))
	must.StrContains(t, stderr, "in force on all 2 live routers")
	must.StrContains(t, stderr, "data centre arima is out, nothing runs there")
	must.Eq(t, operatorhttp.DataCentreOut, o.dataCentre("arima").State)

	o.mustCall("datacentre", "in", "arima", "--ramp", "3600", "--wait", "--timeout", "1m")
	returning := o.dataCentre("arima")
	must.Eq(t, operatorhttp.DataCentreReturning, returning.State)
	must.Less(t, 0.5, returning.Weight)
}

// Invalid changes are refused with a reason; --force accepts taking out the last data centre.
func TestInvalidDataCentreChangesAreRefused(t *testing.T) {
	o := startFleet(t)
	assertRefused := func(want string, args ...string) {
		t.Helper()
		code, _, stderr := o.call(args...)
		must.Eq(t, exitRefused, code)
		must.StrContains(t, stderr, want)
	}
	assertRefused("the host list does not know", "datacentre", "out", "nowhere")
	o.mustCall("datacentre", "out", "arima")
	o.mustCall("datacentre", "out", "tunapuna")
	assertRefused("no other data centre is in", "datacentre", "out", "santa-rosa", "--plan")
	assertRefused("no other data centre is in", "datacentre", "out", "santa-rosa")
	// The same rules apply when the data centre is written as a configuration item.
	key := configuration.Key{Kind: configuration.KindDataCentre, Name: "santa-rosa"}
	value := []byte(`{"name":"santa-rosa","out":true}`)
	_, err := operatorclient.New(o.server, o.token).Put(t.Context(), key, value, operatorclient.ChangeOptions{})
	must.ErrorContains(t, err, "no other data centre is in")
	_, err = operatorclient.New(o.server, o.token).Put(t.Context(), key, []byte(`{"name":"santa-rosa","outt":true}`), operatorclient.ChangeOptions{})
	must.ErrorContains(t, err, "unknown field")
	key.Name = "arima"
	_, err = operatorclient.New(o.server, o.token).Delete(t.Context(), key, operatorclient.ChangeOptions{})
	must.ErrorContains(t, err, "bring it in first")
	o.mustCall("datacentre", "out", "santa-rosa", "--force")
	assertRefused("contracts name this pool", "pool", "delete", "farrier-lm")
}
