package cwpolicy

import (
	"math/rand/v2"
	"time"
)

const (
	// spillStart is the predicted share of the target at which requests begin to
	// be sent to another domain, and spillStop the one at which they end.
	spillStart = 1.0
	spillStop  = 0.6
	// spillGain is how much better another domain must be.
	spillGain = 0.7
	// spillReserve is the share of a domain's slots that others may not fill.
	spillReserve = 0.2
	// summaryMaxAge is the age at which a summary is no longer believed.
	summaryMaxAge = 15 * time.Second
	// agePessimism is the wait that is added for each second of a summary's age.
	agePessimism = 0.05
	// awayPenalty is the share of the target that a full away weight adds.
	awayPenalty = 0.5
	// rampTime is how long a domain that returned takes to get its full share.
	rampTime = 20 * time.Second
)

// Spill decides for one pool whether a request leaves the domain. It starts and
// stops at different loads, so that it does not swing.
type Spill struct {
	active   bool
	returned map[string]time.Time
}

// NewSpill returns a policy that keeps requests at home at first.
func NewSpill() *Spill {
	return &Spill{returned: make(map[string]time.Time)}
}

// OnReturn records that a domain is reachable again after it was not.
func (s *Spill) OnReturn(domain string, now time.Time) {
	s.returned[domain] = now
}

// SpillInput is what the decision rests on.
type SpillInput struct {
	// Demand is the request.
	Demand *Demand
	// Home is whether this domain may serve the request at all.
	Home bool
	// HasLocal is set if a local endpoint was found; Local is its prediction.
	HasLocal bool
	// Local is the predicted time to the first token at home.
	Local time.Duration
	// Region is the region of this domain.
	Region string
	// Places are the permitted regions.
	Places Places
	// Domains are the pool's summaries from other domains.
	Domains []DomainRoom
}

// Decide returns the index of the domain that the request goes to, or -1 to keep
// it here.
func (s *Spill) Decide(in *SpillInput, now time.Time, rng *rand.Rand) int {
	if !in.Home || !in.HasLocal {
		return s.best(in, now, rng)
	}
	target := in.Demand.Target
	if in.Local > time.Duration(spillStart*float64(target)) {
		s.active = true
	}
	if in.Local < time.Duration(spillStop*float64(target)) {
		s.active = false
	}
	if !s.active || in.Local < time.Duration(spillStop*float64(target)) {
		return -1
	}
	best := s.best(in, now, rng)
	if best < 0 {
		return -1
	}
	remote := s.predict(in, &in.Domains[best], now)
	if in.Domains[best].Region != in.Region {
		remote += awayPenalty * in.Demand.Weights.Away * target.Seconds()
	}
	if remote > spillGain*in.Local.Seconds() {
		return -1
	}
	return best
}

func (s *Spill) best(in *SpillInput, now time.Time, rng *rand.Rand) int {
	best, bestWait := -1, 0.0
	for i := range in.Domains {
		d := &in.Domains[i]
		if !s.eligible(in, d, now, rng) {
			continue
		}
		wait := s.predict(in, d, now) * (1 + scoreJitter*rng.Float64())
		if best < 0 || wait < bestWait {
			best, bestWait = i, wait
		}
	}
	return best
}

func (s *Spill) eligible(in *SpillInput, d *DomainRoom, now time.Time, rng *rand.Rand) bool {
	if !in.Places.Allows(d.Region) || d.Endpoints == 0 || now.Sub(d.At) > summaryMaxAge {
		return false
	}
	// A request that can't run here needs no room to spare there: it queues.
	if !in.Home {
		return true
	}
	spare := float64(d.Free) - spillReserve*float64(d.Slots) - float64(d.Sent)
	if spare < 1 {
		return false
	}
	since := now.Sub(s.returned[d.Domain])
	return since >= rampTime || rng.Float64() < since.Seconds()/rampTime.Seconds()
}

// predict returns the seconds to the first token at the domain: its wait, aged,
// the round trip and the whole prompt on a cold cache.
func (s *Spill) predict(in *SpillInput, d *DomainRoom, now time.Time) float64 {
	cold := d.SecondsPerToken * float64(in.Demand.Tokens+overheadTokens)
	aged := agePessimism * now.Sub(d.At).Seconds()
	return d.WaitSeconds + aged + d.RoundTrip.Seconds() + cold
}

// AcceptSpill reports whether a pool takes a request that another domain sends
// by choice. A share of the slots stays for the domain's own callers.
func AcceptSpill(room Room) bool {
	return float64(room.Free) > spillReserve*float64(room.Slots)/2
}
