// Package router assembles the services of one router and runs them until it is stopped.
package router

import (
	"context"
	"net"
	"net/http"
	"time"

	"agateswitch/adapter/callerhttp"
	"agateswitch/adapter/hostlist"
	"agateswitch/adapter/kv"
	"agateswitch/adapter/operatorhttp"
	"agateswitch/adapter/peer"
	"agateswitch/adapter/telemetry"
	"agateswitch/adapter/upstreamhttp"
	"agateswitch/core/fleet"
	"agateswitch/core/resume"
	"agateswitch/node/chat"
	"agateswitch/node/claims"
	"agateswitch/node/configsync"
	"agateswitch/node/forward"
	"agateswitch/node/grants"
	"agateswitch/node/members"
	"agateswitch/node/moves"
	"agateswitch/node/orders"
	"agateswitch/node/running"
	"agateswitch/port"
	"agateswitch/settings"

	"github.com/charmbracelet/log"
	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"
)

// Listeners holds the open listening sockets of a router.
type Listeners struct {
	Callers   net.Listener
	Operators net.Listener
	Peers     net.Listener
}

// Listen opens the sockets on the given addresses. On an error it leaves no socket open.
func Listen(addresses settings.Listen) (Listeners, error) {
	var listeners Listeners
	var err error
	if listeners.Callers, err = net.Listen("tcp", addresses.Callers); err != nil {
		return Listeners{}, errors.Annotate(err, "listening for callers")
	}
	if listeners.Operators, err = net.Listen("tcp", addresses.Operators); err != nil {
		listeners.Callers.Close()
		return Listeners{}, errors.Annotate(err, "listening for operators")
	}
	if listeners.Peers, err = net.Listen("tcp", addresses.Peers); err != nil {
		listeners.Callers.Close()
		listeners.Operators.Close()
		return Listeners{}, errors.Annotate(err, "listening for peers")
	}
	return listeners, nil
}

// Router is one router process.
type Router struct {
	settings       settings.Settings
	listeners      Listeners
	log            *log.Logger
	metrics        *telemetry.Metrics
	members        *members.Service
	config         *configsync.Service
	grants         *grants.Service
	claims         *claims.Service
	moves          *moves.Service
	mesh           *peer.Mesh
	chat           *chat.Service
	callerAPI      *callerhttp.Server
	callerServer   *http.Server
	operatorServer *http.Server
}

// New assembles a router that serves on the given listeners.
func New(s settings.Settings, listeners Listeners, logger *log.Logger) (*Router, error) {
	metrics, err := telemetry.NewMetrics()
	if err != nil {
		return nil, err
	}
	self := fleet.Host{
		ID: s.Host.ID, DataCentre: s.Host.DataCentre, Region: s.Host.Region, State: fleet.Live,
		HTTPAddress: listeners.Callers.Addr().String(), PeerAddress: listeners.Peers.Addr().String(),
	}
	logger = logger.With("host", self.ID)
	r := &Router{settings: s, listeners: listeners, log: logger, metrics: metrics}
	telemetry := port.Telemetry{Log: logger, Meter: metrics.Meter()}
	store := kv.New(s.Platform.Store, 0)
	r.config = configsync.New(store, telemetry)
	r.members = members.New(self, hostlist.New(s.Platform.Hosts), r.config, telemetry)
	r.mesh = peer.New(self.ID, r.members, s.PeerKey, logger)
	r.config.Join(r.mesh, r.members)
	r.moves = moves.New(r.config, store, r.members, r.mesh, telemetry)
	r.moves.UseWriter(r.config)
	r.grants = grants.New(r.members, r.config, r.moves, r.mesh, time.Now().UnixNano(), telemetry)
	r.claims = claims.New(store, r.members, r.mesh, s.Platform.ClaimWritesPerSecond, telemetry)
	client := upstreamhttp.New()
	r.grants.UseReports(client)
	upstreams := running.Wrap(client)
	r.config.SetRunningCounts(upstreams.Counts)
	r.chat = chat.New(r.grants, chatUpstreams{Upstreams: upstreams, AnswerFetcher: client}, r.moves, telemetry)
	r.chat.Join(r.mesh)
	callerAPI := &callerhttp.Server{
		Config: r.config, Members: r.members, Log: logger, Chat: r.chat,
		Forward:    forward.New(r.grants, upstreams, r.moves, r.claims, telemetry),
		ResumeKeys: resume.NewKeys(s.ResumeKeys),
	}
	r.callerAPI = callerAPI
	operatorAPI := &operatorhttp.Server{
		Token: s.OperatorToken, Config: r.config, Members: r.members, Placer: r.grants,
	}
	r.callerServer = &http.Server{Handler: callerAPI.Handler(), DisableGeneralOptionsHandler: true}
	callerhttp.ApplyLimits(r.callerServer)
	r.operatorServer = &http.Server{DisableGeneralOptionsHandler: true, Handler: r.operatorRoutes(operatorAPI.Handler(), operatorAPI.VersionRoutes(r.moves),
		operatorAPI.OrderRoutes(orders.New(r.config, store, r.members, client, telemetry)))}
	callerhttp.ApplyLimits(r.operatorServer)
	return r, r.registerInstruments()
}

