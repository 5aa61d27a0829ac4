// Command cwtrial simulates the placement policies in virtual time and prints the
// tables of docs/MEASUREMENTS.md.
package main

import (
	"flag"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/clementinewell/clementinewell/internal/cwtrial"
)

const maxConcurrentTrials = 6

func main() {
	seed := flag.Uint64("seed", 1, "seed of the random arrivals and decisions")
	deployment := flag.String("deployment", "", "run only the deployment of this name")
	flag.Parse()
	for _, d := range cwtrial.Deployments() {
		if *deployment == "" || *deployment == d.Name {
			printTable(d, *seed)
		}
	}
}

func printTable(d cwtrial.Deployment, seed uint64) {
	fmt.Printf("\n### %s, seed %d\n\n", d.Name, seed)
	fmt.Println("| scenario | policy | p50 ms | p95 ms | p99 ms | p99.9 ms | late | refused | failed | useful tokens/s | cost | away | recovery |")
	fmt.Println("|---|---|---|---|---|---|---|---|---|---|---|---|---|")
	policies := cwtrial.Policies()
	for _, s := range cwtrial.Scenarios() {
		results := make([]*cwtrial.Result, len(policies))
		var g errgroup.Group
		g.SetLimit(maxConcurrentTrials)
		for i, p := range policies {
			g.Go(func() error {
				results[i] = cwtrial.Run(d, s, p, seed)
				return nil
			})
		}
		_ = g.Wait()
		for i, p := range policies {
			fmt.Println(formatRow(s, p, results[i]))
		}
	}
}

func formatRow(s cwtrial.Scenario, p cwtrial.Policy, r *cwtrial.Result) string {
	recovery := ""
	if s.OutageTo > 0 {
		recovery = "not seen"
		if r.RecoveryTime > 0 {
			recovery = r.RecoveryTime.Round(time.Second).String()
		}
	}
	return fmt.Sprintf("| %s | %s | %.0f | %.0f | %.0f | %.0f | %.2f%% | %.2f%% | %.2f%% | %.0f | %.2f | %.2f%% | %s |",
		s.Name, p, r.FirstTokenPercentileMillis(50), r.FirstTokenPercentileMillis(95), r.FirstTokenPercentileMillis(99), r.FirstTokenPercentileMillis(99.9),
		100*r.RequestShare(r.Late), 100*r.RequestShare(r.Refused), 100*r.RequestShare(r.Failed), r.Goodput(), r.CostPerThousandTokens(), 100*r.RequestShare(r.ServedRemotely), recovery)
}
