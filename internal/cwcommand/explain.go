package cwcommand

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"github.com/clementinewell/clementinewell/internal/cwgate"
	"github.com/clementinewell/clementinewell/internal/cwplacement"
)

// explainOptions are the flags of the command explain.
type explainOptions struct {
	instance, account, host, path, parts string
	promptTokens, outputTokens           int
	timeout                              time.Duration
	asJSON                               bool
}

func newExplain() *cobra.Command {
	o := &explainOptions{}
	cmd := &cobra.Command{
		Use:   "explain [SERVICE]",
		Short: "Print where a request would go from an instance now, and why, without sending it",
		Long: "Print where a request would go from an instance now, and why, without sending it. On the\n" +
			"users' platform name --host and --path, elsewhere the SERVICE.",
		Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error { return o.run(cmd, args) },
	}
	for _, name := range []string{"instance", "admin"} {
		cmd.Flags().StringVar(&o.instance, name, defaultAdminAddress, "operator address of the instance")
	}
	cmd.Flags().StringVar(&o.account, "account", "", "name of the account of the caller")
	cmd.Flags().StringVar(&o.host, "host", "", "host of the request")
	cmd.Flags().StringVar(&o.path, "path", "", "path of the request")
	cmd.Flags().IntVar(&o.promptTokens, "prompt-tokens", 0, "length of the prompt in tokens; 0 means the sum of the parts")
	cmd.Flags().IntVar(&o.outputTokens, "output-tokens", 0, "expected length of the output in tokens")
	cmd.Flags().StringVar(&o.parts, "parts", "", "parts of the prompt, id:tokens separated by commas, with hexadecimal ids")
	cmd.Flags().DurationVar(&o.timeout, "timeout", 0, "timeout of the request; 0 means the default one")
	cmd.Flags().BoolVar(&o.asJSON, "json", false, "print JSON")
	return cmd
}

func (o *explainOptions) run(cmd *cobra.Command, args []string) error {
	if len(args) == 1 {
		if o.host != "" || o.path != "" {
			return errors.New("name SERVICE, or --host and --path, not both")
		}
		query := url.Values{"service": {args[0]}, "account": {o.account}}
		return printJSON(cmd, o.instance, "/explain?"+query.Encode())
	}
	if o.host == "" || o.path == "" {
		return errors.New("name SERVICE, or --host and --path")
	}
	path := "/explain?" + o.query().Encode()
	if o.asJSON {
		return printJSON(cmd, o.instance, path)
	}
	var x cwgate.RequestExplanation
	if err := getJSON(cmd.Context(), o.instance, path, &x); err != nil {
		return err
	}
	printExplanation(cmd.OutOrStdout(), &x)
	return nil
}

// query returns the request as the operator interface reads it.
func (o *explainOptions) query() url.Values {
	query := url.Values{"host": {o.host}, "path": {o.path}}
	for name, text := range map[string]string{"account": o.account, "parts": o.parts} {
		if text != "" {
			query.Set(name, text)
		}
	}
	for name, number := range map[string]int{"promptTokens": o.promptTokens, "outputTokens": o.outputTokens, "timeoutMillis": int(o.timeout.Milliseconds())} {
		if number != 0 {
			query.Set(name, strconv.Itoa(number))
		}
	}
	return query
}

func printExplanation(out io.Writer, x *cwgate.RequestExplanation) {
	fmt.Fprintln(out, decisionText(x))
	fmt.Fprintf(out, "route %s, service %s%s, account %s, priority %d\n", x.Route, x.Service, otherSharesText(x.OtherServices), orDash(x.Account), x.Priority)
	fmt.Fprintf(out, "regions allowed by the route: %s; by the account: %s\n", orAll(x.RouteHomes), orAll(x.AccountHomes))
	if q := x.Quota; q != nil {
		fmt.Fprintf(out, "quota %g %s/s, burst %g: %.1f left, %.1f of it for this instance, the request counts %g; share in contact %.2f, oldest input %.3f s old\n",
			q.PerSecond, q.Unit, q.Burst, q.Level, q.Spendable, q.Amount, q.ShareInContact, q.InputAgeSeconds)
	}
	if x.IsCutOff {
		fmt.Fprintln(out, "this instance is cut off from the endpoints of its region")
	}
	if x.IsLeaving {
		fmt.Fprintln(out, "this instance is leaving")
	}
	if x.UncheckedBlocks > 0 {
		fmt.Fprintf(out, "%d other blocks in force, which may depend on the body: see \"blocks\"\n", x.UncheckedBlocks)
	}
	printInputs(out, &x.Inputs)
	printEndpointCandidates(out, &x.Placement)
	printDomainCandidates(out, &x.Placement)
}

