// Command agateswitch runs a router, a demo fleet, or a stand-in of the platform or of an upstream.
package main

import (
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"
)

// Exit codes of the command, besides 0 for success.
const (
	exitFailure = 1
	exitUsage   = 2
)

// usageError marks an error in the command line.
type usageError struct{ error }

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

// run executes one command and returns its exit code.
func run(args []string, stdout, stderr io.Writer) int {
	argsValid := false
	root := rootCommand(&argsValid)
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.Execute()
	if err == nil {
		return 0
	}
	fmt.Fprintln(stderr, "agateswitch:", err)
	if _, usage := err.(usageError); usage || !argsValid {
		return exitUsage
	}
	return exitFailure
}

// rootCommand returns the command with its subcommands. It sets argsValid once the command line has
// been validated.
func rootCommand(argsValid *bool) *cobra.Command {
	root := &cobra.Command{
		Use:   "agateswitch",
		Short: "Routes returning chats and non-idempotent calls to model engines and plain services",
		Long: "Routes returning chats and non-idempotent calls to model engines and plain services.\n\n" +
			"Exit codes: 0 done, 1 failed, 2 the call's words are wrong.",
		SilenceUsage:  true,
		SilenceErrors: true,
		// cobra calls this after it has validated the arguments, but before it checks required
		// flags.
		PersistentPreRunE: func(command *cobra.Command, _ []string) error {
			if err := command.ValidateRequiredFlags(); err != nil {
				return usageError{err}
			}
			*argsValid = true
			return nil
		},
	}
	root.AddCommand(serveCommand(), gatewayCommand(), checkCommand(), demoCommand(), standinCommand(), versionCommand())
	return root
}
