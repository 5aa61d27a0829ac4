package cwquota_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwquota"
)

const (
	tick           = 50 * time.Millisecond
	localInterval  = 300 * time.Millisecond
	remoteInterval = time.Second
	// readers is the number of instances of a domain that exchange with other domains.
	readers = 2
	// The bounds of the users' page of rules.
	window  = 8 * time.Second
	overage = 0.25
	slack   = 110_000.0
)

// fleet simulates instances in failure domains, the exchanges between them and the callers of one
// account.
type fleet struct {
	rng       *rand.Rand
	now       time.Time
	instances []*instance
	domains   int
	ticks     int
	limit     cwquota.Limit
	demand    float64
	// side returns the part of a partition in which an instance is.
	side func(i *instance) int
	// largest is the largest request in tokens.
	meanTokens, largestTokens float64
	// shortShare is the share of requests, by their number, that are short: shortTokens in the mean.
	shortShare, shortTokens float64
	short, long             sizeCount

	spent            []spending
	offered, refused int
	// ideal is the level of one bucket for all, and wronglyRefused counts the requests that it
	// allows and that were refused.
	ideal          float64
	wronglyRefused int
	retryAfter     []time.Duration
	// highest is the highest use of a window, as a part of what is tolerated.
	highest   float64
	highestAt time.Time
	bytes     int
}

type spending struct {
	at     time.Time
	tokens float64
}

// sizeCount counts the requests of one size.
type sizeCount struct{ asked, allowed int }

func (c sizeCount) share() float64 { return float64(c.allowed) / float64(c.asked) }

type instance struct {
	cwquota.Source
	number int
	ledger *cwquota.Ledger
	// offset is what the clock differs.
	offset       time.Duration
	frozen, dead bool
	told         map[int]time.Time
	toldDomain   map[string]time.Time
}

func newFleet(rng *rand.Rand, count, domains int, limit cwquota.Limit) *fleet {
	f := &fleet{
		rng: rng, now: time.Unix(1_800_000_000, 0), domains: domains, limit: limit, demand: limit.PerSecond / 1.8,
		meanTokens: 9200, largestTokens: 40_000, side: func(*instance) int { return 0 },
	}
	for n := range count {
		f.instances = append(f.instances, f.newInstance(n, 1))
	}
	return f
}

func (f *fleet) newInstance(n int, life uint64) *instance {
	i := &instance{number: n, offset: f.draw(time.Second), told: map[int]time.Time{}, toldDomain: map[string]time.Time{}}
	i.Source = cwquota.Source{Address: fmt.Sprintf("10.0.0.%d", n), Life: life, Domain: fmt.Sprintf("d%d", n%f.domains)}
	i.ledger = cwquota.NewLedger(i.Source, cwquota.Bounds{Window: window, Overage: overage, Slack: slack}, f.now)
	return i
}

func (f *fleet) draw(d time.Duration) time.Duration {
	return time.Duration(f.rng.Int64N(int64(d)))
}

// run lets time pass.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(tick) {
		f.exchangeAll()
		f.request()
		f.measure()
	}
}

func (f *fleet) canTalk(a, b *instance) bool {
	return !a.frozen && !a.dead && !b.frozen && !b.dead && f.side(a) == f.side(b)
}

func (f *fleet) exchangeAll() {
	f.updateAll()
	for n, a := range f.instances {
		for m, b := range f.instances[n+1:] {
			if a.Domain == b.Domain && f.canTalk(a, b) && f.now.Sub(a.told[n+1+m]) >= localInterval+f.draw(tick) {
				a.told[n+1+m] = f.now
				f.exchange(a, b)
			}
		}
		if n/f.domains < readers {
			f.exchangeRemote(a)
		}
	}
}

// updateAll brings a quarter of the ledgers up to date, so that each one is every 200 ms.
func (f *fleet) updateAll() {
	f.ticks++
	for n, i := range f.instances {
		if i.frozen || i.dead || (n+f.ticks)%4 != 0 {
			continue
		}
		others := make([]cwquota.Sharer, 0, len(f.instances))
		for m, other := range f.instances {
			if n != m {
				others = append(others, cwquota.Sharer{Source: other.Source, SilentSince: f.now})
			}
		}
		i.ledger.Update(others, f.clock(i))
	}
}

