package main

import (
	"encoding/json"

	"agateswitch/adapter/operatorclient"
	"agateswitch/core/configuration"
	"agateswitch/core/fleet"

	"github.com/spf13/cobra"
)

func dataCentreCommand(o *options) *cobra.Command {
	command := &cobra.Command{Use: "datacentre", Short: "Take a data centre out or bring it back"}
	command.AddCommand(
		dataCentreSet(o, "out", "Give a data centre no new work", true),
		dataCentreSet(o, "in", "Give a data centre work again", false),
	)
	return command
}

func dataCentreSet(o *options, use, short string, out bool) *cobra.Command {
	return &cobra.Command{
		Use:     use + " NAME",
		Short:   short,
		Example: "  agatectl datacentre " + use + " arima",
		Args:    cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			value, err := json.Marshal(configuration.DataCentre{Name: fleet.DataCentre(args[0]), Out: out})
			if err != nil {
				return err
			}
			key := configuration.Key{Kind: configuration.KindDataCentre, Name: args[0]}
			accepted, err := o.client().Put(command.Context(), key, value, operatorclient.ChangeOptions{})
			if err != nil {
				return err
			}
			return show(command, o, accepted, func() {
				command.Printf("data centre %s %s, accepted at revision %d\n", args[0], use, accepted.Revision)
			})
		},
	}
}
