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

// addresses are those on which a router serves.
type addresses struct{ callers, operators, peers string }

var servingLine = regexp.MustCompile(`serving .*callers=(\S+) operators=(\S+) peers=(\S+)`)

// startProcess runs a router as a process, which can be frozen. Its force kills it.
func startProcess(t *testing.T, id fleet.HostID, platform settings.Platform) (*running, addresses) {
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
	r := &running{log: &logtest.Buffer{}, ended: make(chan struct{})}
	r.signal = func(signal syscall.Signal) { command.Process.Signal(signal) }
	r.force = func() { r.signal(syscall.SIGKILL) }
	serving := make(chan addresses, 1)
	go func() {
		defer close(r.ended)
		r.keepLog(reader, serving)
		command.Wait()
	}()
	t.Cleanup(func() { r.force(); <-r.ended })
	found, up := <-serving
	must.True(t, up, must.Sprint(r.log))
	r.callers = found.callers
	return r, found
}

// keepLog keeps a process's log until its end, and gives its addresses once it serves.
func (r *running) keepLog(from io.Reader, serving chan<- addresses) {
	defer close(serving)
	scanner := bufio.NewScanner(from)
	given := false
	for scanner.Scan() {
		fmt.Fprintln(r.log, scanner.Text())
		if found := servingLine.FindStringSubmatch(scanner.Text()); found != nil && !given {
			serving <- addresses{callers: found[1], operators: found[2], peers: found[3]}
			given = true
		}
	}
}

// The process of the shard owner is frozen: the chats of the other routers go on under
// another owner, also when it wakes, and it serves again itself.
func TestShardOwnerIsFrozenAndWakes(t *testing.T) {
	shard := model + "/0"
	owner := fleet.HostID(placement.Owners([]string{shard}, ownerRouters)[shard])
	f := startOwnerFleet(t, owner, func(*configuration.Contract) {})
	must.Eq(t, owner, f.shardOwner(t))
	load := f.start(t, owner)
	load.wait(t, answersBefore)
	f.byID[owner].signal(syscall.SIGSTOP)
	load.wait(t, answersAfter)
	for r := range load.whole {
		must.NotEq(t, owner, r.ownerSeen(t))
	}
	f.byID[owner].signal(syscall.SIGCONT)
	load.wait(t, answersAfter)
	f.finish(t, load)
	ran, err := f.ask(f.byID[owner].callers, "after the wake")
	must.NoError(t, err)
	must.True(t, ran)
}
