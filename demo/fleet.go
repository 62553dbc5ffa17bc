// Package demo runs a complete fleet in one process: stand-ins for the platform and for the upstreams,
// and routers on loopback addresses, under a load of chats with repeated requests.
package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"agateswitch/adapter/hostlist"
	"agateswitch/adapter/operatorclient"
	"agateswitch/core/configuration"
	"agateswitch/core/fleet"
	"agateswitch/examples"
	"agateswitch/node/router"
	"agateswitch/settings"
	"agateswitch/standin/engine"
	"agateswitch/standin/hosts"
	"agateswitch/standin/service"
	"agateswitch/standin/store"

	"github.com/charmbracelet/log"
	"github.com/juju/errors"
)

// OperatorToken is the operator token of demo fleets.
const OperatorToken = "demo-operator-token"

const peerKey = "demo-peer-key-of-at-least-32-characters"

const resumeKey = "demo-resume-key-of-at-least-32-characters"

// Speed of the stand-in engines.
const (
	prefillPerToken = 200 * time.Microsecond
	tokenInterval   = 2 * time.Millisecond
)

// Fleet is a running demo fleet.
type Fleet struct {
	Example examples.Example
	// Entries and Operators are the ip:port addresses of the routers.
	Entries   []string
	Operators []string
	Routers   []*router.Router
	Store     *store.Server
	Hosts     *hosts.Server
	Engines   map[fleet.UpstreamID]*engine.Engine
	Services  map[fleet.UpstreamID]*service.Service

	log *log.Logger
	// servers holds the stand-ins' servers by name; the name of an upstream's server is its id.
	servers map[string]*http.Server
	// stopRouter holds, for each router, the function that stops it at once.
	stopRouter []context.CancelFunc
	running    sync.WaitGroup
	stop       context.CancelFunc
}

