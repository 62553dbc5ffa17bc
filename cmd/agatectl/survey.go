package main

import (
	"fmt"
	"io"
	"text/tabwriter"

	"agateswitch/core/fleethealth"

	"github.com/spf13/cobra"
)

func surveyCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "survey",
		Short: "Show how a fleet of gateways is, by data centre, and which routers are in doubt",
		Long: "Show how a fleet of gateways is, by data centre, and which routers are in doubt.\n\n" +
			"--server is the metrics address of any gateway, which asks all others.",
		Example: "  agatectl survey --server 10.1.0.4:7341",
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			summary, err := o.client().Survey(command.Context())
			if err != nil {
				return err
			}
			return printResult(command, o, summary, func() { printSurvey(command.OutOrStdout(), summary) })
		},
	}
}

// printSurvey prints a line for each data centre and one for each router in doubt.
func printSurvey(w io.Writer, summary fleethealth.Summary) {
	fmt.Fprintf(w, "%d routers, version %d of the desired state\n", summary.Routers, summary.Version)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "DATA CENTRE\tROUTERS\tSILENT\tSTARTING\tBEHIND\tLEAVING\tWATCHING\tCUT OFF\tOLDEST COPY")
	for _, d := range summary.DataCentres {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f s\n",
			d.Name, d.Routers, d.Silent, d.Starting, d.Behind, d.Leaving, d.Watching, d.Cut, float64(d.OldestCopyMs)/1000)
	}
	table.Flush()
	for _, doubt := range summary.Doubts {
		fmt.Fprintf(w, "%s (%s): %s\n", doubt.Host, doubt.DataCentre, doubt.Reason)
	}
	if summary.FurtherDoubts > 0 {
		fmt.Fprintf(w, "and %d more in doubt\n", summary.FurtherDoubts)
	}
}
