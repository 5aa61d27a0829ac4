package cwquota_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/clementinewell/clementinewell/internal/cwquota"
)

// TestScheduleQuota guards against windows above what a quota tolerates in random schedules of
// jumps, partitions between domains, freezes, restarts, single instances cut off and lower limits.
func TestScheduleQuota(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		rate := rapid.SampledFrom([]float64{29_000, 100_000, 300_000, 700_000}).Draw(t, "rate")
		domains := rapid.IntRange(1, 6).Draw(t, "domains")
		count := domains * rapid.IntRange(1, 6).Draw(t, "perDomain")
		f := newFleet(rand.New(rand.NewPCG(seed, 1)), count, domains, cwquota.Limit{PerSecond: rate, Burst: rate})
		f.run(4 * time.Second)
		usual := f.demand
		for step := range rapid.IntRange(1, 6).Draw(t, "steps") {
			f.change(rapid.SampledFrom([]string{"jump", "usual", "partition", "heal", "freeze", "thaw", "restart", "cutOff", "lower"}).Draw(t, fmt.Sprint("step", step)), usual)
			f.run(time.Duration(rapid.IntRange(1, 120).Draw(t, fmt.Sprint("ticks", step))) * 100 * time.Millisecond)
			if f.highest > 1 {
				t.Fatalf("a window used %.2f of what is tolerated", f.highest)
			}
		}
	})
}

// change plays one step of a schedule.
func (f *fleet) change(name string, usual float64) {
	chosen := f.instances[f.rng.IntN(len(f.instances))]
	switch name {
	case "jump":
		// Seven times what the quota is made for, and no less than what the account sends.
		f.demand = max(7*f.limit.PerSecond/1.8, usual)
	case "usual":
		f.demand = usual
	case "partition":
		split := f.rng.IntN(f.domains)
		f.side = func(i *instance) int {
			if i.number%f.domains <= split {
				return 0
			}
			return 1
		}
	case "cutOff":
		f.side = func(i *instance) int {
			if i == chosen {
				return 1
			}
			return 0
		}
	case "heal":
		f.side = func(*instance) int { return 0 }
	case "freeze":
		chosen.frozen = true
	case "thaw":
		for _, i := range f.instances {
			i.frozen = false
		}
	case "restart":
		f.instances[chosen.number] = f.newInstance(chosen.number, chosen.Life+1)
	case "lower":
		f.limit.PerSecond, f.limit.Burst = f.limit.PerSecond/2, f.limit.Burst/2
		// A lower limit binds one window later.
		f.run(window)
		f.highest = 0
	}
}
