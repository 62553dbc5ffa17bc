package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

func validFile(t *testing.T) string {
	t.Helper()
	content, err := os.ReadFile(filepath.Join("..", "examples", "hoofline", "router.jsonc"))
	must.NoError(t, err)
	return string(content)
}

func TestExamplesAreValid(t *testing.T) {
	files, err := filepath.Glob(filepath.Join("..", "examples", "*", "router.jsonc"))
	must.NoError(t, err)
	must.Len(t, 2, files)
	for _, file := range files {
		_, problems, err := Load(file)
		must.NoError(t, err)
		must.SliceEmpty(t, problems)
	}
}

func TestParseNamesFileLineAndField(t *testing.T) {
	cases := []struct{ name, old, new, want string }{
		{"unknown field", `"region":`, `"zone":`, `f:6: host.zone: is not a known field; known here: id, datacentre, region`},
		{"wrong type", `"id": "arima-1"`, `"id": 7`, `f:4: host.id: must be a string`},
		{"missing field", `"id": "arima-1",`, ``, `f:3: host.id: is missing`},
		{"given twice", `"id": "arima-1",`, `"id": "arima-1", "id": "b",`, `f:4: host.id: is given twice`},
		{"no address", `"127.0.0.1:8080"`, `"arima:8080"`, `f:9: listen.callers: "arima:8080" is not ip:port`},
		{"same address", `8081`, `8080`, `f:10: listen.operators: is the same address as listen.callers`},
		{"no unit", `"35s"`, `"35"`, `f:24: drain: "35" is not a time with its unit, such as "30s"`},
		{"out of range", `"35s"`, `"48h"`, `f:24: drain: must be 0s to 1h0m0s`},
		{"not an option", `"info"`, `"loud"`, `f:23: log.level: "loud" is not one of [debug info warn error]`},
		{"short secret", `change-me-operator-token`, `short`, `f:20: operator_token: needs at least 16 characters`},
		{"short peer key", `change-me-peer-key-of-32-characters`, `short`, `f:26: peer_key: needs at least 32 characters`},
		{"writes out of range", `"claim_writes_per_second": 100`, `"claim_writes_per_second": 5000`,
			`f:18: platform.claim_writes_per_second: must be 1 to 1000`},
		{"object expected", `{"level": "info", "format": "text"}`, `"text"`, `f:23: log: must be an object`},
		{"syntax", `"region": "tt-north"`, `"region" "tt-north"`, `f:6: syntax: `},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			content := strings.Replace(validFile(t), c.old, c.new, 1)
			_, problems := Parse("f", []byte(content))
			must.Len(t, 1, problems)
			must.StrHasPrefix(t, c.want, problems[0].String())
		})
	}
}

func TestParseReportsAllProblemsAtOnce(t *testing.T) {
	content := validFile(t)
	content = strings.Replace(content, `"info"`, `"loud"`, 1)
	content = strings.Replace(content, `"35s"`, `"never"`, 1)
	content = strings.Replace(content, `"arima-1"`, `""`, 1)
	_, problems := Parse("f", []byte(content))
	must.Len(t, 3, problems)
}
