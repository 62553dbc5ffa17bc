package main

import (
	"fmt"

	"agateswitch/adapter/operatorhttp"
	"agateswitch/core/configuration"
	"agateswitch/node/configsync"

	"github.com/spf13/cobra"
)

func statusCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:     "status",
		Short:   "Show which revision each router has in force, and how the data centres stand",
		Example: "  agatectl status -o json",
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			status, err := o.client().Fleet(command.Context())
			if err != nil {
				return err
			}
			return printResult(command, o, status, func() { printFleet(command, status) })
		},
	}
}

func printFleet(command *cobra.Command, status operatorhttp.FleetAnswer) {
	command.Printf("revision %d in force here, confirmed by the key-value service %.0f s ago\n", status.Revision, status.ConfirmedSeconds)
	if status.StoreBehind {
		command.Println("the key-value service holds a lower revision: it was replaced or wiped, and changes are refused")
	}
	for _, dataCentre := range status.DataCentres {
		command.Printf("data centre %s\t%s\tweight %.2f\trunning %d\n", dataCentre.Name, dataCentre.State, dataCentre.Weight, dataCentre.Running)
	}
	for _, report := range status.Routers {
		command.Printf("router %s\t%s\n", report.Host, describeReport(report, status.Revision))
	}
}

// describeReport describes the state of a router, compared with a revision.
func describeReport(report configsync.HostReport, revision configuration.Revision) string {
	switch {
	case report.Unreachable:
		return "does not answer"
	case !report.Loaded:
		return "starting, without a configuration"
	case report.Revision < revision:
		return fmt.Sprintf("revision %d, lacks %d", report.Revision, revision)
	case report.Watching:
		return fmt.Sprintf("revision %d, watches the key-value service", report.Revision)
	default:
		return fmt.Sprintf("revision %d", report.Revision)
	}
}

func explainCommand(o *options) *cobra.Command {
	var team, pool string
	command := &cobra.Command{
		Use:     "explain CHAT",
		Short:   "Tell where a chat would run now and why",
		Example: "  agatectl explain c1 --team arima-yard --pool farrier-lm",
		Args:    cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			explained, err := o.client().Explain(command.Context(), team, pool, args[0])
			if err != nil {
				return err
			}
			return printResult(command, o, explained, func() {
				for _, line := range explained.Lines {
					command.Println(line)
				}
			})
		},
	}
	command.Flags().StringVar(&team, "team", "", "team of the chat")
	command.Flags().StringVar(&pool, "pool", "", "pool of the chat")
	command.MarkFlagRequired("team")
	command.MarkFlagRequired("pool")
	return command
}
