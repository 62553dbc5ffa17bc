package main

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"agateswitch/demo"

	"github.com/shoenig/test/must"
)

// runCommand runs one command in the test's process.
func runCommand(args ...string) (code int, stdout, stderr string) {
	var out, errs bytes.Buffer
	code = run(args, &out, &errs)
	return code, out.String(), errs.String()
}

func TestInvalidSettingsPrintEveryProblem(t *testing.T) {
	file := filepath.Join(t.TempDir(), "bad.jsonc")
	must.NoError(t, os.WriteFile(file, []byte("{\n  \"zone\": 1,\n  \"drain\": \"soon\"\n}"), 0o600))
	for _, command := range []string{"check", "serve"} {
		code, _, stderr := runCommand(command, file)
		must.Eq(t, exitFailure, code)
		must.StrContains(t, stderr, file+":2: zone: is not a known field")
		must.StrContains(t, stderr, file+":3: drain: \"soon\" is not a time")
		must.StrContains(t, stderr, "host.id: is missing")
		must.StrContains(t, stderr, "nothing started")
	}
}

func TestCheckAcceptsTheExamples(t *testing.T) {
	for _, name := range []string{"hoofline", "blue-mahoe"} {
		code, stdout, stderr := runCommand("check", filepath.Join("..", "..", "examples", name, "router.jsonc"))
		must.Eq(t, 0, code, must.Sprint(stderr))
		must.StrContains(t, stdout, "router.jsonc: ok")
	}
}

func TestInvalidArgumentsExitWithUsage(t *testing.T) {
	cases := [][]string{
		{"frobnicate"}, {"serve"}, {"check", "a", "b"}, {"demo", "--routers", "0"}, {"demo", "--colour"},
		{"demo", "--example", "nobody"}, {"demo", "--scenario", "storm"}, {"demo", "-o", "xml"}, {"demo", "--run-for", "0s"}, {"standin", "engine"},
	}
	for _, args := range cases {
		code, _, stderr := runCommand(args...)
		must.Eq(t, exitUsage, code, must.Sprint(args, stderr))
		must.StrHasPrefix(t, "agateswitch: ", stderr)
	}
}

func TestDemoReportsWithoutFaults(t *testing.T) {
	code, stdout, stderr := runCommand("demo", "--run-for", "1s", "--routers", "2", "-o", "json")
	must.Eq(t, 0, code, must.Sprint(stderr))
	var report demo.Report
	must.NoError(t, json.Unmarshal([]byte(stdout), &report))
	must.SliceEmpty(t, report.Faults)
	must.Len(t, 1, report.Phases)
	must.Positive(t, report.Phases[0].Outcomes[demo.KindChat][demo.Complete])
}

// The help of each runnable command has an example.
func TestEveryCommandHasAnExample(t *testing.T) {
	var accepted bool
	commands := rootCommand(&accepted).Commands()
	for len(commands) > 0 {
		command := commands[0]
		commands = append(commands[1:], command.Commands()...)
		if command.Runnable() && command.Name() != "help" {
			must.NotEq(t, "", command.Example, must.Sprint(command.CommandPath()))
		}
	}
}
