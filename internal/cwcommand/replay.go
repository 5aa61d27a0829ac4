package cwcommand

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"github.com/clementinewell/clementinewell/internal/cwtrace"
)

func newReplay() *cobra.Command {
	return &cobra.Command{
		Use:   "replay FILE...",
		Short: "Replay recorded traces through the decision code and compare the outcomes",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, files []string) error {
			for _, file := range files {
				if err := replayFile(cmd, file); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

func replayFile(cmd *cobra.Command, file string) error {
	f, err := os.Open(file)
	if err != nil {
		return fmt.Errorf("replay: %w", err)
	}
	defer f.Close()
	compared, err := cwtrace.Replay(f)
	if err != nil {
		return fmt.Errorf("replay %s: %w", file, err)
	}
	cmd.Printf("%s: %d outcomes as stated\n", file, compared)
	return nil
}
