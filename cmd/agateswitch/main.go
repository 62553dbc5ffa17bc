// Command agateswitch is the router, with a demo and stand-ins of what it works with.
package main

import (
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"
)

// Exit codes.
const (
	exitFailure = 1
	exitUsage   = 2
)

// usageError marks errors in the call itself.
type usageError struct{ error }

func main() {
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

// run executes one command and returns its exit code.
func run(args []string, stdout, stderr io.Writer) int {
	accepted := false
	root := rootCommand(&accepted)
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.Execute()
	if err == nil {
		return 0
	}
	fmt.Fprintln(stderr, "agateswitch:", err)
	if _, usage := err.(usageError); usage || !accepted {
		return exitUsage
	}
	return exitFailure
}

// rootCommand makes the program's commands. Accepted becomes true once the call's words have
// been found right.
func rootCommand(accepted *bool) *cobra.Command {
	root := &cobra.Command{
		Use:   "agateswitch",
		Short: "Routes returning chats and non-idempotent calls to model engines and plain services",
		Long: "Routes returning chats and non-idempotent calls to model engines and plain services.\n\n" +
			"Exit codes: 0 done, 1 failed, 2 the call's words are wrong.",
		SilenceUsage:  true,
		SilenceErrors: true,
		// It runs once arguments have been found right; cobra looks at required flags later.
		PersistentPreRunE: func(command *cobra.Command, _ []string) error {
			if err := command.ValidateRequiredFlags(); err != nil {
				return usageError{err}
			}
			*accepted = true
			return nil
		},
	}
	root.AddCommand(serveCommand(), gatewayCommand(), checkCommand(), demoCommand(), standinCommand(), versionCommand())
	return root
}
