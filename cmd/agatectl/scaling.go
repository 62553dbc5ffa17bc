package main

import (
	"cmp"
	"fmt"
	"io"
	"strconv"
	"text/tabwriter"
	"time"

	"agateswitch/node/scaling"

	"github.com/spf13/cobra"
)

func scalingCommand(o *options) *cobra.Command {
	command := &cobra.Command{Use: "scaling", Short: "Show how the number of engines is decided"}
	command.AddCommand(scalingPlanCommand(o))
	return command
}

func scalingPlanCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "plan",
		Short: "Show what would be ordered now for each pool and data centre, and why; nothing is ordered",
		Long: "Show what would be ordered now for each pool and data centre, and why; nothing is ordered.\n\n" +
			"Any gateway knows what the need of this moment asks for. Only the one that holds the duty knows what was needed in the last\n" +
			"seconds, and so what it orders. --server is the metrics address of the gateway.",
		Example: "  agatectl scaling plan --server 10.1.0.4:7341",
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			plans, err := o.client().ScalingPlans(command.Context())
			if err != nil {
				return err
			}
			return printResult(command, o, plans, func() { printPlans(command.OutOrStdout(), plans) })
		},
	}
}

// printPlans prints a line for each pool and data centre.
func printPlans(w io.Writer, plans []scaling.Plan) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "POOL\tDATA CENTRE\tLISTED\tABLE\tWANTED\tLIMITS\tORDERED\tNEXT\tWHY\tLAST ORDER")
	for _, p := range plans {
		ordered, next, last := "-", "-", "-"
		if p.Held {
			ordered, next = strconv.Itoa(p.Ordered), strconv.Itoa(p.Engines)
		}
		if p.LastOrder != nil {
			last = fmt.Sprintf("%d %s, %s ago", p.LastOrder.Engines, p.LastOrder.Outcome, time.Since(p.LastOrder.At).Round(time.Second))
		}
		fmt.Fprintf(table, "%s\t%s\t%d\t%.1f\t%.1f\t%d-%d\t%s\t%s\t%s\t%s\n", p.Pool, p.DataCentre, p.Listed, p.Able, p.Wanted,
			p.Min, p.Max, ordered, next, cmp.Or(p.Problem, p.Reason, "another router decides"), last)
	}
	table.Flush()
}
