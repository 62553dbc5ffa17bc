package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"agateswitch/core/fleethealth"
	"agateswitch/node/survey"

	"github.com/shoenig/test/must"
)

// The command prints a line for each data centre and for each router in doubt.
func TestSurveyCommand(t *testing.T) {
	summary := fleethealth.Summary{
		Routers: 295, Version: 12, FurtherDoubts: 3,
		DataCentres: []fleethealth.DataCentre{{Name: "arima", Routers: 60, Silent: 1, Watching: 2, OldestCopyMs: 1750}},
		Doubts:      []fleethealth.Doubt{{Host: "front-arima-9", DataCentre: "arima", Reason: "does not answer"}},
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		must.Eq(t, survey.Path, r.URL.Path)
		json.NewEncoder(w).Encode(summary)
	}))
	defer server.Close()
	o := operator{t: t, server: strings.TrimPrefix(server.URL, "http://")}
	must.Eq(t, `295 routers, version 12 of the desired state
DATA CENTRE  ROUTERS  SILENT  STARTING  BEHIND  LEAVING  WATCHING  CUT OFF  OLDEST COPY
arima        60       1       0         0       0        2         0        1.8 s
front-arima-9 (arima): does not answer
and 3 more in doubt
`, o.mustCall("survey"))
	var printed fleethealth.Summary
	must.NoError(t, json.Unmarshal([]byte(o.mustCall("survey", "-o", "json")), &printed))
	must.Eq(t, summary, printed)
}
