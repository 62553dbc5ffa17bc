// Package router assembles one router from its parts and runs it.
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

// Listeners are the open sockets of a router.
type Listeners struct {
	Callers   net.Listener
	Operators net.Listener
	Peers     net.Listener
}

// Listen opens the sockets that the settings name.
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
	settings  settings.Settings
	listeners Listeners
	log       *log.Logger
	metrics   *telemetry.Metrics
	members   *members.Service
	config    *configsync.Service
	grants    *grants.Service
	claims    *claims.Service
	moves     *moves.Service
	mesh      *peer.Mesh
	chat      *chat.Service
	entry     *callerhttp.Server
	callers   *http.Server
	operators *http.Server
}

// New assembles a router on open listeners.
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
	r.chat = chat.New(r.grants, countedChat{Upstreams: upstreams, AnswerFetcher: client}, r.moves, telemetry)
	r.chat.Join(r.mesh)
	callers := &callerhttp.Server{
		Config: r.config, Members: r.members, Log: logger, Chat: r.chat,
		Forward:    forward.New(r.grants, upstreams, r.moves, r.claims, telemetry),
		ResumeKeys: resume.NewKeys(s.ResumeKeys),
	}
	r.entry = callers
	operators := &operatorhttp.Server{
		Token: s.OperatorToken, Config: r.config, Members: r.members, Placer: r.grants,
	}
	r.callers = &http.Server{Handler: callers.Handler()}
	callerhttp.ApplyLimits(r.callers)
	r.operators = &http.Server{Handler: r.operatorRoutes(operators.Handler(), operators.VersionRoutes(r.moves),
		operators.OrderRoutes(orders.New(r.config, store, r.members, client, telemetry)))}
	callerhttp.ApplyLimits(r.operators)
	return r, r.observe()
}

// countedChat is the chat's way to upstreams: calls are counted, fetches of complete answers
// are short and are not.
type countedChat struct {
	*running.Upstreams
	port.AnswerFetcher
}

// operatorRoutes adds health and metrics to the operators' interface.
func (r *Router) operatorRoutes(operators, versions, orders http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(operatorhttp.PathVersion+"/", versions)
	mux.Handle(operatorhttp.PathOrder+"/", orders)
	mux.Handle("/operator/", operators)
	mux.Handle("GET /metrics", r.metrics.Handler())
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	mux.HandleFunc("GET /readyz", r.ready)
	return mux
}

func (r *Router) ready(w http.ResponseWriter, _ *http.Request) {
	select {
	case <-r.config.Loaded():
		w.WriteHeader(http.StatusNoContent)
	default:
		http.Error(w, "no configuration has been read yet", http.StatusServiceUnavailable)
	}
}

// Ready is closed once the router has a configuration.
func (r *Router) Ready() <-chan struct{} { return r.config.Loaded() }

// Traffic returns the bytes sent to and received from other routers.
func (r *Router) Traffic() (sent, received int64) { return r.mesh.Traffic() }

// Run serves until ctx ends, then drains: the router leaves the entry answers, serves
// for as long as callers may keep those, and finishes its running requests. Ending
// forced cuts the drain short.
func (r *Router) Run(ctx, forced context.Context) error {
	life, stop := context.WithCancel(forced)
	defer stop()
	group, life := errgroup.WithContext(life)
	for _, run := range []func(context.Context){
		r.members.Run, r.config.Run, r.grants.Run, r.claims.Run, r.moves.Run,
	} {
		group.Go(func() error { run(life); return nil })
	}
	group.Go(func() error { return r.mesh.Serve(life, r.listeners.Peers) })
	group.Go(func() error { return serve(r.callers, r.listeners.Callers) })
	group.Go(func() error { return serve(r.operators, r.listeners.Operators) })
	group.Go(func() error {
		select {
		case <-ctx.Done():
			r.drain(forced)
		case <-life.Done():
		}
		stop()
		r.callers.Close()
		r.operators.Close()
		return nil
	})
	r.log.Info("serving", "callers", r.listeners.Callers.Addr(), "operators", r.listeners.Operators.Addr(),
		"peers", r.listeners.Peers.Addr())
	return group.Wait()
}

func serve(server *http.Server, listener net.Listener) error {
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Trace(err)
}
