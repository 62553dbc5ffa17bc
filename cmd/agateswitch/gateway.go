package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"agateswitch/adapter/dialer"
	"agateswitch/adapter/peer"
	"agateswitch/adapter/telemetry"
	"agateswitch/adapter/upstreamhttp"
	"agateswitch/core/fleet"
	"agateswitch/node/gateway"
	"agateswitch/node/presence"
	"agateswitch/node/replica"
	"agateswitch/node/workload"
	"agateswitch/platform"
	"agateswitch/settings"

	"github.com/juju/errors"
	"github.com/spf13/cobra"
)

// Settings of the gateway's parts that no file sets.
const (
	// watchPause lets one call to the store bring the heartbeats of several engines. It adds
	// to the age of the state, of which the tightest bound is 2 s.
	watchPause = 500 * time.Millisecond
	// upstreamIdle is shorter than the time after which upstreams close idle connections.
	upstreamIdle = 4 * time.Second
)

func gatewayCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "gateway [SETTINGS]",
		Short: "Run a router by host and path on the users' platform until SIGTERM",
		Long: "Run a router by host and path on the users' platform until SIGTERM.\n\n" +
			"Without SETTINGS, the file that " + platform.SettingsVariable + " names is read.",
		Example: "  agateswitch gateway /etc/agateswitch/boot.yaml",
		Args:    cobra.MaximumNArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			path := os.Getenv(platform.SettingsVariable)
			if len(args) == 1 {
				path = args[0]
			}
			checked, err := loadGatewaySettings(command.ErrOrStderr(), path)
			if err != nil {
				return err
			}
			return runGateway(checked, path)
		},
	}
}

func loadGatewaySettings(stderr io.Writer, path string) (settings.Gateway, error) {
	checked, problems, err := settings.LoadGateway(path)
	if err != nil {
		return settings.Gateway{}, err
	}
	for _, problem := range problems {
		fmt.Fprintln(stderr, problem)
	}
	if len(problems) > 0 {
		return settings.Gateway{}, errors.Errorf("%d problems in the settings, nothing started", len(problems))
	}
	return checked, nil
}

func bounds(s settings.Gateway) gateway.Bounds {
	return gateway.Bounds{
		RetryRatio: s.Retries.Ratio, RetryExtra: s.Retries.Extra, RetryWindow: time.Duration(s.Retries.Window),
	}
}

func runGateway(s settings.Gateway, path string) error {
	lines := telemetry.NewAsyncWriter(os.Stdout)
	defer lines.Close()
	logger, err := telemetry.NewLogger(lines, s.Log.Level, s.Log.Format)
	if err != nil {
		return err
	}
	metrics, err := telemetry.NewMetrics()
	if err != nil {
		return err
	}
	self := fleet.Host{
		ID: s.Host.ID, DataCentre: s.Host.DataCentre, Region: s.Host.Region, State: fleet.Live,
		HTTPAddress: s.Listen.Callers, PeerAddress: s.Listen.Peers,
	}
	logger.Info("starting", "host", self.ID, "datacentre", self.DataCentre, "store", s.Store)
	store := platform.NewStore(s.Store, watchPause)
	known := presence.New(self, store, logger)
	mesh := peer.NewOn(dialer.New().DialContext, self.ID, known, s.PeerKey, logger)
	copied := replica.New(store, mesh, known, platform.Facts{}.DesiredKey(), logger)
	work := workload.New(mesh, known, logger)
	router := gateway.New(gateway.Parts{
		Codec: platform.Facts{}, Callers: platform.Callers{}, Engines: platform.Engines{},
		Upstreams: upstreamhttp.NewWith(dialer.New().DialContext, upstreamhttp.Options{
			IDHeader: platform.RequestIDHeader, IdleTimeout: upstreamIdle, AllowUnframed: true,
		}),
		Newest: copied, Fleet: known, Workload: work, Caches: platform.NewCaches(), Log: logger,
	}, bounds(s))
	copied.Subscribe(known.Observe)
	copied.Subscribe(router.Observe)
	known.Join(mesh)
	peers, err := net.Listen("tcp", s.Listen.Peers)
	if err != nil {
		return errors.Annotate(err, "listening for routers")
	}
	directory := platform.Directory{
		Addresses: func() []string { return callerAddresses(known.Routers()) },
		TTL:       time.Duration(min(s.DirectoryTTL, s.MaxDirectoryTTL)),
		Ready:     func() bool { return isClosed(router.Ready()) && !known.Leaving() },
	}
	server := gateway.Server{
		Gateway: router, Callers: s.Listen.Callers, Directory: s.Listen.Directory, Readiness: s.Listen.Readiness,
		Metrics: s.Listen.Metrics, DirectoryHandler: directory.Resolve(), ReadinessHandler: directory.Readiness(),
		MetricsHandler: metrics.Handler(), Leave: known.Leave, Grace: time.Duration(s.Grace), Log: logger,
	}
	stopping, forced, stop := signalContexts()
	defer stop()
	background, end := context.WithCancel(forced)
	var parts sync.WaitGroup
	reload := reloader{path: path, inForce: s, log: logger, apply: func(changed settings.Gateway) {
		router.SetBounds(bounds(changed))
	}}
	parts.Go(func() { reload.run(background) })
	parts.Go(func() { copied.Run(background) })
	parts.Go(func() { known.Run(background) })
	parts.Go(func() { work.Run(background) })
	parts.Go(func() { router.LearnWarm(background, s.FirstStart) })
	parts.Go(func() {
		if err := mesh.Serve(background, peers); err != nil {
			logger.Error("routers are not served", "err", err)
		}
	})
	err = server.Run(stopping)
	end()
	parts.Wait()
	logger.Info("stopped", "err", err)
	return err
}

func callerAddresses(routers []fleet.Host) []string {
	addresses := make([]string, 0, len(routers))
	for _, router := range routers {
		addresses = append(addresses, router.HTTPAddress)
	}
	return addresses
}

func isClosed(done <-chan struct{}) bool {
	select {
	case <-done:
		return true
	default:
		return false
	}
}
