package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"agateswitch/adapter/hostlist"
	"agateswitch/adapter/operatorclient"
	"agateswitch/adapter/operatorhttp"
	"agateswitch/core/configuration"
	"agateswitch/core/order"
	"agateswitch/core/rollout"
	"agateswitch/examples"
	"agateswitch/standin/engine"
	"agateswitch/standin/store"

	"github.com/charmbracelet/log"
	"github.com/shoenig/test/must"
)

const (
	versionPool        = "farrier-lm"
	versionTestTimeout = 2 * time.Minute
)

// versionFleet starts a fleet whose pool runs version 1, and adds an engine of version 2 with a
// behaviour.
func versionFleet(ctx context.Context, t *testing.T, behaviour engine.Behaviour) (*Fleet, *engine.Versioned) {
	t.Helper()
	example, err := examples.Load(examples.Hoofline)
	must.NoError(t, err)
	f, err := Start(ctx, example, 3, log.New(io.Discard))
	must.NoError(t, err)
	t.Cleanup(f.Stop)
	client := operatorclient.New(f.Operators[0], OperatorToken)
	for _, pool := range example.Pools {
		if pool.Name != versionPool {
			continue
		}
		pool.Version = "1"
		key := configuration.Key{Kind: configuration.KindPool, Name: versionPool}
		accepted, err := client.Put(ctx, key, mustJSON(pool), operatorclient.ChangeOptions{})
		must.NoError(t, err)
		for _, address := range f.Operators {
			must.NoError(t, operatorclient.New(address, OperatorToken).WaitFor(ctx, accepted.Revision))
		}
	}
	newer := engine.WithBehaviour(engine.New(engine.Options{ID: "new"}), behaviour)
	server := httptest.NewServer(newer)
	t.Cleanup(server.Close)
	f.Hosts.Put(hostlist.TargetGroup{Targets: []string{strings.TrimPrefix(server.URL, "http://")}, Labels: map[string]string{
		hostlist.LabelRole: hostlist.RoleUpstream, hostlist.LabelID: "new", hostlist.LabelPool: versionPool,
		hostlist.LabelDataCentre: string(example.Topology.DataCentres[0]), hostlist.LabelVersion: "2",
	}})
	return f, newer
}

// sendChats sends requests of many chats until ctx is done.
func sendChats(ctx context.Context, f *Fleet, running *sync.WaitGroup) {
	client := &http.Client{}
	var sequence atomic.Int64
	for range 8 {
		running.Go(func() {
			for ctx.Err() == nil {
				n := int(sequence.Add(1))
				team := f.Example.Contracts[n%len(f.Example.Contracts)].Team
				c := caller{client: client, team: team, entry: func() string { return f.Entries[n%len(f.Entries)] }}
				c.chat(ctx, versionPool, fmt.Sprint("v", n), "hello", 2)
			}
		})
	}
}

// beginWhenReady retries to begin a move until the routers know the new engine and have measured
// enough load to accept the move.
func beginWhenReady(ctx context.Context, t *testing.T, client *operatorclient.Client) rollout.Move {
	t.Helper()
	for {
		order := operatorhttp.MoveOrder{Version: "2", By: time.Now().Add(6 * time.Hour)}
		move, err := client.BeginMove(ctx, versionPool, order)
		if err == nil {
			return move
		}
		must.NoError(t, ctx.Err(), must.Sprint(err))
		select {
		case <-time.After(100 * time.Millisecond):
		case <-ctx.Done():
		}
	}
}

// Routers roll back a bad version while the key-value service is down, and store the rollback once
// the service is up again.
func TestRoutersRollBackABadVersionWithTheStoreDown(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), versionTestTimeout)
	defer cancel()
	f, newer := versionFleet(ctx, t, engine.Behaviour{FailEvery: 1})
	var running sync.WaitGroup
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer running.Wait()
	defer stopLoad()
	sendChats(loadCtx, f, &running)
	client := operatorclient.New(f.Operators[1], OperatorToken)
	move := beginWhenReady(ctx, t, client)
	// Every router must have the move before the store goes down.
	for _, address := range f.Operators {
		waitForStatus(ctx, t, address, func(status rollout.Move, _ bool) bool { return status.ID == move.ID })
	}
	f.Store.SetFaults(store.Faults{Down: true})
	for _, address := range f.Operators {
		waitForStatus(ctx, t, address, func(status rollout.Move, _ bool) bool { return status.Status == rollout.StatusRolledBack })
	}
	ended, err := client.WaitForMove(ctx, move)
	must.NoError(t, err)
	must.False(t, ended.Stored)
	must.StrContains(t, ended.Move.Reason, "failures")
	t.Logf("rolled back after %d requests: %s", newer.Served(), ended.Move.Reason)
	f.Store.SetFaults(store.Faults{})
	waitForStatus(ctx, t, f.Operators[2], func(_ rollout.Move, stored bool) bool { return stored })
}

func waitForStatus(ctx context.Context, t *testing.T, address string, holds func(rollout.Move, bool) bool) {
	t.Helper()
	client := operatorclient.New(address, OperatorToken)
	for {
		status, err := client.MoveStatus(ctx, versionPool)
		if err == nil && holds(status.Move, status.Stored) {
			return
		}
		must.NoError(t, ctx.Err(), must.Sprintf("last seen: %+v, %v", status, err))
		select {
		case <-time.After(50 * time.Millisecond):
		case <-ctx.Done():
		}
	}
}

// An operator's order reaches an engine through any router.
func TestOrderReachesAnEngine(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), versionTestTimeout)
	defer cancel()
	example, err := examples.Load(examples.Hoofline)
	must.NoError(t, err)
	f, err := Start(ctx, example, 2, log.New(io.Discard))
	must.NoError(t, err)
	t.Cleanup(f.Stop)
	engineOrders := engine.WithOrders(engine.New(engine.Options{ID: "new"}), true)
	server := httptest.NewServer(engineOrders)
	t.Cleanup(server.Close)
	f.Hosts.Put(hostlist.TargetGroup{Targets: []string{strings.TrimPrefix(server.URL, "http://")}, Labels: map[string]string{
		hostlist.LabelRole: hostlist.RoleUpstream, hostlist.LabelID: "new", hostlist.LabelPool: versionPool,
		hostlist.LabelDataCentre: string(example.Topology.DataCentres[0]), hostlist.LabelVersion: "2",
	}})
	client := operatorclient.New(f.Operators[1], OperatorToken)
	for {
		_, err := client.Order(ctx, versionPool, "new", order.Order{Kind: order.ChangeRole, Name: "decode"})
		if err == nil {
			break
		}
		must.NoError(t, ctx.Err(), must.Sprint(err))
		select {
		case <-time.After(100 * time.Millisecond):
		case <-ctx.Done():
		}
	}
	must.Eq(t, "decode", engineOrders.State().Role)
	must.Positive(t, engineOrders.State().Fence)
}
