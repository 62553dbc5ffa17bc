package main

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"

	"agateswitch/enginemodel/supply"

	"github.com/juju/errors"
	"github.com/spf13/cobra"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
)

// supplyResult is what came of one policy for the number of engines on a load.
type supplyResult struct {
	Policy string `json:"policy"`
	supply.Result
}

func experimentScalingCommand(o *options) *cobra.Command {
	var flags experimentFlags
	command := &cobra.Command{
		Use:   "scaling",
		Short: "Compare policies for the number of engines on a model of a pool",
		Long: "Plays policies for the number of engines on one load, in virtual time and without a fleet, and prints the\n" +
			"time that engines are billed, the share of requests that had a slot, and the orders.",
		Example: "  agatectl experiment scaling --load step-up --policies fixed,lasting --plot engines.svg",
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return runExperimentScaling(command.OutOrStdout(), flags, o.output)
		},
	}
	command.Flags().StringVar(&flags.load, "load", "step-up", "load: "+strings.Join(supplyLoadNames(), ", "))
	command.Flags().StringSliceVar(&flags.policies, "policies", supply.PolicyNames(), "policies to compare")
	command.Flags().StringVar(&flags.plot, "plot", "", "file for a plot of the engines over time: .svg, .png or .pdf")
	return command
}

func supplyLoadNames() []string {
	var names []string
	for _, load := range supply.Loads() {
		names = append(names, load.Name)
	}
	return names
}

func runExperimentScaling(stdout io.Writer, flags experimentFlags, output string) error {
	i := slices.Index(supplyLoadNames(), flags.load)
	if i < 0 {
		return usageError{errors.Errorf("there is no load %q; there are %s", flags.load, strings.Join(supplyLoadNames(), ", "))}
	}
	var results []supplyResult
	for _, name := range flags.policies {
		policy, found := supply.Policies()[name]
		if !found {
			return usageError{errors.Errorf("there is no policy %q; there are %s", name, strings.Join(supply.PolicyNames(), ", "))}
		}
		results = append(results, supplyResult{Policy: name, Result: supply.Run(supply.Loads()[i], policy)})
	}
	if flags.plot != "" {
		if err := plotEngines(flags.load, results, flags.plot); err != nil {
			return errors.Annotate(err, "writing the plot")
		}
	}
	if output == "json" {
		encoder := json.NewEncoder(stdout)
		encoder.SetIndent("", "  ")
		return errors.Trace(encoder.Encode(results))
	}
	return printSupply(stdout, flags.load, results)
}

// printSupply prints the results as a table.
func printSupply(stdout io.Writer, load string, results []supplyResult) error {
	table := tabwriter.NewWriter(stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "load %s\n\npolicy\tengine seconds\tserved\tworst 3 s\tcrowded\torders\treversals\n", load)
	for _, r := range results {
		fmt.Fprintf(table, "%s\t%.0f\t%.4f\t%.3f\t%.3f\t%d\t%d\n", r.Policy, r.EngineSeconds, r.Served, r.Worst, r.Crowded, len(r.Orders), r.Reversals)
	}
	return errors.Trace(table.Flush())
}

// plotEngines writes a line for each policy: the engines that can work, by second.
func plotEngines(load string, results []supplyResult, file string) error {
	p := plot.New()
	p.Title.Text = "Engines that can work, load " + load
	p.X.Label.Text, p.Y.Label.Text = "s", "engines"
	p.Y.Min = 0
	p.Legend.Top = true
	for i, r := range results {
		points := make(plotter.XYs, len(r.Engines))
		for second, engines := range r.Engines {
			points[second] = plotter.XY{X: float64(second), Y: engines}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return errors.Trace(err)
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(r.Policy, line)
	}
	p.Y.Max *= 1 + plotMargin
	return errors.Trace(p.Save(plotWidth, plotHeight, file))
}
