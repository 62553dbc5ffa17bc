// Package edge assembles and runs a router that routes by host and path.
package edge

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"agateswitch/adapter/peer"
	"agateswitch/adapter/telemetry"
	"agateswitch/adapter/upstreamhttp"
	"agateswitch/core/balance"
	"agateswitch/core/fleet"
	"agateswitch/core/fleethealth"
	core "agateswitch/core/quarantine"
	"agateswitch/core/rollout"
	"agateswitch/node/detour"
	"agateswitch/node/duty"
	"agateswitch/node/gateway"
	"agateswitch/node/presence"
	"agateswitch/node/quarantine"
	"agateswitch/node/ratelimit"
	"agateswitch/node/replica"
	"agateswitch/node/room"
	"agateswitch/node/survey"
	"agateswitch/node/usage"
	"agateswitch/node/versionmove"
	"agateswitch/node/workload"
	"agateswitch/port"
	"agateswitch/settings"

	"github.com/charmbracelet/log"
	"github.com/juju/errors"
)

// Network opens connections and listening sockets.
type Network struct {
	Dial   port.Dial
	Listen Listen
	// StoreTraffic counts the traffic with the store. It is optional.
	StoreTraffic Traffic
	// Clock is never set and runs while the process is suspended. The default is the kernel's clock since boot.
	Clock duty.Clock
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
	held     *quarantine.Service
	// duties and usage are nil where the platform wants no calls of singleton duties.
	duties  *duty.Service
	usage   *usage.Service
	mesh    *peer.Mesh
	traffic trafficReport
	servers *servers
}

