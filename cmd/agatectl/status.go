package main

import (
	"github.com/spf13/cobra"
)

func statusCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:     "status",
		Short:   "Show what a router knows of the fleet",
		Example: "  agatectl status -o json",
		Args:    cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			status, err := o.client().Status(command.Context())
			if err != nil {
				return err
			}
			return show(command, o, status, func() {
				command.Printf("host %s in %s, revision %d in force\n", status.Host.ID, status.Host.DataCentre, status.Revision)
				for _, router := range status.Routers {
					command.Printf("router %s\t%s\t%s\t%s\n", router.ID, router.DataCentre, router.State, router.HTTPAddress)
				}
			})
		},
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
			return show(command, o, explained, func() {
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
