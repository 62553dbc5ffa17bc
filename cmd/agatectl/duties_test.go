package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"agateswitch/node/duty"

	"github.com/shoenig/test/must"
)

// The list has a line for each subject; only the holder knows since when it holds it and how its last call ended.
func TestDutiesCommand(t *testing.T) {
	duties := []duty.Status{
		{Duty: "usage", Subject: "fleet", Holds: true, Holder: "front-1", Token: 7, HeldMs: 5000, LeftMs: 1200, Calls: 2, LastCallMs: 300, LastOutcome: "done"},
		{Duty: "probe", Subject: "b", Rank: 3},
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		must.Eq(t, duty.Path, r.URL.Path)
		must.NoError(t, json.NewEncoder(w).Encode(duties))
	}))
	defer server.Close()
	o := operator{t: t, server: strings.TrimPrefix(server.URL, "http://")}
	must.Eq(t, "DUTY   SUBJECT  HOLDER   TOKEN  RANK  HELD  LEFT  CALLS  LAST CALL\n"+
		"usage  fleet    front-1  7      0     5s    1.2s  2      300ms ago: done\n"+
		"probe  b        -        0      3     -     -     0      -\n", o.mustCall("duties"))
	var printed []duty.Status
	must.NoError(t, json.Unmarshal([]byte(o.mustCall("duties", "-o", "json")), &printed))
	must.Eq(t, duties, printed)
}
