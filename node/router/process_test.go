package router_test

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"syscall"
	"testing"

	"agateswitch/core/configuration"
	"agateswitch/core/fleet"
	"agateswitch/core/placement"
	"agateswitch/internal/logtest"
	"agateswitch/settings"

	"github.com/shoenig/test/must"
)

// addresses are the addresses on which a router serves.
type addresses struct{ callers, operators, peers string }

var servingPattern = regexp.MustCompile(`serving callers, operators and peers .*callers=(\S+) operators=(\S+) peers=(\S+)`)

// startProcess runs a router as a process of its own, which a test can pause. Its forceStop kills
// the process.
func startProcess(t *testing.T, id fleet.HostID, platform settings.Platform) (*testRouter, addresses) {
	t.Helper()
	program := filepath.Join(t.TempDir(), "agateswitch")
	output, err := exec.Command("go", "build", "-o", program, "agateswitch/cmd/agateswitch").CombinedOutput()
	must.NoError(t, err, must.Sprint(string(output)))
	file := filepath.Join(t.TempDir(), "router.jsonc")
	must.NoError(t, os.WriteFile(file, fmt.Appendf(nil, `{
		"host": {"id": %q, "datacentre": "arima", "region": "tt-north"},
		"listen": {"callers": "127.0.0.1:0", "operators": "127.0.0.2:0", "peers": "127.0.0.3:0"},
		"platform": {"store": %q, "hosts": %q},
		"operator_token": %q,
		"resume_keys": ["router-test-resume-key-of-32-characters"],
		"peer_key": "router-test-peer-key-of-32-characters", "drain": "0s"
	}`, id, platform.Store, platform.Hosts, operatorToken), 0o600))
	reader, writer, err := os.Pipe()
	must.NoError(t, err)
	command := exec.Command(program, "serve", file)
	command.Stdout, command.Stderr = writer, writer
	must.NoError(t, command.Start())
	writer.Close()
	r := &testRouter{log: &logtest.Buffer{}, ended: make(chan struct{})}
	r.signal = func(signal syscall.Signal) { command.Process.Signal(signal) }
	r.forceStop = func() { r.signal(syscall.SIGKILL) }
	serving := make(chan addresses, 1)
	go func() {
		defer close(r.ended)
		r.copyLog(reader, serving)
		command.Wait()
	}()
	t.Cleanup(func() { r.forceStop(); <-r.ended })
	found, serves := <-serving
	must.True(t, serves, must.Sprint(r.log))
	r.callers = found.callers
	return r, found
}

// copyLog copies a process's log until the process ends, and sends its addresses once it serves.
func (r *testRouter) copyLog(output io.Reader, serving chan<- addresses) {
	defer close(serving)
	scanner := bufio.NewScanner(output)
	sent := false
	for scanner.Scan() {
		fmt.Fprintln(r.log, scanner.Text())
		if found := servingPattern.FindStringSubmatch(scanner.Text()); found != nil && !sent {
			serving <- addresses{callers: found[1], operators: found[2], peers: found[3]}
			sent = true
		}
	}
}

// The process of the shard owner is paused. The other routers continue to complete chats under
// another owner, also after the process resumes, and the resumed router serves again.
func TestShardOwnerIsPausedAndResumes(t *testing.T) {
	shard := model + "/0"
	owner := fleet.HostID(placement.Owners([]string{shard}, routerIDs)[shard])
	f := startProxiedFleet(t, owner, func(*configuration.Contract) {})
	must.Eq(t, owner, f.shardOwner(t))
	load := f.startTraffic(t, owner)
	load.awaitAnswers(t, answersBeforeLoss)
	f.byID[owner].signal(syscall.SIGSTOP)
	load.awaitAnswers(t, answersAfterLoss)
	for r := range load.complete {
		must.NotEq(t, owner, r.lastGrantOwner(t))
	}
	f.byID[owner].signal(syscall.SIGCONT)
	load.awaitAnswers(t, answersAfterLoss)
	f.checkRuns(t, load)
	ran, err := f.sendChat(f.byID[owner].callers, "after the wake")
	must.NoError(t, err)
	must.True(t, ran)
}
