package cwcommand

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/clementinewell/clementinewell/internal/cwburn"
	"github.com/clementinewell/clementinewell/internal/cwsetting"
)

const adminTimeout = 3 * time.Second

// maxAdminBytes bounds a response of the operator interface.
const maxAdminBytes = 16 << 20

const defaultAdminAddress = "127.0.0.1:8082"

// callAdmin calls the operator interface of an instance and returns the response's body. A
// response with another status than 2xx is an error.
func callAdmin(ctx context.Context, method, address, path string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, nil)
	if err != nil {
		return nil, fmt.Errorf("query instance at %s: %w", address, err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, fmt.Errorf("query instance at %s: %w", address, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAdminBytes))
	if resp.StatusCode >= http.StatusMultipleChoices {
		return nil, fmt.Errorf("query instance at %s for %s: status %d: %s", address, path, resp.StatusCode, strings.TrimSpace(string(body[:min(len(body), 512)])))
	}
	if err != nil {
		return nil, fmt.Errorf("query instance at %s for %s: %w", address, path, err)
	}
	return body, nil
}

// getJSON queries the operator interface of an instance and decodes the response into
// out.
func getJSON(ctx context.Context, address, path string, out any) error {
	body, err := callAdmin(ctx, http.MethodGet, address, path)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, out); err != nil {
		return fmt.Errorf("query instance at %s for %s: %w", address, path, err)
	}
	return nil
}

func newBurn() *cobra.Command {
	var instances []string
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "burn",
		Short: "Report how fast services consume their error budgets",
		Long: "Read the request counts of each instance from its operator interface and add them up.\n" +
			"An instance counts only since its own start; the report states the longest time covered.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			reports := make([]cwburn.Report, 0, len(instances))
			for _, address := range instances {
				report := cwburn.Report{}
				if err := getJSON(cmd.Context(), address, "/burn", &report); err != nil {
					cmd.PrintErrln("instance skipped:", err)
					continue
				}
				reports = append(reports, report)
			}
			merged := cwburn.MergeReports(reports)
			if asJSON {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(merged)
			}
			printBurnReport(cmd.OutOrStdout(), merged, len(reports), len(instances))
			return nil
		},
	}
	cmd.Flags().StringSliceVar(&instances, "instance", []string{defaultAdminAddress}, "operator address of an instance; may be given more than once")
	cmd.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return cmd
}

func printBurnReport(out io.Writer, r cwburn.Report, responded, queried int) {
	fmt.Fprintf(out, "%d of %d instances answered; counts go back %s at most\n", responded, queried, r.Uptime().Round(time.Second))
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	header := "SERVICE\tREGION\tREQUESTS\tBAD\tAWAY\tP50 ms\tP99 ms"
	for _, window := range cwburn.Windows() {
		header += "\tBURN " + window.Name
	}
	fmt.Fprintln(w, header+"\tBUDGET LEFT\tALARMS\tREASONS")
	for _, s := range r.Series {
		longest := s.Windows[len(s.Windows)-1]
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%.1f\t%.1f", s.Service, s.Region, longest.Total, longest.Bad, longest.ServedRemotely, s.FirstByteP50Millis, s.FirstByteP99Millis)
		for _, window := range s.Windows {
			fmt.Fprintf(w, "\t%.2f", window.BurnRate)
		}
		reasons := make([]string, 0, len(s.Reasons))
		for _, reason := range s.Reasons {
			reasons = append(reasons, fmt.Sprintf("%s %d", reason.Reason, reason.Count))
		}
		fmt.Fprintf(w, "\t%.0f%%\t%s\t%s\n", 100*s.BudgetRemaining, strings.Join(s.FiringAlarms, ","), strings.Join(reasons, ", "))
	}
	_ = w.Flush()
}

func newStatus() *cobra.Command {
	var instance string
	cmd := &cobra.Command{
		Use:   "status",
		Short: "Print the state of an instance and the age of its view of peers and endpoints",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return printJSON(cmd, instance, "/status")
		},
	}
	cmd.Flags().StringVar(&instance, "instance", defaultAdminAddress, "operator address of the instance")
	return cmd
}

func newBlocks() *cobra.Command {
	var instance string
	cmd := &cobra.Command{
		Use:   "blocks",
		Short: "Print which requests an instance refuses because such requests end endpoints",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return printJSON(cmd, instance, "/blocks")
		},
	}
	cmd.Flags().StringVar(&instance, "instance", defaultAdminAddress, "operator address of the instance")
	return cmd
}

func newUnblock() *cobra.Command {
	var instance string
	cmd := &cobra.Command{
		Use:   "unblock ID",
		Short: "Lift a block that \"blocks\" prints, at all instances",
		Long: "Lift a block that \"blocks\" prints. The instance tells the others. Lift a block when the\n" +
			"endpoints have been repaired: it begins again with the next three that end.",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			_, err := callAdmin(cmd.Context(), http.MethodDelete, instance, "/blocks/"+args[0])
			return err
		},
	}
	cmd.Flags().StringVar(&instance, "instance", defaultAdminAddress, "operator address of the instance")
	return cmd
}

func printJSON(cmd *cobra.Command, address, path string) error {
	var document json.RawMessage
	if err := getJSON(cmd.Context(), address, path, &document); err != nil {
		return err
	}
	cmd.Println(string(document))
	return nil
}

func newSettings() *cobra.Command {
	return &cobra.Command{
		Use:   "settings",
		Short: "Print the settings page in Markdown",
		Args:  cobra.NoArgs,
		Run:   func(cmd *cobra.Command, _ []string) { cmd.Print(cwsetting.RenderPage()) },
	}
}
