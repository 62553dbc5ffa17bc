package main

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"agateswitch/core/quarantine"
	node "agateswitch/node/quarantine"

	"github.com/spf13/cobra"
)

func quarantineCommand(o *options) *cobra.Command {
	command := &cobra.Command{
		Use:   "quarantine",
		Short: "List or release parts of prompts and requests that gateways hold back because they crash engines",
		Long: "List or release parts of prompts and whole requests that gateways hold back because they crash engines.\n\n" +
			"--server is the metrics address of any gateway, which tells all others.",
	}
	command.AddCommand(quarantineListCommand(o), quarantineReleaseCommand(o))
	return command
}

func quarantineListCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List what is held back or on trial, with its route, its team and the engines that ended",
		Long: "List what is held back or on trial, with its route, its team and the engines that ended.\n\n" +
			"STATE is held, tried (held again: an engine ended on trial) or trial. IN COMPANY is how many of the engines ended when others did, too.\n" +
			"ENDS is how many times engines ended on the part, of all ends in its pool meanwhile; SHARE how many of the pool's requests had the part;\n" +
			"BASE RATE how often a sound part with this share is in work on an engine that ends; ODDS how many times as likely the ends are if the\n" +
			"part is guilty. NEXT TRIAL waits until engines have stopped to end.",
		Example: "  agatectl quarantine list --server 10.1.0.4:7341",
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			holds, err := o.client().Quarantine(command.Context())
			if err != nil {
				return err
			}
			return printResult(command, o, holds, func() { printHolds(command.OutOrStdout(), holds) })
		},
	}
}

func quarantineReleaseCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:     "release PART",
		Short:   "Send requests with a part, or a whole request, to engines again",
		Example: "  agatectl quarantine release 5c1e07a2 --server 10.1.0.4:7341",
		Args:    cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			return o.client().ReleasePart(command.Context(), quarantine.Part(args[0]))
		},
	}
}

// printHolds prints a line for each part.
func printHolds(w io.Writer, holds []node.Listed) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "PART\tSTATE\tSINCE\tBY\tROUTE\tTEAM\tIN COMPANY\tENDS\tSHARE\tBASE RATE\tODDS\tNEXT TRIAL\tENDED ENGINES")
	for _, h := range holds {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\t%d\t%s\t%s\t%v\n",
			h.Part, h.State(), h.Since.UTC().Format(time.RFC3339), h.Router, h.Route, h.Team, h.Accompanied, describeWeight(h.Weight), describeTrial(h.NextTrial), h.Engines)
	}
	table.Flush()
}

// describeWeight returns the columns of what the ends prove; routers of earlier builds don't tell it.
func describeWeight(w *quarantine.Weight) string {
	if w == nil {
		return "-\t-\t-\t-"
	}
	return fmt.Sprintf("%d/%d\t%d/%d\t%.2f\t%.3g", w.Ends, w.PoolEnds, w.With, w.Requests, w.BaseRate, w.Factor)
}

func describeTrial(at time.Time) string {
	if at.IsZero() {
		return "-"
	}
	return at.UTC().Format(time.RFC3339)
}
