package cwplacement_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/clementinewell/clementinewell/internal/cwplacement"
)

// TestRetryBudgetSchedule guards against instances that together make more retries than
// allowed. In random schedules of requests and bursts of retries, the retries of all instances in
// any window must stay within the ratio of the requests plus the slack. The requests are
// those of the window or of the one before it.
func TestRetryBudgetSchedule(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window, ratio, slack = 10 * time.Second, 0.2, 50.0
		start := time.Unix(1000, 0)
		instances := rapid.IntRange(1, 5).Draw(t, "instances")
		budgets := make([]*cwplacement.RetryBudget, instances)
		for i := range budgets {
			budgets[i] = cwplacement.NewRetryBudget(ratio, slack, window, start)
		}
		var requests, retries []time.Time
		now := start
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "pause")) * time.Millisecond)
			b := budgets[rapid.IntRange(0, instances-1).Draw(t, "instance")]
			if rapid.Bool().Draw(t, "request") {
				b.CountRequest(now)
				requests = append(requests, now)
				continue
			}
			for range rapid.IntRange(1, 60).Draw(t, "burst") {
				if b.TrySpend(instances, now) {
					retries = append(retries, now)
				}
			}
		}
		for _, end := range retries {
			allowed := ratio*float64(max(countWithin(requests, end, window), countWithin(requests, end.Add(-window), window))) + slack
			if got := countWithin(retries, end, window); float64(got) > allowed {
				t.Fatalf("%d retries in the window up to %v, allowed %.1f", got, end.Sub(start), allowed)
			}
		}
	})
}

// countWithin counts the times in the window up to the end.
func countWithin(times []time.Time, end time.Time, window time.Duration) int {
	n := 0
	for _, t := range times {
		if !t.After(end) && end.Sub(t) < window {
			n++
		}
	}
	return n
}

// TestRetryBudgetWithoutWindow guards against a request that ends in a division by zero because
// the settings give the budget no window, or one that is shorter than its buckets can be. The
// retries of one moment stay bounded.
func TestRetryBudgetWithoutWindow(t *testing.T) {
	for _, window := range []time.Duration{0, 1, 9, -time.Second} {
		t.Run(window.String(), func(t *testing.T) {
			is := is.New(t)
			start := time.Unix(1000, 0)
			b := cwplacement.NewRetryBudget(0.2, 10, window, start)
			for step := range 3 {
				now := start.Add(time.Duration(step) * time.Second)
				b.CountRequest(now)
				retries := 0
				for retries <= 100 && b.TrySpend(1, now) {
					retries++
				}
				is.True(retries <= 10) // at most the ratio of one request plus the slack
			}
		})
	}
}
