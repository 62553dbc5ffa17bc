package demo

import (
	"io"
	"net/http"
	"testing"

	"agateswitch/examples"
	"agateswitch/internal/logtest"

	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"
)

func startFleet(t *testing.T, logs io.Writer) *Fleet {
	t.Helper()
	example, err := examples.Load(examples.BlueMahoe)
	must.NoError(t, err)
	started, err := Start(t.Context(), example, 2, log.New(logs))
	must.NoError(t, err)
	t.Cleanup(started.Stop)
	return started
}

// Each placement is logged with its reason. No log line contains a key, a token or a prompt.
func TestLogsExplainPlacementAndKeepSecrets(t *testing.T) {
	logs := &logtest.Buffer{}
	f := startFleet(t, logs)
	team := f.Example.Contracts[0].Team
	c := caller{client: &http.Client{}, team: team, entry: func() string { return f.Entries[1] }}
	result := c.chat(t.Context(), f.enginePool(), "c1", "a private question", 4)
	must.Eq(t, Complete, result.Outcome)
	text := logs.String()
	for _, want := range []string{"request placed on an upstream", "team=" + string(team), "reason=", "upstream=assistant-pool-", "load=", "bound="} {
		must.StrContains(t, text, want)
	}
	for _, secret := range []string{"a private question", examples.Key(team), OperatorToken, resumeKey} {
		must.StrNotContains(t, text, secret)
	}
}

func TestMetricsAndHealthAreServed(t *testing.T) {
	f := startFleet(t, io.Discard)
	for path, want := range map[string]string{
		"/metrics": "agateswitch_peer_bytes", "/healthz": "", "/readyz": "",
	} {
		answer, err := http.Get("http://" + f.Operators[0] + path)
		must.NoError(t, err)
		body, err := io.ReadAll(answer.Body)
		must.NoError(t, err)
		must.NoError(t, answer.Body.Close())
		must.Less(t, 300, answer.StatusCode, must.Sprint(path, string(body)))
		must.StrContains(t, string(body), want)
	}
}

// A request without a valid key is refused and does not reach an upstream.
func TestWrongKeysReachNoUpstream(t *testing.T) {
	f := startFleet(t, io.Discard)
	for _, path := range []string{"/v1/chat/completions", "/v1/entry", f.Example.Topology.ReadPath} {
		for key, want := range map[string]int{"": 401, "Bearer wrong": 401, "Basic demo-audit": 401} {
			request, err := http.NewRequest(http.MethodPost, "http://"+f.Entries[0]+path, http.NoBody)
			must.NoError(t, err)
			if path == "/v1/entry" {
				request.Method = http.MethodGet
			}
			request.Header.Set("Authorization", key)
			answer, err := http.DefaultClient.Do(request)
			must.NoError(t, err)
			must.NoError(t, answer.Body.Close())
			must.Eq(t, want, answer.StatusCode, must.Sprint(path, key))
		}
	}
	for _, started := range f.Engines {
		must.Zero(t, started.Counts().Requests)
	}
}