// New assembles a router.
func New(s settings.Gateway, external port.Edge, network Network, metrics *telemetry.Metrics, logger *log.Logger) (*Router, error) {
	self := fleet.Host{
		ID: s.Host.ID, DataCentre: s.Host.DataCentre, Region: s.Host.Region, State: fleet.Live,
		HTTPAddress: cmp.Or(s.Advertise.Callers, s.Listen.Callers), PeerAddress: cmp.Or(s.Advertise.Peers, s.Listen.Peers), Capacity: fleet.Capacity{Cores: s.Capacity.Cores, LinkMbps: s.Capacity.LinkMbps},
	}
	r := &Router{network: network, log: logger}
	r.settings.Store(&s)
	r.presence = presence.New(self, external.Store, logger)
	r.mesh = peer.NewWithDial(peer.Dial(network.Dial), self.ID, r.presence, s.PeerKey, logger)
	r.presence.Join(r.mesh)
	keys := replica.Keys{
		Desired: external.Codec.DesiredKey(), Prefixes: append(external.Codec.Prefixes(), presence.RouterKeyPrefix, quarantine.KeyPrefix),
		Routers: presence.RouterKeyPrefix, Reports: external.Codec.ReportPrefix(), IsOutdated: external.Codec.IsOutdated,
		RewriteTime: func(key string, value []byte) time.Duration {
			return max(presence.RewriteTime(key, value), external.Codec.RewriteTime(key))
		},
		IsReadable: func(key string, value []byte) bool {
			return presence.IsReadable(key, value) && quarantine.IsReadable(key, value) && external.Codec.Decode(key, value).Problem == nil
		},
	}
	r.replica = replica.New(external.Store, r.mesh, r.presence, keys, time.Duration(s.ChangeDeadline), logger)
	r.workload = workload.New(self.ID, r.mesh, r.presence, logger)
	r.moves = versionmove.New(external.Codec, external.Store, r.mesh, r.presence, exposure(s), time.Duration(s.ChangeDeadline), logger)
	r.held = quarantine.New(self.ID, external.Store, r.mesh, r.presence, logger)
	r.held.SetSchedule(trials(s))
	r.traffic = trafficReport{store: network.StoreTraffic, routers: r.mesh.Traffic, log: logger}
	if r.traffic.store == nil {
		r.traffic.store = func() (sent, received int64) { return 0, 0 }
	}
	if err := r.traffic.observe(metrics.Meter()); err != nil {
		return nil, err
	}
	if err := observeRestores(metrics.Meter(), r.replica.Restores); err != nil {
		return nil, err
	}
	if err := observeCopy(metrics.Meter(), r.replica.HeldBytes); err != nil {
		return nil, err
	}
	if err := observeQuarantine(metrics.Meter(), r.held.Holds, r.held.Decided); err != nil {
		return nil, err
	}
	if err := r.addDuties(self.ID, s, external, metrics, logger); err != nil {
		return nil, err
	}
	detours := detour.New(r.presence, upstreamhttp.NewWithOptions(r.dialRouter, upstreamhttp.Options{
		IDHeader: detour.HeaderRequestID, IdleTimeout: detourIdleTimeout,
	}), s.Capacity.Cores)
	detours.Join(r.mesh, logger)
	instruments, err := gateway.NewInstruments(metrics.Meter())
	if err != nil {
		return nil, err
	}
	limits := ratelimit.New(self.ID, r.mesh, r.presence, r.workload, logger)
	callers := newClients(s.Capacity, logger)
	if err := callers.observe(metrics.Meter()); err != nil {
		return nil, err
	}
	r.gateway = gateway.New(gateway.Dependencies{
		Intake: callers.account, Answers: callers.answers,
		Edge: external, Freshness: r.replica, Fleet: r.presence, Workload: r.workload, Moves: r.moves, Quarantine: r.held, Detours: detours, QuarantineKey: []byte(s.PeerKey),
		RateLimits:  limits,
		Room:        room.New(self.ID, r.mesh, r.presence, r.heldBy, logger),
		Begin:       r.recordBegin(),
		FirstStart:  s.FirstStart,
		Queues:      room.NewQueues(self.ID, r.mesh, r.presence, logger),
		Instruments: instruments, Log: logger,
	}, retryLimits(s), loadBound(s))
	r.gateway.SetSmallPool(gateway.SmallPool(s.SmallPool))
	r.gateway.SetPlacement(gateway.Placement(s.Placement))
	r.replica.Subscribe(r.presence.Observe)
	r.replica.Subscribe(r.moves.Observe)
	r.replica.Subscribe(r.held.Observe)
	r.replica.Subscribe(r.gateway.Observe)
	r.replica.SubscribeDesired(r.gateway.ObserveDesired)
	health := survey.New(r.presence, r.mesh, r.report, time.Duration(s.ChangeDeadline), logger)
	reports := http.NewServeMux()
	reports.Handle(survey.Path, health)
	reports.Handle(quarantine.Path, r.held)
	reports.Handle(quarantine.Path+"/", r.held)
	reports.Handle(ratelimit.Path, limits)
	reports.Handle(EvidencePath, serveEvidence(r.moves.Beliefs, r.held.Beliefs, limits.Beliefs))
	if r.duties != nil {
		reports.Handle(duty.Path, r.duties)
	}
	if err := r.addScaling(s, external, metrics, reports, logger); err != nil {
		return nil, err
	}
	reports.Handle("/", metrics.Handler())
	directory, readiness := external.Entries(port.EntryList{Addresses: r.addresses, TTL: r.ttl, Ready: r.ready})
	r.servers = &servers{
		gateway: r.gateway, clients: callers, listen: network.Listen, routers: r.mesh.HTTPListener(), callers: s.Listen.Callers, leave: r.leave,
		handlers: map[string]http.Handler{
			s.Listen.Directory: directory, s.Listen.Readiness: readiness, s.Listen.Metrics: reports,
		},
		grace: func() time.Duration { return time.Duration(r.settings.Load().Grace) }, log: logger,
	}
	return r, nil
}

// report returns what this router says about itself to operators.
func (r *Router) report() fleethealth.Report {
	watches, lostStore := r.replica.Watches()
	return fleethealth.Report{
		Leaving: r.presence.Leaving(), Version: r.gateway.Version(), CopyAge: r.replica.Age(), StateAge: r.replica.DesiredAge(),
		WatchesStore: watches, LostStore: lostStore, Pathless: r.gateway.Pathless(),
	}
}

