package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"time"

	"agateswitch/adapter/telemetry"
	"agateswitch/demo"
	"agateswitch/examples"

	"github.com/juju/errors"
	"github.com/spf13/cobra"
)

// progressInterval is the time between two progress lines.
const progressInterval = 2 * time.Second

// demoFlags are the flags of the demo command.
type demoFlags struct {
	example  string
	scenario string
	routers  int
	runFor   time.Duration
	seed     uint64
	output   string
	keep     bool
	logLevel string
}

func demoCommand() *cobra.Command {
	var flags demoFlags
	command := &cobra.Command{
		Use:   "demo",
		Short: "Run a whole fleet in one process, under load, and report",
		Long: "Runs stand-ins of the platform and of the upstreams, and several routers on loopback\n" +
			"addresses, sends requests of returning chats, and prints what came of them. The exit\n" +
			"code is 1 when an answer was lost, truncated, mismatched or duplicated.",
		Example: "  agateswitch demo --example blue-mahoe --routers 4 --run-for 20s\n" +
			"  agateswitch demo --scenario datacentre\n  agateswitch demo --keep",
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error { return runDemo(command, flags) },
	}
	command.Flags().StringVar(&flags.example, "example", examples.Hoofline, "example to run: hoofline or blue-mahoe")
	command.Flags().StringVar(&flags.scenario, "scenario", "mixed", "course of load: "+strings.Join(demo.ScenarioNames(), ", "))
	command.Flags().IntVar(&flags.routers, "routers", 3, "number of routers, 1 to 64")
	command.Flags().DurationVar(&flags.runFor, "run-for", 10*time.Second, "how long to send requests")
	command.Flags().Uint64Var(&flags.seed, "seed", 1, "seed of the load")
	command.Flags().StringVarP(&flags.output, "output", "o", "text", "output: text or json")
	command.Flags().BoolVar(&flags.keep, "keep", false, "leave the fleet running and print commands to try")
	command.Flags().StringVar(&flags.logLevel, "log-level", "error", "level of the routers' logs")
	return command
}

// check returns a usageError for a flag that is out of range.
func (f demoFlags) check() error {
	if f.routers < 1 || f.routers > 64 {
		return usageError{errors.Errorf("--routers must be 1 to 64, not %d", f.routers)}
	}
	if f.runFor <= 0 {
		return usageError{errors.Errorf("--run-for must be above zero, not %s", f.runFor)}
	}
	if f.output != "text" && f.output != "json" {
		return usageError{errors.Errorf("--output must be text or json, not %q", f.output)}
	}
	return nil
}

// runDemo runs a fleet under load and prints the report.
func runDemo(command *cobra.Command, flags demoFlags) error {
	if err := flags.check(); err != nil {
		return err
	}
	example, err := examples.Load(flags.example)
	if err != nil {
		return usageError{err}
	}
	scenario, err := demo.FindScenario(flags.scenario)
	if err != nil {
		return usageError{err}
	}
	progress := &sharedWriter{to: command.ErrOrStderr()}
	logger, err := telemetry.NewLogger(progress, flags.logLevel, "text")
	if err != nil {
		return usageError{err}
	}
	ctx, _, stop := signalContexts()
	defer stop()
	fleet, err := demo.Start(ctx, example, flags.routers, logger)
	if err != nil {
		return err
	}
	defer fleet.Stop()
	report, err := fleet.Run(ctx, scenario, flags.runFor, flags.seed, showProgress(progress))
	if err != nil {
		return err
	}
	if err := writeReport(command.OutOrStdout(), report, flags.output); err != nil {
		return err
	}
	if flags.keep && ctx.Err() == nil {
		fleet.WriteHints(command.OutOrStdout())
		<-ctx.Done()
	}
	if len(report.Faults) > 0 {
		return errors.Errorf("%d faults", len(report.Faults))
	}
	return nil
}

// showProgress returns a function that prints each phase, and its number of requests every
// progressInterval.
func showProgress(w io.Writer) demo.Progress {
	return func(ctx context.Context, phase string, tally *demo.Tally) {
		fmt.Fprintln(w, "phase", phase)
		ticker := time.NewTicker(progressInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				fmt.Fprintf(w, "  %s: %d requests\n", phase, tally.Total())
			}
		}
	}
}

func writeReport(w io.Writer, report demo.Report, output string) error {
	if output == "json" {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return errors.Trace(encoder.Encode(report))
	}
	report.Write(w)
	return nil
}
