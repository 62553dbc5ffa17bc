package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"agateswitch/platform/standin"

	"github.com/shoenig/test/must"
)

// A holder of a duty that is stopped by SIGSTOP until another router has taken over makes no call of its own when it goes on: the platform
// gets no lower token after a higher one, and each window with one content.
func TestStoppedProcessMakesNoCallOnAnExpiredLease(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), processTimeout)
	defer cancel()
	f, api := newGatewayFleet(t), &standin.Duties{}
	address := listenOn(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// A slow API makes it likely that the process is stopped amid a call.
		time.Sleep(300 * time.Millisecond)
		api.ServeHTTP(w, r)
	}))
	processes := map[string]*process{}
	for _, number := range []int{14, 15} {
		duties := fmt.Sprintf(`{"duties": {"address": %q, "calls": ["usage_report"], "lease": "1s", "thaw": "50ms", "usage": {"window": "400ms", "late": "10s"}},`, address)
		file := filepath.Join(t.TempDir(), "settings.jsonc")
		must.NoError(t, os.WriteFile(file, bytes.Replace(f.settingsOf(t, number), []byte("{"), []byte(duties), 1), 0o600))
		processes[fmt.Sprintf("front-%d", number)] = launch(t, f.program, "gateway", file)
	}
	// awaitCalls waits until a call has come from another router than the given one, and for further calls then.
	awaitCalls := func(except string, further int) []standin.DutyCall {
		for {
			calls := api.Calls()
			for i, call := range calls {
				if call.Holder != except && len(calls)-i > further {
					return calls
				}
			}
			must.NoError(t, ctx.Err())
			time.Sleep(20 * time.Millisecond)
		}
	}
	calls := awaitCalls("", 3)
	holder := calls[len(calls)-1].Holder
	must.NoError(t, processes[holder].command.Process.Signal(syscall.SIGSTOP))
	awaitCalls(holder, 2)
	must.NoError(t, processes[holder].command.Process.Signal(syscall.SIGCONT))
	calls = awaitCalls(holder, 12)
	token, contents := uint64(0), map[int64]string{}
	for _, call := range calls {
		must.GreaterEq(t, token, call.Token, must.Sprint(calls))
		token = call.Token
		content := fmt.Sprint(call.Counts)
		known, found := contents[call.Window]
		must.True(t, !found || known == content, must.Sprint(call))
		contents[call.Window] = content
	}
	must.NotEq(t, holder, calls[len(calls)-1].Holder)
}
