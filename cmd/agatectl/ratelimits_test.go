package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"agateswitch/node/ratelimit"

	"github.com/shoenig/test/must"
)

// The list has a line for each upstream with a limit.
func TestRateLimitsCommand(t *testing.T) {
	limits := []ratelimit.Limit{{Upstream: "e1", Incarnation: 7, PerSecond: 2.9, StatedAgoMs: 140, Keeper: "front-1"}}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		must.Eq(t, ratelimit.Path, r.URL.Path)
		json.NewEncoder(w).Encode(limits)
	}))
	defer server.Close()
	o := operator{t: t, server: strings.TrimPrefix(server.URL, "http://")}
	must.Eq(t, "UPSTREAM  PER SECOND  STATED     KEEPER\ne1        2.9         140ms ago  front-1\n", o.mustCall("rate-limits"))
	var printed []ratelimit.Limit
	must.NoError(t, json.Unmarshal([]byte(o.mustCall("rate-limits", "-o", "json")), &printed))
	must.Eq(t, limits, printed)
}
