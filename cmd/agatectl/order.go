package main

import (
	"agateswitch/core/fleet"
	"agateswitch/core/order"

	"github.com/spf13/cobra"
)

func orderCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "order POOL UPSTREAM KIND NAME",
		Short: "Order an engine to load a model, adapter or version, or to change its role",
		Long: "Order an engine to load a model, adapter or version, or to change its role, and wait until it has.\n\n" +
			"KIND is load_model, load_adapter, load_version or change_role.",
		Example: "  agatectl order farrier-lm farrier-lm-3 load_version 2",
		Args:    cobra.ExactArgs(4),
		RunE: func(command *cobra.Command, args []string) error {
			wanted := order.Order{Kind: order.Kind(args[2]), Name: args[3]}
			result, err := o.client().Order(command.Context(), fleet.PoolID(args[0]), fleet.UpstreamID(args[1]), wanted)
			if err != nil {
				return err
			}
			return printResult(command, o, result, func() {
				command.Printf("%s is as ordered (%s %s), sent %d times with fencing number %d\n",
					args[1], wanted.Kind, wanted.Name, result.Sends, result.Order.Fence)
			})
		},
	}
}
