// Command agatectl is the command-line client for operators. It sends its requests to any one router.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"agateswitch/adapter/operatorclient"

	"github.com/spf13/cobra"
)

// Exit codes.
const (
	exitFailure = 1
	// exitUsage means that the command, an argument or a flag is invalid.
	exitUsage = 2
	// exitRefused means that the router refused the request.
	exitRefused = 3
	// exitTimedOut means that the change is accepted, but did not complete within --timeout.
	exitTimedOut = 4
)

// usageError marks invalid arguments, flags and input files.
type usageError struct{ error }

// options holds the flags that all commands share.
type options struct {
	server string
	token  string
	output string
	// argsValid is set once the command, its arguments and its flags are validated.
	argsValid bool
}

func (o *options) client() *operatorclient.Client {
	return operatorclient.New(o.server, o.token)
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}

// run executes one command and returns its exit code.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	o := &options{}
	root := rootCommand(o)
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.ExecuteContext(ctx)
	if err == nil {
		return 0
	}
	fmt.Fprintln(stderr, "agatectl:", err)
	var usage usageError
	var refused *operatorclient.FailureError
	var notInForce *operatorclient.LackingError
	var notDrained notDrainedError
	switch {
	case errors.As(err, &usage), !o.argsValid:
		return exitUsage
	case errors.As(err, &refused):
		return exitRefused
	case errors.As(err, &notInForce), errors.As(err, &notDrained):
		return exitTimedOut
	default:
		return exitFailure
	}
}

func rootCommand(o *options) *cobra.Command {
	root := &cobra.Command{
		Use:   "agatectl",
		Short: "Drive a fleet of agateswitch routers",
		Long: "Drive a fleet of agateswitch routers, through any one of them.\n\n" +
			"Exit codes: 0 done, 1 the call failed, 2 the call's words are wrong, 3 the router refused,\n4 accepted, but not in force everywhere or not drained within --timeout.",
		SilenceUsage:  true,
		SilenceErrors: true,
		// Cobra calls it after validating arguments, but before it checks required flags.
		PersistentPreRunE: func(command *cobra.Command, _ []string) error {
			if err := command.ValidateRequiredFlags(); err != nil {
				return usageError{err}
			}
			if o.output != "text" && o.output != "json" {
				return usageError{fmt.Errorf("--output must be text or json, not %q", o.output)}
			}
			// Read here and not as the flag's default, which the help would print.
			if o.token == "" {
				o.token = os.Getenv("AGATE_TOKEN")
			}
			o.argsValid = true
			return nil
		},
	}
	flags := root.PersistentFlags()
	flags.StringVar(&o.server, "server", envOr("AGATE_SERVER", "127.0.0.1:8081"), "operators' ip:port of any router (AGATE_SERVER)")
	flags.StringVar(&o.token, "token", "", "operator token; without it, AGATE_TOKEN counts")
	flags.StringVarP(&o.output, "output", "o", "text", "output: text or json")
	root.AddCommand(itemCommand(o, contractKind), itemCommand(o, poolKind), dataCentreCommand(o), versionCommand(o), orderCommand(o), statusCommand(o), surveyCommand(o), quarantineCommand(o), rateLimitsCommand(o), dutiesCommand(o), scalingCommand(o), evidenceCommand(o), explainCommand(o), experimentCommand(o))
	return root
}

func envOr(name, fallback string) string {
	if value := os.Getenv(name); value != "" {
		return value
	}
	return fallback
}
