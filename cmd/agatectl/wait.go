package main

import (
	"context"
	"fmt"
	"time"

	"agateswitch/adapter/operatorclient"
	"agateswitch/core/configuration"

	"github.com/spf13/cobra"
)

// defaultWaitTimeout is the default of --timeout. It exceeds the time that a change takes to be in
// force on all routers.
const defaultWaitTimeout = 20 * time.Second

// notDrainedError means that a data centre is out, but requests still run there after the timeout.
type notDrainedError struct {
	dataCentre string
	running    int
	timeout    time.Duration
}

// Error implements error.
func (e notDrainedError) Error() string {
	return fmt.Sprintf("data centre %s gets nothing new, but %d requests still run there after %s", e.dataCentre, e.running, e.timeout)
}

// waitOptions holds the flags of commands that can wait until a change is in force.
type waitOptions struct {
	enabled bool
	timeout time.Duration
}

func (w *waitOptions) addFlags(command *cobra.Command) {
	command.Flags().BoolVar(&w.enabled, "wait", false, "wait until all live routers have the change in force")
	command.Flags().DurationVar(&w.timeout, "timeout", defaultWaitTimeout, "how long --wait waits")
}

// waitInForce waits until all live routers have the revision in force, if --wait is set. The error
// after the timeout names the routers that lack it.
func (w *waitOptions) waitInForce(command *cobra.Command, client *operatorclient.Client, revision configuration.Revision) error {
	if !w.enabled {
		return nil
	}
	ctx, cancel := context.WithTimeout(command.Context(), w.timeout)
	defer cancel()
	answer, err := client.WaitInForce(ctx, revision)
	if err != nil {
		return err
	}
	command.PrintErrf("revision %d in force on all %d live routers\n", revision, answer.Live)
	return nil
}
