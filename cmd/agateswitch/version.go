package main

import (
	"fmt"
	"runtime/debug"

	"github.com/spf13/cobra"
)

// release is the version of this program.
const release = "0.1.0"

func versionCommand() *cobra.Command {
	return &cobra.Command{
		Use:     "version",
		Short:   "Print the version",
		Example: "  agateswitch version",
		Args:    cobra.NoArgs,
		Run: func(command *cobra.Command, _ []string) {
			fmt.Fprintln(command.OutOrStdout(), "agateswitch", release, revision())
		},
	}
}

// revision returns the source revision that the build recorded, if any.
func revision() string {
	info, _ := debug.ReadBuildInfo()
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return setting.Value
		}
	}
	return "unknown revision"
}