// Start starts a fleet and configures it from the example. ctx limits only the start: the fleet runs
// until Stop is called.
func Start(ctx context.Context, example examples.Example, routers int, logger *log.Logger) (*Fleet, error) {
	fleetCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	f := &Fleet{
		Example: example, Store: store.New(), Hosts: hosts.New(), log: logger, stop: stop,
		servers: map[string]*http.Server{},
		Engines: map[fleet.UpstreamID]*engine.Engine{}, Services: map[fleet.UpstreamID]*service.Service{},
	}
	if err := f.start(ctx, fleetCtx, routers); err != nil {
		f.Stop()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(ctx, fleetCtx context.Context, routers int) error {
	storeAddress, err := f.serve("store", f.Store)
	if err != nil {
		return err
	}
	hostsAddress, err := f.serve("hosts", f.Hosts)
	if err != nil {
		return err
	}
	for _, pool := range f.Example.Pools {
		if err := f.startUpstreams(pool); err != nil {
			return err
		}
	}
	for i := range routers {
		if err := f.startRouter(fleetCtx, i, settings.Platform{Store: storeAddress, Hosts: hostsAddress}); err != nil {
			return err
		}
	}
	for _, started := range f.Routers {
		select {
		case <-started.Ready():
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return f.configure(ctx)
}

// serve starts an HTTP server on a free loopback address.
func (f *Fleet) serve(name string, handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Trace(err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Second}
	f.servers[name] = server
	f.running.Go(func() { server.Serve(listener) })
	return listener.Addr().String(), nil
}

// startUpstreams starts a pool's stand-ins, spread over the data centres, and registers them
// in the host list.
func (f *Fleet) startUpstreams(pool configuration.Pool) error {
	dataCentres := f.Example.Topology.DataCentres
	for i := range f.Example.Topology.Upstreams[pool.Name] {
		id := fleet.UpstreamID(fmt.Sprintf("%s-%d", pool.Name, i+1))
		address, err := f.serve(string(id), f.newUpstream(id, pool))
		if err != nil {
			return err
		}
		f.Hosts.Put(hostlist.TargetGroup{Targets: []string{address}, Labels: map[string]string{
			hostlist.LabelRole: hostlist.RoleUpstream, hostlist.LabelID: string(id),
			hostlist.LabelPool:       string(pool.Name),
			hostlist.LabelDataCentre: string(dataCentres[i%len(dataCentres)]),
			hostlist.LabelVersion:    "1",
		}})
	}
	return nil
}

func (f *Fleet) newUpstream(id fleet.UpstreamID, pool configuration.Pool) http.Handler {
	if pool.Type == configuration.PoolService {
		f.Services[id] = service.New(string(id))
		return f.Services[id]
	}
	f.Engines[id] = engine.New(engine.Options{
		ID: string(id), PrefillPerToken: prefillPerToken, TokenInterval: tokenInterval,
	})
	return f.Engines[id]
}

// startRouter starts a router and registers it in the host list.
func (f *Fleet) startRouter(fleetCtx context.Context, index int, platform settings.Platform) error {
	topology := f.Example.Topology
	dataCentre := topology.DataCentres[index%len(topology.DataCentres)]
	anyPort := "127.0.0.1:0"
	configured := settings.Settings{
		Host: settings.Host{
			ID:         fleet.HostID(fmt.Sprintf("%s-%d", dataCentre, index/len(topology.DataCentres)+1)),
			DataCentre: dataCentre, Region: topology.Region,
		},
		Listen:   settings.Listen{Callers: anyPort, Operators: anyPort, Peers: anyPort},
		Platform: platform, OperatorToken: OperatorToken, ResumeKeys: []string{resumeKey},
		PeerKey: peerKey,
	}
	listeners, err := router.Listen(configured.Listen)
	if err != nil {
		return err
	}
	started, err := router.New(configured, listeners, f.log)
	if err != nil {
		return err
	}
	f.Routers = append(f.Routers, started)
	f.Entries = append(f.Entries, listeners.Callers.Addr().String())
	f.Operators = append(f.Operators, listeners.Operators.Addr().String())
	f.Hosts.Put(hostlist.TargetGroup{Targets: []string{listeners.Callers.Addr().String()}, Labels: map[string]string{
		hostlist.LabelRole: hostlist.RoleRouter, hostlist.LabelID: string(configured.Host.ID),
		hostlist.LabelDataCentre: string(dataCentre), hostlist.LabelRegion: string(topology.Region),
		hostlist.LabelPeer: listeners.Peers.Addr().String(),
	}})
	routerCtx, cancel := context.WithCancel(fleetCtx)
	f.stopRouter = append(f.stopRouter, cancel)
	f.running.Go(func() {
		if err := started.Run(routerCtx, routerCtx); err != nil {
			f.log.Error("demo router stopped with an error", "err", err)
		}
	})
	return nil
}

// configure writes the example's pools and contracts through the operator API and waits until every
// router has them in force.
func (f *Fleet) configure(ctx context.Context) error {
	client := operatorclient.New(f.Operators[0], OperatorToken)
	var last configuration.Revision
	for _, pool := range f.Example.Pools {
		key := configuration.Key{Kind: configuration.KindPool, Name: string(pool.Name)}
		accepted, err := client.Put(ctx, key, mustJSON(pool), operatorclient.ChangeOptions{})
		if err != nil {
			return err
		}
		last = accepted.Revision
	}
	// A router accepts a contract only if it has the contract's pools in force.
	if err := client.WaitFor(ctx, last); err != nil {
		return err
	}
	for _, contract := range f.Example.Contracts {
		key := configuration.Key{Kind: configuration.KindContract, Name: string(contract.Team)}
		accepted, err := client.Put(ctx, key, mustJSON(contract), operatorclient.ChangeOptions{})
		if err != nil {
			return err
		}
		last = accepted.Revision
	}
	for _, address := range f.Operators {
		if err := operatorclient.New(address, OperatorToken).WaitFor(ctx, last); err != nil {
			return err
		}
	}
	return nil
}

// Stop stops every router and stand-in, and waits for them.
func (f *Fleet) Stop() {
	f.stop()
	for _, server := range f.servers {
		server.Close()
	}
	f.running.Wait()
}

func mustJSON(value any) []byte {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return encoded
}
