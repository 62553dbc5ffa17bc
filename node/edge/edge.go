// Package edge assembles a router that routes by host and path, and runs it.
package edge

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"agateswitch/adapter/peer"
	"agateswitch/adapter/telemetry"
	"agateswitch/core/fleet"
	"agateswitch/core/rollout"
	"agateswitch/node/gateway"
	"agateswitch/node/presence"
	"agateswitch/node/replica"
	"agateswitch/node/versionmove"
	"agateswitch/node/workload"
	"agateswitch/port"
	"agateswitch/settings"

	"github.com/charmbracelet/log"
	"github.com/juju/errors"
)

// Network makes connections and opens sockets.
type Network struct {
	Dial   port.Dial
	Listen Listen
}

// Router is one router process.
type Router struct {
	settings atomic.Pointer[settings.Gateway]
	network  Network
	log      *log.Logger
	gateway  *gateway.Gateway
	presence *presence.Presence
	replica  *replica.Replica
	workload *workload.Workload
	moves    *versionmove.Service
	mesh     *peer.Mesh
	servers  *servers
}

// New assembles a router.
func New(s settings.Gateway, outside port.Edge, network Network, metrics *telemetry.Metrics, logger *log.Logger) (*Router, error) {
	self := fleet.Host{
		ID: s.Host.ID, DataCentre: s.Host.DataCentre, Region: s.Host.Region, State: fleet.Live,
		HTTPAddress: s.Listen.Callers, PeerAddress: s.Listen.Peers,
	}
	r := &Router{network: network, log: logger}
	r.settings.Store(&s)
	r.presence = presence.New(self, outside.Store, logger)
	r.mesh = peer.NewWithDial(peer.Dial(network.Dial), self.ID, r.presence, s.PeerKey, logger)
	r.presence.Join(r.mesh)
	r.replica = replica.New(outside.Store, r.mesh, r.presence, outside.Codec.DesiredKey(), logger)
	r.workload = workload.New(self.ID, r.mesh, r.presence, logger)
	r.moves = versionmove.New(outside.Codec, outside.Store, r.mesh, r.presence, exposure(s), logger)
	instruments, err := gateway.NewInstruments(metrics.Meter())
	if err != nil {
		return nil, err
	}
	r.gateway = gateway.New(gateway.Parts{
		Edge: outside, Newest: r.replica, Fleet: r.presence, Workload: r.workload, Moves: r.moves,
		Instruments: instruments, Log: logger,
	}, bounds(s))
	r.replica.Subscribe(r.presence.Observe)
	r.replica.Subscribe(r.moves.Observe)
	r.replica.Subscribe(r.gateway.Observe)
	directory, readiness := outside.Entries(port.EntryList{Addresses: r.addresses, TTL: r.ttl, Ready: r.ready})
	r.servers = &servers{
		gateway: r.gateway, listen: network.Listen, callers: s.Listen.Callers, leave: r.presence.Leave,
		side: map[string]http.Handler{
			s.Listen.Directory: directory, s.Listen.Readiness: readiness, s.Listen.Metrics: metrics.Handler(),
		},
		grace: func() time.Duration { return time.Duration(r.settings.Load().Grace) }, log: logger,
	}
	return r, nil
}

func bounds(s settings.Gateway) gateway.Bounds {
	return gateway.Bounds{
		RetryRatio: s.Retries.Ratio, RetryExtra: s.Retries.Extra, RetryWindow: time.Duration(s.Retries.Window),
	}
}

func exposure(s settings.Gateway) rollout.Exposure {
	return rollout.Exposure{Share: s.Exposure.Share, Slack: s.Exposure.Slack}
}

// Apply puts changed settings in force: bounds, the directory's TTL and the grace time.
func (r *Router) Apply(s settings.Gateway) {
	r.settings.Store(&s)
	r.gateway.SetBounds(bounds(s))
	r.moves.SetExposure(exposure(s))
}

func (r *Router) addresses() []string {
	routers := r.presence.Routers()
	addresses := make([]string, 0, len(routers))
	for _, router := range routers {
		addresses = append(addresses, router.HTTPAddress)
	}
	return addresses
}

func (r *Router) ttl() time.Duration {
	s := r.settings.Load()
	return time.Duration(min(s.DirectoryTTL, s.MaxDirectoryTTL))
}

func (r *Router) ready() bool {
	select {
	case <-r.gateway.Ready():
		return !r.presence.Leaving()
	default:
		return false
	}
}

// Run serves until ctx ends, then leaves within the grace time. Ending forced cuts that short.
func (r *Router) Run(ctx, forced context.Context) error {
	peers, err := r.network.Listen("tcp", r.settings.Load().Listen.Peers)
	if err != nil {
		return errors.Annotate(err, "listening for routers")
	}
	life, end := context.WithCancel(forced)
	var parts sync.WaitGroup
	for _, run := range []func(context.Context){r.replica.Run, r.presence.Run, r.workload.Run, r.moves.Run, r.learn} {
		parts.Go(func() { run(life) })
	}
	parts.Go(func() {
		if err := r.mesh.Serve(life, peers); err != nil {
			r.log.Error("routers are not served", "err", err)
		}
	})
	err = r.servers.run(ctx)
	end()
	parts.Wait()
	r.log.Info("stopped", "err", err)
	return err
}

func (r *Router) learn(ctx context.Context) { r.gateway.LearnWarm(ctx, r.settings.Load().FirstStart) }
