package cwquota_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwquota"
)

// TestQuotaMemory guards against windows above what a quota tolerates where instances know little
// of what was spent: the load comes again after a debt, or those who spent have started again.
func TestQuotaMemory(t *testing.T) {
	tests := []struct {
		name           string
		count, domains int
		rate           float64
		play           func(f *fleet)
	}{
		{"loadComesAgainAfterADebt", 36, 6, 29_000, func(f *fleet) {
			f.demand = 7 * f.limit.PerSecond / 1.8
			f.run(8 * time.Second)
			f.change("lower", f.demand)
			f.run(40 * time.Second)
		}},
		{"instanceAloneStartsAgain", 1, 1, 300_000, func(f *fleet) {
			f.demand *= 7
			f.run(5 * time.Second)
			f.change("restart", f.demand)
			f.run(time.Second)
			f.change("restart", f.demand)
			f.run(3 * time.Second)
		}},
		{"onlyInstanceOfADomainStartsAgain", 2, 2, 100_000, func(f *fleet) {
			f.change("lower", f.demand)
			f.change("lower", f.demand)
			f.change("lower", f.demand)
			f.change("restart", f.demand)
			f.run(4 * time.Second)
		}},
		{"instancesAreKilledInAJump", 4, 2, 100_000, func(f *fleet) { killInAJump(f, 2, 900*time.Millisecond) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.NewRelaxed(t)
			for seed := range uint64(20) {
				f := newFleet(rand.New(rand.NewPCG(seed, 1)), tt.count, tt.domains, cwquota.Limit{PerSecond: tt.rate, Burst: tt.rate})
				f.run(4 * time.Second)
				tt.play(f)
				t.Logf("seed %d: highest use %.2f of what is tolerated", seed, f.highest)
				is.True(f.highest <= 1)
			}
		})
	}
}

// killInAJump kills random instances, which start again at once, while the demand is at seven times
// the quota.
func killInAJump(f *fleet, kills int, interval time.Duration) {
	f.run(8 * time.Second)
	f.demand = 7 * f.limit.PerSecond
	f.run(2 * time.Second)
	for range kills {
		f.change("restart", f.demand)
		f.run(interval)
	}
	f.run(6 * time.Second)
}

// TestQuotaThroughManyKills guards against fleets that forget what was spent because each instance is
// killed within a window.
func TestQuotaThroughManyKills(t *testing.T) {
	is := is.NewRelaxed(t)
	for _, sc := range []struct{ count, domains, kills int }{{4, 2, 6}, {36, 6, 36}} {
		for seed := range uint64(20) {
			f := newFleet(rand.New(rand.NewPCG(seed, 1)), sc.count, sc.domains, cwquota.Limit{PerSecond: 100_000, Burst: 100_000})
			f.run(4 * time.Second)
			killInAJump(f, sc.kills, 5400*time.Millisecond/time.Duration(sc.kills))
			t.Logf("%d instances, %d kills, seed %d: highest use %.2f of what is tolerated", sc.count, sc.kills, seed, f.highest)
			is.True(f.highest <= 1)
		}
	}
}
