package main

import (
	"fmt"
	"io"
	stdlog "log"
	"net"
	"os"
	"runtime/debug"

	"agateswitch/adapter/dialer"
	"agateswitch/adapter/telemetry"
	"agateswitch/node/edge"
	"agateswitch/platform"
	"agateswitch/port"
	"agateswitch/settings"

	"github.com/charmbracelet/log"
	"github.com/juju/errors"
	"github.com/spf13/cobra"
)

func gatewayCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "gateway [SETTINGS]",
		Short: "Run a router by host and path on the users' platform until SIGTERM",
		Long: "Run a router by host and path on the users' platform until SIGTERM.\n\n" +
			"Without SETTINGS, the file that " + platform.SettingsVariable + " names is read.",
		Example: "  agateswitch gateway /etc/agateswitch/settings.jsonc",
		Args:    cobra.MaximumNArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			// The platform may send one as soon as the process exists.
			hangups := catchHangups()
			path := os.Getenv(platform.SettingsVariable)
			if len(args) == 1 {
				path = args[0]
			}
			checked, err := loadGatewaySettings(command.ErrOrStderr(), path, true)
			if err != nil {
				return err
			}
			return runGateway(checked, path, hangups)
		},
	}
}

// mayHaveUnknownFields states whether unknown fields of a settings file are ignored.
type mayHaveUnknownFields bool

// loadGatewaySettings reads a gateway's settings and prints their problems, if any.
func loadGatewaySettings(stderr io.Writer, path string, unknownFields mayHaveUnknownFields) (settings.Gateway, error) {
	checked, problems, err := settings.LoadGateway(path)
	if err != nil {
		return settings.Gateway{}, err
	}
	for _, problem := range problems {
		fmt.Fprintln(stderr, problem)
	}
	if unknownFields {
		problems = settings.Invalid(problems)
	}
	if len(problems) > 0 {
		return settings.Gateway{}, errors.Errorf("%d problems in the settings, nothing started", len(problems))
	}
	return checked, nil
}

// heapShare is the part of the process's memory at which the runtime collects garbage however often it takes.
const heapShare = 0.75

// runGateway runs a gateway until a signal stops it, and reloads its settings file when it changes.
func runGateway(s settings.Gateway, path string, hangups chan os.Signal) error {
	logWriter := telemetry.NewAsyncWriter(os.Stdout)
	defer logWriter.Close()
	logger, err := telemetry.NewLogger(logWriter, s.Log.Level, s.Log.Format)
	if err != nil {
		return err
	}
	metrics, err := telemetry.NewMetrics()
	if err != nil {
		return err
	}
	if err := logWriter.Observe(metrics.Meter()); err != nil {
		return err
	}
	// net/http reports connection errors through the standard logger.
	stdlog.SetFlags(0)
	stdlog.SetOutput(logger.StandardLog(log.StandardLogOptions{ForceLevel: log.DebugLevel}).Writer())
	logger.Info("starting the gateway", "host", s.Host.ID, "datacentre", s.Host.DataCentre, "store", s.Store, "settings", path,
		"load_bound_factor", s.LoadBound.Factor, "load_bound_slack", s.LoadBound.Slack)
	if s.Capacity.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(s.Capacity.MemoryMB * (1 << 20) * heapShare))
	}
	dial := dialer.New().DialContext
	var storeTraffic dialer.Counter
	external := platform.New(port.Dial(storeTraffic.Wrap(dial)), dialer.NewForUpstreams().DialContext, s.Store)
	if s.Duties.Address != "" {
		external.Duties, external.DutyKinds = platform.NewDuties(dial, s.Duties.Address), platform.DutyKinds(s.Duties.Calls)
	}
	network := edge.Network{Dial: dial, Listen: net.Listen, StoreTraffic: storeTraffic.Traffic}
	router, err := edge.New(s, external, network, metrics, logger)
	if err != nil {
		return err
	}
	ctx, forced, stop := signalContexts()
	defer stop()
	reload := reloader{path: path, inForce: s, log: logger, apply: router.Apply}
	reload.start(forced, hangups)
	return router.Run(ctx, forced)
}
