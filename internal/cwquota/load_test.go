package cwquota_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwquota"
)

// maxSteadyRefusals is the part of requests that may be refused while demand is steadily within
// the quota.
const (
	maxSteadyRefusals = 0.001
	// steadyRequests is the number of requests by which that is measured.
	steadyRequests = 3000
)

// TestQuotaLoads guards against quotas that are exceeded, or refuse what is within them, where an
// even share of a quota is smaller than one request.
func TestQuotaLoads(t *testing.T) {
	limits := []cwquota.Limit{{PerSecond: 29_000, Burst: 29_000}, {PerSecond: 150_000, Burst: 150_000}, {PerSecond: 700_000, Burst: 700_000}}
	scenarios := []struct {
		name string
		play func(is *is.I, f *fleet)
	}{
		{"oneAccountJumps", func(_ *is.I, f *fleet) {
			f.run(4 * time.Second)
			f.demand *= 7
			f.run(20 * time.Second)
		}},
		{"largeRequestsOverManyInstances", func(_ *is.I, f *fleet) {
			f.meanTokens, f.largestTokens = 30_000, 40_000
			f.demand = 3 * f.limit.PerSecond
			f.run(20 * time.Second)
		}},
		{"quotaLowered", func(_ *is.I, f *fleet) {
			f.run(10 * time.Second)
			f.limit.PerSecond, f.limit.Burst = f.limit.PerSecond/4, f.limit.Burst/4
			f.run(window)
			f.resetCounts()
			f.run(12 * time.Second)
		}},
		{"sidesOfAPartition", func(_ *is.I, f *fleet) {
			f.run(10 * time.Second)
			f.side = func(i *instance) int { return (i.number % f.domains) / 2 }
			f.run(10 * time.Second)
			f.demand *= 3
			f.run(20 * time.Second)
			f.side = func(*instance) int { return 0 }
			f.run(12 * time.Second)
		}},
		{"steady", func(is *is.I, f *fleet) {
			f.run(5 * time.Second)
			f.resetCounts()
			for f.offered < steadyRequests {
				f.run(10 * time.Second)
			}
			is.True(float64(f.wronglyRefused) <= maxSteadyRefusals*float64(f.offered))
		}},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			for _, count := range []int{6, 61} {
				for _, limit := range limits {
					f := newFleet(rand.New(rand.NewPCG(1, 2)), count, 6, limit)
					is := is.NewRelaxed(t)
					s.play(is, f)
					t.Logf("%d instances, %g tokens/s: %d of %d refused, %d wrongly, highest use %.2f of what is tolerated after %v, %.0f B/s an instance", count, limit.PerSecond, f.refused, f.offered, f.wronglyRefused, f.highest, f.highestAt.Sub(time.Unix(1_800_000_000, 0)), float64(f.bytes)/f.now.Sub(time.Unix(1_800_000_000, 0)).Seconds()/float64(count))
					is.True(f.highest <= 1)
				}
			}
		})
	}
}
