package main

import (
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"agateswitch/settings"

	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"
)

const gatewaySettings = `{
  "host": {"id": "front-1", "datacentre": "arima", "region": "tt-north"},
  "listen": {"callers": "10.0.0.1:1", "readiness": "10.0.0.1:2", "directory": "10.0.0.1:3", "peers": "10.0.0.1:4", "metrics": "10.0.0.1:5"},
  "store": "10.0.0.2:1",
  "peer_key": "a key of at least thirty-two characters",
  "grace": "8s",
  "max_directory_ttl": "5s",
  "retries": {"ratio": RATIO, "extra": 56, "window": "10s"},
}`

// A changed file comes into force; a wrong one leaves the old settings.
func TestReloadTakesOnlyRightSettings(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.jsonc")
	write := func(ratio string) {
		must.NoError(t, os.WriteFile(path, []byte(strings.ReplaceAll(gatewaySettings, "RATIO", ratio)), 0o600))
	}
	var applied []float64
	logger := log.New(io.Discard)
	r := reloader{path: path, log: logger, apply: func(s settings.Gateway) { applied = append(applied, s.Retries.Ratio) }}
	r.reload()
	write("0.2")
	r.reload()
	r.reload()
	write("7")
	r.reload()
	write("0.3")
	r.reload()
	must.Eq(t, []float64{0.2, 0.3}, applied)
}

// A SIGHUP does not end the process: it reloads.
func TestHangupReloads(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.jsonc")
	must.NoError(t, os.WriteFile(path, []byte(strings.ReplaceAll(gatewaySettings, "RATIO", "0.2")), 0o600))
	applied := make(chan struct{}, 1)
	r := reloader{path: path, log: log.New(io.Discard), apply: func(settings.Gateway) { applied <- struct{}{} }}
	r.start(t.Context())
	process, err := os.FindProcess(os.Getpid())
	must.NoError(t, err)
	must.NoError(t, process.Signal(hangup))
	select {
	case <-applied:
	case <-time.After(time.Minute):
		t.Fatal("the signal did not reload the settings")
	}
}
