// Package cwcommand implements the command line of the program clementinewell.
package cwcommand

import (
	"os"

	"github.com/spf13/cobra"
)

// Version is the version of the program. It is set at build time for a release.
var Version = "development"

// NewRoot returns the root command with all subcommands.
func NewRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "clementinewell",
		Short:         "A gateway that routes model inference requests across regions",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.SetOut(os.Stdout)
	root.AddCommand(
		newServe(), newPublish(), newCheck(), newCall(), newBurn(), newStatus(), newExplain(), newBlocks(), newUnblock(),
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
