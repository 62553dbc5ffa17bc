package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"agateswitch/enginemodel"

	"github.com/juju/errors"
	"github.com/spf13/cobra"
)

// experimentFlags are the flags of the experiment command.
type experimentFlags struct {
	load     string
	policies []string
	seed     uint64
	plot     string
}

// policyResult is what came of one policy on a load.
type policyResult struct {
	Policy string `json:"policy"`
	enginemodel.Result
}

func experimentCommand(o *options) *cobra.Command {
	var flags experimentFlags
	command := &cobra.Command{
		Use:   "experiment",
		Short: "Compare policies of placement on a model of engines",
		Long: "Plays policies of placement on one load, in virtual time and without a fleet, and prints\n" +
			"the reuse of caches, the skew, the times to the first event and what was refused.",
		Example: "  agatectl experiment --load crash --policies prompt,least-loaded\n" +
			"  agatectl experiment --load hot-prompt -o json --plot first-events.svg",
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return runExperiment(command.OutOrStdout(), flags, o.output)
		},
	}
	command.Flags().StringVar(&flags.load, "load", "calm", "load: "+strings.Join(loadNames(), ", "))
	command.Flags().StringSliceVar(&flags.policies, "policies", []string{"prompt", "least-loaded"},
		"policies to compare: "+strings.Join(enginemodel.PolicyNames(), ", "))
	command.Flags().Uint64Var(&flags.seed, "seed", 1, "seed of the load")
	command.Flags().StringVar(&flags.plot, "plot", "", "file for a plot of the times to the first event: .svg, .png or .pdf")
	command.AddCommand(experimentScalingCommand(o))
	return command
}

func loadNames() []string {
	var names []string
	for _, load := range enginemodel.Loads() {
		names = append(names, load.Name)
	}
	return names
}

// findLoad returns the load with a name.
func findLoad(name string) (enginemodel.Load, error) {
	for _, load := range enginemodel.Loads() {
		if load.Name == name {
			return load, nil
		}
	}
	return enginemodel.Load{}, usageError{errors.Errorf("there is no load %q; there are %s", name, strings.Join(loadNames(), ", "))}
}

func runExperiment(stdout io.Writer, flags experimentFlags, output string) error {
	load, err := findLoad(flags.load)
	if err != nil {
		return err
	}
	for _, name := range flags.policies {
		if _, found := enginemodel.Policies[name]; !found {
			return usageError{errors.Errorf("there is no policy %q; there are %s", name, strings.Join(enginemodel.PolicyNames(), ", "))}
		}
	}
	var results []policyResult
	for _, name := range flags.policies {
		results = append(results, policyResult{Policy: name, Result: enginemodel.Run(load, enginemodel.Policies[name], flags.seed)})
	}
	if flags.plot != "" {
		if err := plotFirstEvents(load.Name, results, flags.plot); err != nil {
			return errors.Annotate(err, "writing the plot")
		}
	}
	if output == "json" {
		encoder := json.NewEncoder(stdout)
		encoder.SetIndent("", "  ")
		return errors.Trace(encoder.Encode(results))
	}
	return printExperiment(stdout, load.Name, results)
}

// printExperiment prints the results as tables.
func printExperiment(stdout io.Writer, load string, results []policyResult) error {
	table := tabwriter.NewWriter(stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "load %s\n\npolicy\treuse\tskew\tover cap\n", load)
	for _, r := range results {
		fmt.Fprintf(table, "%s\t%.3f\t%.2f\t%.4f\n", r.Policy, r.Reuse, r.Skew, r.OverCap)
	}
	fmt.Fprintln(table, "\npolicy\tkind\trequests\tin aim\tlate\texpired\trefused\tlost\tp50\tp95\tp99")
	for _, r := range results {
		for _, k := range r.Kinds {
			fmt.Fprintf(table, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t%s\n", r.Policy, k.Kind, k.Requests, k.InAim, k.Late, k.Expired,
				k.Refused, k.Lost, k.P50.Round(time.Millisecond), k.P95.Round(time.Millisecond), k.P99.Round(time.Millisecond))
		}
	}
	return errors.Trace(table.Flush())
}
