package cwquota_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwquota"
)

// TestMixedSizesOverQuota guards against short requests that are refused since long ones have spent
// the quota: eight short ones need what one long one does. Long ones must not starve either.
func TestMixedSizesOverQuota(t *testing.T) {
	for _, sc := range []struct {
		name       string
		factor     float64
		shortShare float64
		// shortFit is set if the short requests alone are within the quota.
		shortFit bool
	}{
		{"within the quota", 1, 0.7, true},
		{"oneAccountJumps", 7, 0.7, true},
		{"short ones alone above the quota", 12, 0.97, false},
	} {
		t.Run(sc.name, func(t *testing.T) {
			for _, count := range []int{6, 61} {
				is := is.New(t)
				f := newFleet(rand.New(rand.NewPCG(1, 2)), count, 6, cwquota.Limit{PerSecond: 700_000, Burst: 700_000})
				f.shortShare, f.shortTokens = sc.shortShare, 1_100
				f.run(10 * time.Second)
				f.demand *= sc.factor
				for _, phase := range []string{"while spending of before counts", "after that"} {
					f.resetCounts()
					f.run(window)
					t.Logf("%d instances, %s: allowed %d of %d short and %d of %d long ones, highest use %.2f of what is tolerated", count, phase, f.short.allowed, f.short.asked, f.long.allowed, f.long.asked, f.highest)
					is.True(f.highest <= 1)
				}
				if sc.shortFit {
					is.True(1-f.short.share() <= (1-f.long.share())/4)
				}
				is.True(f.long.share() >= f.short.share()/16)
			}
		})
	}
}

// TestOneSizeSpendsByBucket guards against an account that spends the quota of a whole window at
// once although all its requests are alike.
func TestOneSizeSpendsByBucket(t *testing.T) {
	is := is.New(t)
	start, limit := time.Unix(1_800_000_000, 0), cwquota.Limit{PerSecond: 1000, Burst: 1000}
	l := cwquota.NewLedger(cwquota.Source{Address: "10.0.0.1", Domain: "a"}, cwquota.Bounds{Window: window, Slack: 100}, start)
	l.Update(nil, start)
	allowed := 0
	for n := range 5000 {
		if l.TrySpend(1, limit, 1, start.Add(time.Duration(n)*time.Second/5000)).IsAllowed {
			allowed++
		}
	}
	is.True(allowed <= 2100)
}
