package cwcommand

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/clementinewell/clementinewell/pkg/cwanswer"
	"github.com/clementinewell/clementinewell/pkg/cwclient"
)

func newCall() *cobra.Command {
	var instances []string
	var method, data string
	var timeout time.Duration
	cmd := &cobra.Command{
		Use:   "call SERVICE PATH",
		Short: "Send a request as a caller",
		Long:  "Send a request as a caller. The caller's key is read from the environment variable CLEMENTINEWELL_CALLER_KEY.",
		Args:  cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			client := cwclient.NewClient(instances, os.Getenv("CLEMENTINEWELL_CALLER_KEY"))
			resp, err := client.Call(cmd.Context(), cwclient.Request{
				Service: args[0], Method: strings.ToUpper(method), Path: args[1], Body: []byte(data), Timeout: timeout,
			})
			if err != nil {
				return err
			}
			defer resp.Body.Close()
			printResponseSummary(cmd, resp)
			if _, err := io.Copy(cmd.OutOrStdout(), resp.Body); err != nil {
				return fmt.Errorf("copy response body: %w", err)
			}
			cmd.Println()
			return nil
		},
	}
	cmd.Flags().StringSliceVar(&instances, "instance", []string{"127.0.0.1:8080"}, "caller address to start from; may be given more than once")
	cmd.Flags().StringVarP(&method, "method", "X", http.MethodGet, "HTTP method")
	cmd.Flags().StringVarP(&data, "data", "d", "", "request body")
	cmd.Flags().DurationVar(&timeout, "timeout", 0, "timeout of the request; 0 means the deadline of the service")
	return cmd
}

func printResponseSummary(cmd *cobra.Command, resp *http.Response) {
	header := resp.Header
	cmd.PrintErrf("status %d, outcome %s, instance %s, endpoint %s, region %s, request %s\n", resp.StatusCode,
		header.Get(cwanswer.HeaderOutcome), header.Get(cwanswer.HeaderInstance), header.Get(cwanswer.HeaderEndpoint),
		header.Get(cwanswer.HeaderRegion), header.Get(cwanswer.HeaderRequestID))
}
