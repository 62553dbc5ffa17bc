package main

import (
	"context"

	"agateswitch/adapter/operatorclient"
	"agateswitch/adapter/operatorhttp"
	"agateswitch/core/fleet"

	"github.com/spf13/cobra"
)

func dataCentreCommand(o *options) *cobra.Command {
	command := &cobra.Command{Use: "datacentre", Short: "Take a data centre out or bring it back"}
	command.AddCommand(
		dataCentreSet(o, "out", "Give a data centre no new work", true),
		dataCentreSet(o, "in", "Give a data centre work again, by a ramp", false),
	)
	return command
}

// dataCentreSet returns the command that takes a data centre out or brings it in.
func dataCentreSet(o *options, use, short string, out bool) *cobra.Command {
	change := operatorclient.DataCentreOptions{Out: out}
	wait := &waitOptions{}
	command := &cobra.Command{
		Use:     use + " NAME",
		Short:   short,
		Example: "  agatectl datacentre " + use + " arima --wait",
		Args:    cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			client := o.client()
			accepted, err := client.SetDataCentre(command.Context(), args[0], change)
			if err != nil {
				return err
			}
			err = printResult(command, o, accepted, func() { printDataCentre(command, args[0], use, accepted) })
			if err != nil || change.DryRun {
				return err
			}
			if err := wait.waitInForce(command, client, accepted.Revision); err != nil {
				return err
			}
			if !out || !wait.enabled {
				return nil
			}
			return waitDrained(command, client, wait, args[0])
		},
	}
	wait.addFlags(command)
	command.Flags().BoolVar(&change.DryRun, "plan", false, "show what would change, and change nothing")
	command.Flags().BoolVar(&change.Force, "force", false, "also for a data centre that the host list does not know, or the last one that is in")
	if !out {
		command.Flags().IntVar(&change.RampSeconds, "ramp", 0, "seconds until it has its whole weight; 0 keeps what is configured (default 120)")
	}
	return command
}

// printDataCentre prints the effects on each pool and the accepted revision; revision 0 is a plan.
func printDataCentre(command *cobra.Command, name, action string, accepted operatorhttp.DataCentreAnswer) {
	for _, effect := range accepted.Effects {
		command.Printf("pool %s: takes out %d of %d upstreams", effect.Pool, effect.Leaving, effect.Total)
		if effect.BoundPercent == 0 {
			command.Printf("; nothing is left\n")
			continue
		}
		command.Printf("; the rest would carry %.0f%% of the bound\n", effect.BoundPercent)
	}
	if accepted.Revision == 0 {
		command.Printf("data centre %s %s: planned, nothing changed\n", name, action)
		return
	}
	command.Printf("data centre %s %s, accepted at revision %d\n", name, action, accepted.Revision)
}

// waitDrained waits until no request runs in the data centre. It returns a notDrainedError when
// requests are still running after the timeout.
func waitDrained(command *cobra.Command, client *operatorclient.Client, wait *waitOptions, name string) error {
	ctx, cancel := context.WithTimeout(command.Context(), wait.timeout)
	defer cancel()
	running, err := client.WaitDrained(ctx, fleet.DataCentre(name))
	if err != nil {
		return err
	}
	if running > 0 {
		return notDrainedError{dataCentre: name, running: running, timeout: wait.timeout}
	}
	command.PrintErrf("data centre %s is out, nothing runs there\n", name)
	return nil
}
