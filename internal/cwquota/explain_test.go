package cwquota_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/clementinewell/clementinewell/internal/cwquota"
)

// TestExplainHasNoEffect guards against an explanation that spends, that reserves a return, or that
// differs from what happens to the request: of two ledgers with the same requests and messages one is
// asked before each request.
func TestExplainHasNoEffect(t *testing.T) {
	const (
		id       = 7
		requests = 4000
	)
	is := is.New(t)
	rng := rand.New(rand.NewPCG(5, 1))
	limit := cwquota.Limit{PerSecond: 10, Burst: 30}
	now := time.Unix(1_800_000_000, 0)
	newLedger := func(address string) *cwquota.Ledger {
		return cwquota.NewLedger(cwquota.Source{Address: address, Life: 1, Domain: "a"}, cwquota.Bounds{Window: window, Slack: 6}, now)
	}
	source := func(address string) cwquota.Source { return cwquota.Source{Address: address, Life: 1, Domain: "a"} }
	asked, untouched, other := newLedger("10.0.0.1"), newLedger("10.0.0.1"), newLedger("10.0.0.2")
	allowed, refused, heldToPart, apart := 0, 0, 0, 0
	for n := range requests {
		now = now.Add(time.Duration(rng.IntN(250)) * time.Millisecond)
		for _, l := range []*cwquota.Ledger{asked, untouched} {
			l.Update([]cwquota.Sharer{{Source: source("10.0.0.2"), SilentSince: now}}, now)
		}
		if n%1000 < 900 { // then the other one is out of contact
			told := other.MessageTo(source("10.0.0.1"), now)
			asked.Receive(source("10.0.0.2"), told, now)
			untouched.Receive(source("10.0.0.2"), told, now)
			stated := asked.MessageTo(source("10.0.0.2"), now)
			is.Equal(stated, untouched.MessageTo(source("10.0.0.2"), now))
			other.Receive(source("10.0.0.1"), stated, now)
		}
		amount := rng.ExpFloat64() * 4
		other.TrySpend(id, limit, rng.ExpFloat64(), now)
		for range rng.IntN(4) {
			asked.Explain(id, limit, rng.ExpFloat64()*20, now)
			asked.Explain(id+1, limit, 1, now)
		}
		spendable := asked.Spendable(id, limit, now)
		explained := asked.Explain(id, limit, amount, now)
		d := asked.TrySpend(id, limit, amount, now)
		is.True(isSameDecision(explained, d))
		is.True(isSameDecision(untouched.TrySpend(id, limit, amount, now), d))
		if d.Level > 0 && math.Abs(amount-spendable) > d.Level/1000 && amount < d.Level {
			is.Equal(d.IsAllowed, amount < spendable)
		}
		if d.Share < 1 {
			apart++
		}
		switch {
		case d.IsAllowed:
			allowed++
		case amount < d.Level:
			heldToPart++
		default:
			refused++
		}
	}
	t.Logf("%d allowed, %d refused, %d refused beyond the instance's part", allowed, refused, heldToPart)
	is.True(allowed > requests/10 && refused > requests/100 && heldToPart > requests/100 && apart > requests/100)
}

// isSameDecision reports whether two decisions are equal but for the order of sums.
func isSameDecision(a, b cwquota.Decision) bool {
	isNear := func(x, y float64) bool { return math.Abs(x-y) < 1e-6 }
	return a.IsAllowed == b.IsAllowed && isNear(a.Level, b.Level) && isNear(a.Share, b.Share) && a.InputAge == b.InputAge && (a.RetryAfter-b.RetryAfter).Abs() < time.Microsecond
}
