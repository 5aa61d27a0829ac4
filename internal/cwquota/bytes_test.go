package cwquota_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwquota"
)

// maxBytes is what an instance may send in a second for all control.
const maxBytes = 13_000

// TestManyAccountsOverTheirQuotas guards against statements that take more than the bytes of
// control where many accounts are over their quotas at all instances at once.
func TestManyAccountsOverTheirQuotas(t *testing.T) {
	const (
		count, accounts   = 129, 24
		requestsPerSecond = 66
		tokens            = 9200
	)
	for _, use := range []float64{0.5, 1.5} {
		rate := requestsPerSecond * count * tokens / accounts / use
		f := newFleet(rand.New(rand.NewPCG(1, 2)), count, 6, cwquota.Limit{PerSecond: rate, Burst: rate})
		start := f.now
		for f.now.Before(start.Add(4 * time.Second)) {
			f.now = f.now.Add(tick)
			f.exchangeAll()
			for _, i := range f.instances {
				for range int(requestsPerSecond * tick.Seconds()) {
					i.ledger.TrySpend(f.rng.Uint64N(accounts), f.limit, tokens, f.clock(i))
				}
			}
			if f.now.Sub(start) <= 2*time.Second {
				f.bytes = 0
			}
		}
		perInstance := f.bytes / count / 2
		t.Logf("%.1f of the quotas: %d B/s an instance", use, perInstance)
		is.New(t).True(perInstance <= maxBytes)
	}
}
