package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"agateswitch/adapter/telemetry"
	"agateswitch/node/router"
	"agateswitch/settings"

	"github.com/juju/errors"
	"github.com/spf13/cobra"
)

func serveCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "serve SETTINGS",
		Short:   "Run a router until SIGTERM or Ctrl-C; a second one ends it at once",
		Example: "  agateswitch serve examples/hoofline/router.jsonc",
		Args:    cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			checked, err := loadSettings(command.ErrOrStderr(), args[0])
			if err != nil {
				return err
			}
			return serve(checked)
		},
	}
}

func checkCommand() *cobra.Command {
	var isGateway bool
	command := &cobra.Command{
		Use:   "check SETTINGS",
		Short: "Check a settings file and print every problem",
		Example: "  agateswitch check examples/hoofline/router.jsonc\n" +
			"  agateswitch check --gateway /etc/agateswitch/boot.yaml",
		Args: cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			var err error
			if isGateway {
				_, err = loadGatewaySettings(command.ErrOrStderr(), args[0], false)
			} else {
				_, err = loadSettings(command.ErrOrStderr(), args[0])
			}
			if err != nil {
				return err
			}
			fmt.Fprintln(command.OutOrStdout(), args[0]+": ok")
			return nil
		},
	}
	command.Flags().BoolVar(&isGateway, "gateway", false, "the file is for the gateway command")
	return command
}

// loadSettings reads a router's settings and prints their problems, if any.
func loadSettings(stderr io.Writer, path string) (settings.Settings, error) {
	checked, problems, err := settings.Load(path)
	if err != nil {
		return settings.Settings{}, err
	}
	for _, problem := range problems {
		fmt.Fprintln(stderr, problem)
	}
	if len(problems) > 0 {
		return settings.Settings{}, errors.Errorf("%d problems in the settings, nothing started", len(problems))
	}
	return checked, nil
}

// serve runs a router until a signal stops it.
func serve(checked settings.Settings) error {
	logger, err := telemetry.NewLogger(os.Stderr, checked.Log.Level, checked.Log.Format)
	if err != nil {
		return err
	}
	listeners, err := router.Listen(checked.Listen)
	if err != nil {
		return err
	}
	node, err := router.New(checked, listeners, logger)
	if err != nil {
		return err
	}
	ctx, forced, stop := signalContexts()
	defer stop()
	return node.Run(ctx, forced)
}

// signalContexts returns a context that ends at the first SIGTERM or interrupt, and one that ends
// at the second.
func signalContexts() (first, second context.Context, stop func()) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	first, endFirst := context.WithCancel(context.Background())
	second, endSecond := context.WithCancel(context.Background())
	go func() {
		<-signals
		endFirst()
		<-signals
		endSecond()
	}()
	return first, second, func() { signal.Stop(signals); endFirst(); endSecond() }
}
