package main

import (
	"fmt"
	"io"
	"text/tabwriter"

	"agateswitch/node/ratelimit"

	"github.com/spf13/cobra"
)

func rateLimitsCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:     "rate-limits",
		Short:   "List the rate limits that upstreams state in their answers, as a gateway knows them",
		Long:    "List the rate limits that upstreams state in their answers, as a gateway knows them.\n\n--server is the metrics address of the gateway.",
		Example: "  agatectl rate-limits --server 10.1.0.4:7341",
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			limits, err := o.client().RateLimits(command.Context())
			if err != nil {
				return err
			}
			return printResult(command, o, limits, func() { printRateLimits(command.OutOrStdout(), limits) })
		},
	}
}

// printRateLimits prints a line for each upstream.
func printRateLimits(w io.Writer, limits []ratelimit.Limit) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "UPSTREAM\tPER SECOND\tSTATED\tKEEPER")
	for _, l := range limits {
		fmt.Fprintf(table, "%s\t%.3g\t%s ago\t%s\n", l.Upstream, l.PerSecond, l.StatedAgo(), l.Keeper)
	}
	table.Flush()
}