func retryLimits(s settings.Gateway) gateway.RetryLimits {
	return gateway.RetryLimits{
		Ratio: s.Retries.Ratio, Extra: s.Retries.Extra, Window: time.Duration(s.Retries.Window),
	}
}

func exposure(s settings.Gateway) rollout.Exposure {
	return rollout.Exposure{Share: s.Exposure.Share, Slack: s.Exposure.Slack}
}

func loadBound(s settings.Gateway) balance.Bound {
	return balance.Bound{Factor: s.LoadBound.Factor, Slack: s.LoadBound.Slack}
}

func trials(s settings.Gateway) core.Schedule {
	return core.Schedule{TrialsPerHour: s.Quarantine.TrialsPerHour}
}

// heldBy returns how many requests of all routers an upstream holds.
func (r *Router) heldBy(upstream fleet.UpstreamID) int { return r.workload.Load(upstream).Running }

// Apply applies changed settings: the retry limits, the bound on loads, the exposure, the trials of the quarantine, the directory's TTL
// and the grace period.
// Apply applies changed settings: the retry limits, the bounds on loads and on small pools, the exposure, the directory's TTL and the grace
// period.
func (r *Router) Apply(s settings.Gateway) {
	r.settings.Store(&s)
	r.gateway.SetRetryLimits(retryLimits(s))
	r.gateway.SetLoadBound(loadBound(s))
	r.gateway.SetSmallPool(gateway.SmallPool(s.SmallPool))
	r.gateway.SetPlacement(gateway.Placement(s.Placement))
	r.moves.SetExposure(exposure(s))
	r.held.SetSchedule(trials(s))
}

// dialRouter opens a connection for HTTP to the router with an address of node/detour.
func (r *Router) dialRouter(ctx context.Context, _, address string) (net.Conn, error) {
	id, err := detour.ParseAddress(address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return r.mesh.DialHTTP(ctx, id)
}

// addresses returns the addresses at which the routers of the fleet accept callers.
func (r *Router) addresses() []string {
	routers := r.presence.Routers()
	addresses := make([]string, 0, len(routers))
	for _, router := range routers {
		addresses = append(addresses, router.HTTPAddress)
	}
	return addresses
}

// ttl returns how long callers may cache the directory's answer.
func (r *Router) ttl() time.Duration {
	s := r.settings.Load()
	return time.Duration(min(s.DirectoryTTL, s.MaxDirectoryTTL))
}

// ready reports whether the router accepts callers.
func (r *Router) ready() bool {
	select {
	case <-r.gateway.Ready():
		return !r.presence.Leaving()
	default:
		return false
	}
}

// Run serves until ctx ends, then leaves the fleet and finishes running requests within the grace
// period. When forced ends, the services of the router stop at once. The router joins the fleet once all
// its sockets are open.
func (r *Router) Run(ctx, forced context.Context) error {
	if err := r.servers.open(); err != nil {
		return err
	}
	peers, err := r.network.Listen("tcp", r.settings.Load().Listen.Peers)
	if err != nil {
		r.servers.close()
		return errors.Annotate(err, "listening for routers")
	}
	runContext, stop := context.WithCancel(forced)
	var services sync.WaitGroup
	runs := []func(context.Context){r.replica.Run, r.presence.Run, r.workload.Run, r.moves.Run, r.held.Run, r.traffic.run, r.gateway.Run, r.bootstrap}
	if r.duties != nil {
		runs = append(runs, r.duties.Run)
	}
	if r.usage != nil {
		runs = append(runs, r.usage.Run)
	}
	for _, run := range runs {
		services.Go(func() { run(runContext) })
	}
	services.Go(func() {
		if err := r.mesh.Serve(runContext, peers); err != nil {
			r.log.Error("failed to serve peers; requests of other routers are not served", "err", err)
		}
	})
	err = r.servers.run(ctx)
	r.flushUsage(runContext)
	stop()
	services.Wait()
	r.log.Info("gateway stopped", "err", err)
	return err
}

func (r *Router) bootstrap(ctx context.Context) {
	r.gateway.BootstrapCachedParts(ctx, r.settings.Load().FirstStart)
}
