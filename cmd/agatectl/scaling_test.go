package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"agateswitch/node/scaling"

	"github.com/shoenig/test/must"
)

func TestScalingPlanCommand(t *testing.T) {
	plans := []scaling.Plan{
		{Pool: "lm", DataCentre: "arima", Held: true, Ordered: 47, Engines: 60, Reason: "more demand", Wanted: 59.5, Min: 39, Max: 94, Listed: 47, Able: 46},
		{Pool: "lm", DataCentre: "tunapuna", Wanted: 59.5, Min: 39, Max: 94, Listed: 46, Able: 46},
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		must.Eq(t, scaling.Path, r.URL.Path)
		json.NewEncoder(w).Encode(plans)
	}))
	defer server.Close()
	o := operator{t: t, server: strings.TrimPrefix(server.URL, "http://")}
	printed := o.mustCall("scaling", "plan")
	must.StrContains(t, printed, "lm    arima        47      46.0  59.5    39-94   47       60    more demand             -\n")
	must.StrContains(t, printed, "lm    tunapuna     46      46.0  59.5    39-94   -        -     another router decides  -\n")
	must.StrContains(t, o.mustCall("scaling", "plan", "-o", "json"), `"ordered": 47`)
}
