package main

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"agateswitch/node/duty"

	"github.com/spf13/cobra"
)

func dutiesCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "duties",
		Short: "List the singleton duties, as a gateway knows them",
		Long: "List the singleton duties, as a gateway knows them: who holds each, with which token, and on the holder since when and how its last call ended.\n\n" +
			"--server is the metrics address of the gateway. Only the first routers in line for a duty know its holder.",
		Example: "  agatectl duties --server 10.1.0.4:7341",
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			duties, err := o.client().Duties(command.Context())
			if err != nil {
				return err
			}
			return printResult(command, o, duties, func() { printDuties(command.OutOrStdout(), duties) })
		},
	}
}

// printDuties prints a line for each subject.
func printDuties(w io.Writer, duties []duty.Status) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "DUTY\tSUBJECT\tHOLDER\tTOKEN\tRANK\tHELD\tLEFT\tCALLS\tLAST CALL")
	for _, d := range duties {
		held, left, last := "-", "-", "-"
		if d.Holds {
			held, left = milliseconds(d.HeldMs), milliseconds(d.LeftMs)
		}
		if d.Calls > 0 {
			last = fmt.Sprintf("%s ago: %s", milliseconds(d.LastCallMs), d.LastOutcome)
		}
		holder := string(d.Holder)
		if holder == "" {
			holder = "-"
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%s\t%s\t%d\t%s\n", d.Duty, d.Subject, holder, d.Token, d.Rank, held, left, d.Calls, last)
	}
	table.Flush()
}

func milliseconds(count int64) string { return (time.Duration(count) * time.Millisecond).String() }