// chatUpstreams combines the interfaces through which the chat service calls upstreams. Exchanges
// are counted as running; fetches of complete answers are short and are not counted.
type chatUpstreams struct {
	*running.Upstreams
	port.AnswerFetcher
}

// operatorRoutes returns the handler for operators: their API, health checks and metrics.
func (r *Router) operatorRoutes(operators, versions, orders http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(operatorhttp.PathVersion+"/", versions)
	mux.Handle(operatorhttp.PathOrder+"/", orders)
	mux.Handle("/operator/", operators)
	mux.Handle("GET /metrics", r.metrics.Handler())
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	mux.HandleFunc("GET /readyz", r.serveReadiness)
	return mux
}

// serveReadiness answers 204 once a configuration is in force, and 503 before.
func (r *Router) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	select {
	case <-r.config.Loaded():
		w.WriteHeader(http.StatusNoContent)
	default:
		http.Error(w, "no configuration has been read yet", http.StatusServiceUnavailable)
	}
}

// Ready returns a channel that is closed once the router has a configuration.
func (r *Router) Ready() <-chan struct{} { return r.config.Loaded() }

// Traffic returns the bytes sent to and received from other routers.
func (r *Router) Traffic() (sent, received int64) { return r.mesh.Traffic() }

// Run serves until ctx ends and then drains: the router leaves the list of entry hosts, serves for
// as long as callers may cache that list, and finishes its running requests. When forced ends, Run
// stops at once and aborts running requests.
func (r *Router) Run(ctx, forced context.Context) error {
	runContext, stop := context.WithCancel(forced)
	defer stop()
	group, runContext := errgroup.WithContext(runContext)
	for _, run := range []func(context.Context){
		r.members.Run, r.config.Run, r.grants.Run, r.claims.Run, r.moves.Run,
	} {
		group.Go(func() error { run(runContext); return nil })
	}
	group.Go(func() error { return r.mesh.Serve(runContext, r.listeners.Peers) })
	group.Go(func() error { return serve(r.callerServer, r.listeners.Callers) })
	group.Go(func() error { return serve(r.operatorServer, r.listeners.Operators) })
	group.Go(func() error {
		select {
		case <-ctx.Done():
			r.drain(forced)
		case <-runContext.Done():
		}
		stop()
		r.callerServer.Close()
		r.operatorServer.Close()
		return nil
	})
	r.log.Info("serving callers, operators and peers", "callers", r.listeners.Callers.Addr(), "operators", r.listeners.Operators.Addr(),
		"peers", r.listeners.Peers.Addr())
	return group.Wait()
}

// serve serves on the listener until the server is closed, which is not an error.
func serve(server *http.Server, listener net.Listener) error {
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Trace(err)
}
