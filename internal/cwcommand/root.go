// Package cwcommand is the command line.
package cwcommand

import (
	"os"

	"github.com/spf13/cobra"
)

// Version is set when the program is built for a release.
var Version = "development"

// NewRoot returns the command clementinewell with all its subcommands.
func NewRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "clementinewell",
		Short:         "A gateway that routes model inference requests across regions",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetOut(os.Stdout)
	root.AddCommand(
		newServe(), newPublish(), newCheck(), newCall(), newBurn(), newStatus(), newExplain(),
		newReplay(), newSettings(), newTrace(), newVersion(),
	)
	return root
}

func newVersion() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		Run:   func(cmd *cobra.Command, _ []string) { cmd.Println(Version) },
	}
}
