package main

import (
	"bytes"
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"testing"

	"agateswitch/adapter/operatorhttp"
	"agateswitch/core/configuration"
	"agateswitch/demo"
	"agateswitch/examples"

	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"
)

// operator runs agatectl commands against one router of a fleet.
type operator struct {
	t      *testing.T
	server string
	token  string
}

// startFleet starts a demo fleet of two routers.
func startFleet(t *testing.T) operator {
	t.Helper()
	example, err := examples.Load(examples.Hoofline)
	must.NoError(t, err)
	started, err := demo.Start(t.Context(), example, 2, log.New(io.Discard))
	must.NoError(t, err)
	t.Cleanup(started.Stop)
	return operator{t: t, server: started.Operators[0], token: demo.OperatorToken}
}

// call runs a command and returns its exit code and output.
func (o operator) call(args ...string) (code int, stdout, stderr string) {
	o.t.Helper()
	var out, errs bytes.Buffer
	args = append([]string{"--server", o.server, "--token", o.token}, args...)
	code = run(o.t.Context(), args, &out, &errs)
	return code, out.String(), errs.String()
}

// mustCall runs a command that must succeed, and returns its standard output.
func (o operator) mustCall(args ...string) string {
	o.t.Helper()
	code, stdout, stderr := o.call(args...)
	must.Eq(o.t, 0, code, must.Sprint(args, stderr))
	return stdout
}

func contractFile(t *testing.T, content string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "contract.jsonc")
	must.NoError(t, os.WriteFile(file, []byte(content), 0o600))
	return file
}

const arimaYard = "../../examples/hoofline/contracts/arima-yard.jsonc"

// A contract is listed, validated, compared and written by the commands, and a write with an outdated
// expected revision is refused as a conflict.
func TestContractCommands(t *testing.T) {
	o := startFleet(t)
	must.StrContains(t, o.mustCall("contract", "list"), "arima-yard\trevision")
	must.StrContains(t, o.mustCall("contract", "validate", arimaYard), "contract/arima-yard: valid")

	content, err := os.ReadFile(arimaYard)
	must.NoError(t, err)
	file := contractFile(t, string(bytes.Replace(content, []byte(`"requests_per_second": 40`), []byte(`"requests_per_second": 41`), 1)))
	diff := o.mustCall("contract", "diff", file)
	must.StrContains(t, diff, `-   "requests_per_second": 40`)
	must.StrContains(t, diff, `+   "requests_per_second": 41`)
	must.StrContains(t, o.mustCall("contract", "put", file), "contract/arima-yard accepted at revision")

	var item configuration.Item
	must.NoError(t, json.Unmarshal([]byte(o.mustCall("contract", "get", "arima-yard", "-o", "json")), &item))
	code, _, stderr := o.call("contract", "put", file, "--expected", "1")
	must.Eq(t, exitRefused, code)
	must.StrContains(t, stderr, "conflict: ")
	must.StrContains(t, stderr, "now at revision")
}

func TestBadContractIsRefusedWithEveryProblem(t *testing.T) {
	o := startFleet(t)
	file := contractFile(t, `{"team": "x", "key_digests": ["zz"], "pools": ["nowhere"], "requests_per_second": -1, "priority": 12}`)
	for _, command := range []string{"put", "validate", "diff"} {
		code, _, stderr := o.call("contract", command, file)
		must.Eq(t, exitRefused, code)
		for _, field := range []string{"key_digests[0]", "pools[0]", "requests_per_second", "priority"} {
			must.StrContains(t, stderr, field+": ")
		}
	}
}

func TestStatusAndExplain(t *testing.T) {
	o := startFleet(t)
	var status operatorhttp.Status
	must.NoError(t, json.Unmarshal([]byte(o.mustCall("status", "-o", "json")), &status))
	must.Positive(t, int(status.Revision))
	must.StrContains(t, o.mustCall("explain", "c1", "--team", "arima-yard", "--pool", "farrier-lm"), "farrier-lm-")
}

// Scripts distinguish invalid arguments, refusals and unreachable routers by the exit code.
func TestExitCodes(t *testing.T) {
	o := startFleet(t)
	wrongToken := operator{t: t, server: o.server, token: "wrong"}
	noRouter := operator{t: t, server: "127.0.0.1:1", token: o.token}
	cases := []struct {
		operator operator
		args     []string
		want     int
	}{
		{o, []string{"status"}, 0},
		{o, []string{"frobnicate"}, exitUsage},
		{o, []string{"contract", "put"}, exitUsage},
		{o, []string{"contract", "put", "no-such-file"}, exitUsage},
		{o, []string{"status", "-o", "xml"}, exitUsage},
		{o, []string{"explain", "c1"}, exitUsage},
		{o, []string{"contract", "get", "nobody"}, exitRefused},
		{wrongToken, []string{"status"}, exitRefused},
		{noRouter, []string{"status"}, exitFailure},
	}
	for _, c := range cases {
		code, _, stderr := c.operator.call(c.args...)
		must.Eq(t, c.want, code, must.Sprint(c.args, stderr))
	}
}

// The help must not print a token from the environment, as it would if that were the flag's default.
func TestTokenFromTheEnvironmentStaysSecret(t *testing.T) {
	o := startFleet(t)
	t.Setenv("AGATE_TOKEN", o.token)
	var out, errs bytes.Buffer
	must.Eq(t, 0, run(t.Context(), []string{"--server", o.server, "status"}, &out, &errs), must.Sprint(errs.String()))
	must.Eq(t, 0, run(t.Context(), []string{"status", "--help"}, &out, &errs))
	must.StrNotContains(t, out.String(), o.token)
}

// The help of each runnable command has an example.
func TestEveryCommandHasAnExample(t *testing.T) {
	commands := rootCommand(&options{}).Commands()
	for len(commands) > 0 {
		command := commands[0]
		commands = append(commands[1:], command.Commands()...)
		if command.Runnable() && command.Name() != "help" {
			must.NotEq(t, "", command.Example, must.Sprint(command.CommandPath()))
		}
	}
}
