package main

import (
	"context"
	"fmt"
	"time"

	"agateswitch/adapter/operatorclient"
	"agateswitch/core/configuration"

	"github.com/spf13/cobra"
)

// defaultWait is how long --wait waits: the time to in force everywhere, and some more.
const defaultWait = 20 * time.Second

// stillRunningError means that a data centre is out, but not empty yet.
type stillRunningError struct {
	name    string
	running int
	after   time.Duration
}

// Error implements error.
func (e stillRunningError) Error() string {
	return fmt.Sprintf("data centre %s gets nothing new, but %d requests still run there after %s", e.name, e.running, e.after)
}

// waitOptions hold the flags of commands that can wait until a change is in force.
type waitOptions struct {
	wait    bool
	timeout time.Duration
}

func (w *waitOptions) addFlags(command *cobra.Command) {
	command.Flags().BoolVar(&w.wait, "wait", false, "wait until all live routers have the change in force")
	command.Flags().DurationVar(&w.timeout, "timeout", defaultWait, "how long --wait waits")
}

// inForce waits, if that is asked for, and names the routers that lack the revision.
func (w *waitOptions) inForce(command *cobra.Command, client *operatorclient.Client, revision configuration.Revision) error {
	if !w.wait {
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
