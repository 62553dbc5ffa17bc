// Command agateswitch is the router, with a demo and stand-ins of what it works with.
package main

import (
	"fmt"
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
	root := &cobra.Command{
		Use:           "agateswitch",
		Short:         "Routes returning chats and once-only calls to model engines and plain services",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	root.AddCommand(serveCommand(), checkCommand(), demoCommand(), standinCommand(), versionCommand())
	err := root.Execute()
	if err == nil {
		return
	}
	fmt.Fprintln(os.Stderr, "agateswitch:", err)
	if _, usage := err.(usageError); usage {
		os.Exit(exitUsage)
	}
	os.Exit(exitFailure)
}
