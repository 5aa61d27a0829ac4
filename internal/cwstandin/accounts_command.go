package cwstandin

import (
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"github.com/clementinewell/clementinewell/pkg/cwservice"
)

func newAccountsCommand() *cobra.Command {
	var count, edition int
	var services []string
	cmd := &cobra.Command{
		Use: "accounts", Short: "Print an accounts file of any size", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			out := cmd.OutOrStdout()
			fmt.Fprintln(out, "accounts:")
			for i := range count {
				// Only the first account differs between editions.
				home := ""
				if i == 0 && edition%2 == 1 {
					home = ", home: north"
				}
				name := fmt.Sprintf("account-%d", i)
				fmt.Fprintf(out, "  - {name: %s, keySha256: %s, services: [%s]%s}\n",
					name, cwservice.HashKey(name+"-key"), strings.Join(services, ", "), home)
			}
			return nil
		},
	}
	cmd.Flags().IntVar(&count, "count", 25000, "number of accounts")
	cmd.Flags().IntVar(&edition, "edition", 0, "editions next to each other differ in one account")
	cmd.Flags().StringSliceVar(&services, "service", []string{"job-lookup"}, "services of each account")
	return cmd
}
