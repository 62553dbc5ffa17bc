package main

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"agateswitch/enginemodel/supply"

	"github.com/shoenig/test/must"
)

// runOffline runs a command that needs no router.
func runOffline(t *testing.T, args ...string) (code int, stdout, stderr string) {
	t.Helper()
	var out, errs bytes.Buffer
	code = run(t.Context(), args, &out, &errs)
	return code, out.String(), errs.String()
}

func TestExperimentPrintsResultsAndPlot(t *testing.T) {
	plot := filepath.Join(t.TempDir(), "plot.svg")
	code, stdout, stderr := runOffline(t, "experiment", "--load", "hot-prompt", "--policies", "prompt,random", "--plot", plot, "-o", "json")
	must.Eq(t, 0, code, must.Sprint(stderr))
	var results []policyResult
	must.NoError(t, json.Unmarshal([]byte(stdout), &results))
	must.Len(t, 2, results)
	must.Eq(t, "prompt", results[0].Policy)
	must.Less(t, results[0].Reuse, results[1].Reuse)
	must.Len(t, 3, results[1].Kinds)
	drawn, err := os.ReadFile(plot)
	must.NoError(t, err)
	must.StrContains(t, string(drawn), "round-plan")

	var printed bytes.Buffer
	must.NoError(t, printExperiment(&printed, "hot-prompt", results))
	must.StrContains(t, printed.String(), "aftercare-chat")
}

func TestExperimentRefusesUnknownNames(t *testing.T) {
	for _, args := range [][]string{{"--load", "flood"}, {"--policies", "guess"}, {"extra"}} {
		code, _, stderr := runOffline(t, append([]string{"experiment"}, args...)...)
		must.Eq(t, exitUsage, code, must.Sprint(args))
		must.StrContains(t, stderr, args[len(args)-1])
	}
}

func TestExperimentScalingPrintsResultsAndPlot(t *testing.T) {
	plot := filepath.Join(t.TempDir(), "plot.svg")
	code, stdout, stderr := runOffline(t, "experiment", "scaling", "--load", "step-down", "--plot", plot, "-o", "json")
	must.Eq(t, 0, code, must.Sprint(stderr))
	var results []supplyResult
	must.NoError(t, json.Unmarshal([]byte(stdout), &results))
	var played []string
	for _, result := range results {
		played = append(played, result.Policy)
	}
	must.Eq(t, supply.PolicyNames(), played)
	drawn, err := os.ReadFile(plot)
	must.NoError(t, err)
	must.StrContains(t, string(drawn), "lasting")
	_, stdout, _ = runOffline(t, "experiment", "scaling", "--policies", "lasting")
	must.StrContains(t, stdout, "engine seconds")
	for _, args := range [][]string{{"--load", "flood"}, {"--policies", "guess"}} {
		code, _, stderr = runOffline(t, append([]string{"experiment", "scaling"}, args...)...)
		must.Eq(t, exitUsage, code)
		must.StrContains(t, stderr, args[1])
	}
}
