package cwapp_test

import (
	"flag"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwscene"
	"github.com/clementinewell/clementinewell/internal/cwstandin"
)

var (
	firstChangeSeed = flag.Uint64("change.seed", 1, "first seed of TestChangeSchedule")
	changeSeeds     = flag.Uint64("change.seeds", 20, "number of seeds of TestChangeSchedule")
)

// TestChangeSchedule guards against requests that get no final response, more than one run, or a
// response that is not that of their endpoint, in random schedules of requests beside changes of
// the configuration, the entries and the settings.
func TestChangeSchedule(t *testing.T) {
	for seed := *firstChangeSeed; seed < *firstChangeSeed+*changeSeeds; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			inRoutedScene(t, func(t *testing.T, _ *is.I, s *cwscene.RoutedScene) {
				c := newChangeSchedule(t.Context(), s, seed)
				var inProgress sync.WaitGroup
				var mu sync.Mutex
				var problems []string
				for step := range 150 {
					if c.rng.IntN(3) == 0 {
						c.change()
					}
					if step > 10 {
						r, i := c.randomRequest(), c.instances[c.rng.IntN(len(c.instances))]
						inProgress.Go(func() {
							resp := c.Do(t.Context(), i, r)
							if problem := c.findProblem(r, resp); problem != "" {
								mu.Lock()
								defer mu.Unlock()
								problems = append(problems, problem)
							}
						})
					}
					time.Sleep(time.Duration(c.rng.IntN(400)) * time.Millisecond)
				}
				inProgress.Wait()
				if len(problems) > 0 {
					t.Fatalf("%d problems, the first: %s\nchanges:\n%s", len(problems), problems[0], strings.Join(c.log, "\n"))
				}
			})
		})
	}
}

// findProblem returns what is wrong with the response to a request; empty if nothing is.
func (c *changeSchedule) findProblem(r cwscene.RoutedRequest, resp cwscene.RoutedResponse) string {
	describe := func(problem string) string {
		return fmt.Sprintf("%s %s (%v): %s: status %d, error %v, after %v, body %q", resp.RequestID, r.Path, r.Header, problem, resp.Status, resp.Err, resp.Elapsed, resp.Body)
	}
	if resp.Status == 0 {
		return describe("no response")
	}
	if resp.Elapsed > r.Timeout+500*time.Millisecond {
		return describe("held after its deadline")
	}
	if resp.Err == nil && resp.Status == http.StatusOK && !isWholeResponse(resp) {
		return describe("not the response of an endpoint")
	}
	runs := 0
	for _, run := range collectRuns(c.endpoints) {
		if run.RequestID == resp.RequestID {
			runs++
		}
	}
	if resp.Status == http.StatusServiceUnavailable && runs > 0 {
		return describe(fmt.Sprint("refused as not run, but runs: ", runs))
	}
	return ""
}

// isWholeResponse reports whether the body is a complete one of a worker.
func isWholeResponse(resp cwscene.RoutedResponse) bool {
	if strings.HasPrefix(resp.Body, "answer of ") {
		return strings.HasSuffix(resp.Body, " to "+resp.RequestID)
	}
	events := strings.Join(heldWorkerPieces(&http.Request{Header: http.Header{"Clementinewell-Token-Count": {"900,60"}}}), "")
	return resp.Body == events && resp.Header.Get(cwstandin.RequestIDHeader) == resp.RequestID
}
