package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"agateswitch/core/fleet"
	"agateswitch/core/quarantine"
	node "agateswitch/node/quarantine"

	"github.com/shoenig/test/must"
)

// The list has a line for each part; a part is released by its id.
func TestQuarantineCommand(t *testing.T) {
	weight := quarantine.Weight{Ends: 4, PoolEnds: 9, With: 3, Requests: 30, BaseRate: 0.125, Factor: 812, Doubtful: true}
	holds := []node.Listed{{NextTrial: time.Date(2026, 12, 4, 12, 0, 5, 0, time.UTC), Hold: quarantine.Hold{
		Weight: &weight, Part: "5c1e07a2", Since: time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC), Router: "front-1", Engines: []fleet.UpstreamID{"e1", "e2"},
	}}, {Hold: quarantine.Hold{
		Part: "request-0a1b", Since: time.Date(2026, 12, 4, 13, 0, 0, 0, time.UTC), Router: "front-2", Engines: []fleet.UpstreamID{"e3"},
		Origin: quarantine.Origin{Route: "slots", Team: "team-one"}, Accompanied: 1, Released: true, OnTrial: true,
	}}, {Hold: quarantine.Hold{
		Part: "77aa", Since: time.Date(2026, 12, 4, 14, 0, 0, 0, time.UTC), Router: "front-2", Engines: []fleet.UpstreamID{"e4"}, Tried: true,
	}}}
	var released string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodDelete {
			released = r.URL.Path
			w.WriteHeader(http.StatusNoContent)
			return
		}
		must.Eq(t, node.Path, r.URL.Path)
		json.NewEncoder(w).Encode(holds)
	}))
	defer server.Close()
	o := operator{t: t, server: strings.TrimPrefix(server.URL, "http://")}
	must.Eq(t, `PART          STATE  SINCE                 BY       ROUTE  TEAM      IN COMPANY  ENDS  SHARE  BASE RATE  ODDS  NEXT TRIAL            ENDED ENGINES
5c1e07a2      held   2026-12-04T12:00:00Z  front-1                   0           4/9   3/30   0.12       812   2026-12-04T12:00:05Z  [e1 e2]
request-0a1b  trial  2026-12-04T13:00:00Z  front-2  slots  team-one  1           -     -      -          -     -                     [e3]
77aa          tried  2026-12-04T14:00:00Z  front-2                   0           -     -      -          -     -                     [e4]
`, o.mustCall("quarantine", "list"))
	var printed []node.Listed
	must.NoError(t, json.Unmarshal([]byte(o.mustCall("quarantine", "list", "-o", "json")), &printed))
	must.Eq(t, holds, printed)
	o.mustCall("quarantine", "release", "5c1e07a2")
	must.Eq(t, node.Path+"/5c1e07a2", released)
}