func (f *fleet) exchangeRemote(a *instance) {
	for d := range f.domains {
		domain := fmt.Sprintf("d%d", d)
		if domain == a.Domain || f.now.Sub(a.toldDomain[domain]) < remoteInterval+f.draw(remoteInterval/10) {
			continue
		}
		a.toldDomain[domain] = f.now
		perDomain := (len(f.instances) - d + f.domains - 1) / f.domains
		b := f.instances[d+f.domains*f.rng.IntN(perDomain)]
		if f.canTalk(a, b) {
			f.exchange(a, b)
		}
	}
}

func (f *fleet) exchange(a, b *instance) {
	toB, toA := a.ledger.MessageTo(b.Source, f.clock(a)), b.ledger.MessageTo(a.Source, f.clock(b))
	for _, m := range []*cwquota.Message{toA, toB} {
		f.bytes += 24 * len(m.Statements)
		for _, r := range m.Relayed {
			f.bytes += 12 + 24*len(r.Statements)
		}
	}
	b.ledger.Receive(a.Source, toB, f.clock(b))
	a.ledger.Receive(b.Source, toA, f.clock(a))
}

func (f *fleet) clock(i *instance) time.Time { return f.now.Add(i.offset) }

// request sends the requests of a tick, with sizes as callers have them, to any instances.
func (f *fleet) request() {
	f.ideal = min(f.ideal+f.limit.PerSecond*tick.Seconds(), f.limit.Burst)
	for wait := f.rng.ExpFloat64(); ; wait += f.rng.ExpFloat64() {
		if wait > f.demand/f.meanSize()*tick.Seconds() {
			return
		}
		i := f.instances[f.rng.IntN(len(f.instances))]
		if i.frozen || i.dead {
			continue
		}
		tokens, count := f.drawSize()
		d := i.ledger.TrySpend(1, f.limit, tokens, f.clock(i))
		f.offered++
		count.asked++
		isWithin := f.ideal >= min(tokens, f.limit.Burst)
		if isWithin {
			f.ideal -= tokens
		}
		if !d.IsAllowed {
			f.refused++
			if isWithin {
				f.wronglyRefused++
			}
			f.retryAfter = append(f.retryAfter, d.RetryAfter)
			continue
		}
		count.allowed++
		f.spent = append(f.spent, spending{f.now, tokens})
	}
}

func (f *fleet) meanSize() float64 {
	return f.shortShare*f.shortTokens + (1-f.shortShare)*f.meanTokens
}

// drawSize returns the size of a request, and the count of those of its kind.
func (f *fleet) drawSize() (float64, *sizeCount) {
	if f.shortShare > 0 && f.rng.Float64() < f.shortShare {
		return f.shortTokens * (0.5 + f.rng.Float64()), &f.short
	}
	return min(f.meanTokens*(0.4+0.6*f.rng.ExpFloat64()), f.largestTokens), &f.long
}

// used returns what was spent in the last window.
func (f *fleet) used() float64 {
	total := 0.0
	for n := len(f.spent) - 1; n >= 0 && f.now.Sub(f.spent[n].at) < window; n-- {
		total += f.spent[n].tokens
	}
	return total
}

func (f *fleet) tolerated() float64 {
	return (f.limit.PerSecond*window.Seconds()+f.limit.Burst)*(1+overage) + slack
}

func (f *fleet) measure() {
	if use := f.used() / f.tolerated(); use > f.highest {
		f.highest, f.highestAt = use, f.now
	}
}

// resetCounts starts the counts of refusals and the highest use anew.
func (f *fleet) resetCounts() {
	f.offered, f.refused, f.wronglyRefused, f.highest, f.bytes = 0, 0, 0, 0, 0
	f.short, f.long = sizeCount{}, sizeCount{}
}