func decisionText(x *cwgate.RequestExplanation) string {
	p := &x.Placement
	if q := x.Quota; q != nil && !q.IsAllowed {
		return fmt.Sprintf("refuse: over the quota of the account, retry after %.1f s", q.RetryAfterSeconds)
	}
	if x.Block != nil {
		return "refuse: blocked because such requests end endpoints (" + strings.Join(x.Block.Traits, ", ") + ")"
	}
	text := fmt.Sprintf("%s to %s: %s", p.Action, p.Place, p.Reason)
	if p.Action == "refuse" {
		text = fmt.Sprintf("refuse: %s, retry after %.1f s", p.Reason, p.RetryAfterSeconds)
		if p.IsAwaited {
			text = "wait for a silent endpoint, then " + text
		}
	}
	return fmt.Sprintf("%s (first byte here %s, in another region %s)", text, secondsText(p.LocalFirstByteSeconds), secondsText(p.RemoteFirstByteSeconds))
}

func printInputs(out io.Writer, in *cwgate.ExplanationInputs) {
	fmt.Fprintf(out, "configuration %d, revision %d, era %d, reports of %d instances (latest %s, oldest %s old)\n",
		in.ConfigVersion, in.Revision, in.Era, in.PeerReports, secondsText(in.LatestPeerReportAgeSeconds), secondsText(in.OldestPeerReportAgeSeconds))
	if in.IsStoreUnreachable {
		fmt.Fprintln(out, "the store is unreachable for this instance")
	}
	if in.AreCapacitiesExpected {
		fmt.Fprintln(out, "this instance has just started: capacities of other regions may be missing")
	}
}

func printEndpointCandidates(out io.Writer, x *cwplacement.Explanation) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "ENDPOINT\tDOMAIN\tCOST\tFIRST s\tWAIT s\tREST s\tTOKENS\tAGAIN\tBAND\tNOTE")
	for i := range x.Endpoints {
		c := &x.Endpoints[i]
		if c.Exclusion != "" {
			fmt.Fprintf(w, "%s\t%s\t-\t-\t-\t-\t-\t-\t-\t%s\n", c.ID, c.Domain, c.Exclusion)
			continue
		}
		fmt.Fprintf(w, "%s\t%s\t%.3f\t%.3f\t%.3f\t%.3f\t%d\t%d\t%d\t%s\n", c.ID, c.Domain, c.Cost, c.FirstByteSeconds, c.WaitSeconds, c.RestSeconds,
			c.UncachedTokens, c.RecomputedTokens, c.Band, notes(c.ID == x.Place, c.IsSimilar, c.IsAffinity, c.IsDegraded))
	}
	_ = w.Flush()
	printOthers(out, x.OtherEndpoints)
}

func printDomainCandidates(out io.Writer, x *cwplacement.Explanation) {
	if len(x.Domains) == 0 {
		return
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "DOMAIN\tREGION\tCOST\tFIRST s\tTOKENS\tAGE s\tROUND TRIP s\tNOTE")
	for i := range x.Domains {
		c := &x.Domains[i]
		if c.Exclusion != "" {
			fmt.Fprintf(w, "%s\t%s\t-\t-\t-\t%.1f\t%.3f\t%s\n", c.Domain, c.Region, c.SummaryAgeSeconds, c.RoundTripSeconds, c.Exclusion)
			continue
		}
		fmt.Fprintf(w, "%s\t%s\t%.3f\t%.3f\t%d\t%.1f\t%.3f\t%s\n", c.Domain, c.Region, c.Cost, c.FirstByteSeconds, c.UncachedTokens, c.SummaryAgeSeconds, c.RoundTripSeconds,
			notes(c.Domain == x.Place, false, c.Region == x.AffinityRegion, false))
	}
	_ = w.Flush()
	printOthers(out, x.OtherDomains)
}

func notes(isPlace, isSimilar, isAffinity, isDegraded bool) string {
	var words []string
	for _, note := range []struct {
		applies bool
		word    string
	}{{isPlace, "chosen"}, {isSimilar && !isPlace, "similar"}, {isAffinity, "affinity"}, {isDegraded, "degraded"}} {
		if note.applies {
			words = append(words, note.word)
		}
	}
	return strings.Join(words, ", ")
}

func printOthers(out io.Writer, others map[cwplacement.Exclusion]int) {
	for _, exclusion := range slices.Sorted(maps.Keys(others)) {
		fmt.Fprintf(out, "%d more: %s\n", others[exclusion], exclusion)
	}
}

func otherSharesText(weights map[string]float64) string {
	if len(weights) == 0 {
		return ""
	}
	var others []string
	for _, service := range slices.Sorted(maps.Keys(weights)) {
		others = append(others, fmt.Sprintf("%s %g", service, weights[service]))
	}
	return " (largest share; others: " + strings.Join(others, ", ") + ")"
}

func secondsText(seconds *float64) string {
	if seconds == nil {
		return "-"
	}
	return fmt.Sprintf("%.3f s", *seconds)
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}

func orAll(regions []string) string {
	if len(regions) == 0 {
		return "all"
	}
	return strings.Join(regions, ", ")
}
