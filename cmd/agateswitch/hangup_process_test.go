package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/shoenig/test/must"
)

// SIGHUP used to end a gateway that had not started yet. Here it arrives while the process reads its
// settings, from a pipe that the test fills afterwards.
func TestHangupDuringTheStartDoesNotEndTheGateway(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), processTimeout)
	defer cancel()
	f := newGatewayFleet(t)
	content := f.settingsOf(t, 6)
	file := filepath.Join(t.TempDir(), "settings.jsonc")
	must.NoError(t, syscall.Mkfifo(file, 0o600))
	p := gatewayProcess{process: launch(t, f.program, "gateway", file)}
	// The pipe opens once the process reads from it.
	pipe, err := os.OpenFile(file, os.O_WRONLY, 0)
	must.NoError(t, err)
	must.NoError(t, p.command.Process.Signal(syscall.SIGHUP))
	must.NoError(t, os.Remove(file))
	must.NoError(t, os.WriteFile(file, content, 0o600))
	_, err = pipe.Write(content)
	must.NoError(t, err)
	must.NoError(t, pipe.Close())
	p.await(ctx, t, "desired state in force")
	must.NoError(t, p.command.Process.Signal(syscall.SIGHUP))
	p.await(ctx, t, "received SIGHUP; reading the settings file again")
}

// settingsOf returns the settings of a gateway with a loopback address of its own.
func (f *gatewayFleet) settingsOf(t *testing.T, number int) []byte {
	t.Helper()
	ip := gatewayIP(number)
	return fmt.Appendf(nil, `{
		"host": {"id": "front-%[1]d", "datacentre": "arima", "region": "tt-north"}, %[4]s
		"listen": {"callers": "%[2]s:7001", "readiness": "%[2]s:7002", "directory": "%[2]s:7003", "peers": "%[2]s:7004", "metrics": "%[2]s:7005"},
		"store": %[3]q, "peer_key": "process-test-peer-key-of-32-characters", "grace": "30s", "max_directory_ttl": "5s",
		"retries": {"ratio": 0.2, "extra": 50, "window": "10s"}, "log": {"format": "json"}
	}`, number, ip, listenOn(t, f.store.HandlerFor(ip)), f.capacity)
}

// gatewayIP returns the loopback address of a gateway of this test process.
func gatewayIP(number int) string {
	return fmt.Sprintf("127.%d.%d.%d", 20+os.Getpid()%200, os.Getpid()/200%250, number)
}
