package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"testing"
	"time"

	"agateswitch/adapter/operatorhttp"
	"agateswitch/core/dissemination"
	"agateswitch/demo"
	"agateswitch/examples"
	"agateswitch/standin/store"

	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"
)

// startDemo starts a demo fleet and waits until its first router lists all routers.
func startDemo(t *testing.T, routers int) (*demo.Fleet, operator) {
	t.Helper()
	example, err := examples.Load(examples.Hoofline)
	must.NoError(t, err)
	started, err := demo.Start(t.Context(), example, routers, log.New(io.Discard))
	must.NoError(t, err)
	t.Cleanup(started.Stop)
	o := operator{t: t, server: started.Operators[0], token: demo.OperatorToken}
	o.awaitRouters(routers)
	return started, o
}

// A change reaches all routers over loopback TCP, and only dissemination.MinWatchers of them keep
// a watch on the store. The duration is logged and not asserted.
func TestChangeReachesAllRouters(t *testing.T) {
	for _, count := range []int{3, 8} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			started, o := startDemo(t, count)
			begin := time.Now()
			_, _, stderr := o.call("datacentre", "out", "arima", "--wait", "--timeout", "1m")
			t.Logf("%d routers: in force and drained after %s", count, time.Since(begin))
			must.StrContains(t, stderr, fmt.Sprintf("in force on all %d live routers", count))
			awaitFewWatches(t, started.Store)
		})
	}
}

// awaitFewWatches waits until at most dissemination.MinWatchers watches are open on the store.
func awaitFewWatches(t *testing.T, platform *store.Server) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	for platform.Calls().Waiting > dissemination.MinWatchers {
		select {
		case <-time.After(10 * time.Millisecond):
		case <-ctx.Done():
			t.Fatalf("%d watches are waiting", platform.Calls().Waiting)
		}
	}
}

// While the store loses an answer, is down or does not respond, a change is either accepted exactly
// once or refused with the reason. A refused change leaves the configuration in force as it is.
func TestStoreFailures(t *testing.T) {
	started, o := startDemo(t, 3)
	revision := o.fleetStatus().Revision
	started.Store.SetFaults(store.Faults{LoseAnswers: 1})
	var accepted operatorhttp.DataCentreAnswer
	must.NoError(t, json.Unmarshal([]byte(o.mustCall("datacentre", "out", "arima", "-o", "json")), &accepted))
	must.Eq(t, revision+1, accepted.Revision)
	for _, faults := range []store.Faults{{Down: true}, {Silent: true}} {
		started.Store.SetFaults(faults)
		code, _, stderr := o.call("datacentre", "in", "arima")
		must.Eq(t, exitRefused, code)
		must.StrContains(t, stderr, "store_down")
		must.StrContains(t, stderr, "nothing was changed")
		must.Eq(t, operatorhttp.DataCentreOut, o.dataCentre("arima").State)
	}
	started.Store.SetFaults(store.Faults{})
	code, _, stderr := o.call("datacentre", "in", "arima", "--wait", "--timeout", "1m")
	must.Eq(t, 0, code, must.Sprint(stderr))
}
