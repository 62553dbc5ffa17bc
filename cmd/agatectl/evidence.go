package main

import (
	"fmt"
	"io"
	"text/tabwriter"

	"agateswitch/core/evidence"

	"github.com/spf13/cobra"
)

func evidenceCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "evidence",
		Short: "List what a gateway believes of versions, prompt parts, requests and rate limits, and why",
		Long: "List what a gateway believes of versions, prompt parts, requests and rate limits, and why.\n\n" +
			"--server is the metrics address of the gateway, which knows what all others have observed. AGAINST is how many of the OBSERVATIONS\n" +
			"(answers of a version, ends of engines, answers that state a limit) speak against the subject; LATEST is the age of the last one.",
		Example: "  agatectl evidence --server 10.1.0.4:7341",
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			beliefs, err := o.client().Evidence(command.Context())
			if err != nil {
				return err
			}
			return printResult(command, o, beliefs, func() { printEvidence(command.OutOrStdout(), beliefs) })
		},
	}
}

// printEvidence prints a line for each belief.
func printEvidence(w io.Writer, beliefs []evidence.Belief) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "KIND\tSUBJECT\tSTATE\tOBSERVATIONS\tAGAINST\tOBSERVERS\tLATEST\tWHY")
	for _, b := range beliefs {
		observers := "-"
		if b.Observers > 0 {
			observers = fmt.Sprint(b.Observers)
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%s\t%s ago\t%s\n", b.Kind, b.Subject, b.State, b.Observations, b.Against, observers, b.Age(), b.Why)
	}
	table.Flush()
}
