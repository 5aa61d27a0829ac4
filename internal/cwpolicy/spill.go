package cwpolicy

import (
	"math/rand/v2"
	"time"
)

const (
	// spilloverStartRatio is the predicted share of the target at which requests begin to
	// be sent to another domain, and spillStop the one at which they end.
	spilloverStartRatio = 1.0
	spilloverStopRatio  = 0.6
	// maxSpilloverTimeRatio is how much better another domain must be.
	maxSpilloverTimeRatio = 0.7
	// reservedSlotRatio is the share of a domain's slots that others may not fill.
	reservedSlotRatio = 0.2
	// capacityReportMaxAge is the age at which a summary is no longer believed.
	capacityReportMaxAge = 15 * time.Second
	// reportAgeWaitRatio is the wait that is added for each second of a summary's age.
	reportAgeWaitRatio = 0.05
	// otherRegionPenalty is the share of the target that a full away weight adds.
	otherRegionPenalty = 0.5
	// domainSlowStart is how long a domain that returned takes to get its full share.
	domainSlowStart = 20 * time.Second
)

// SpilloverPolicy decides for one pool whether a request leaves the domain. It starts and
// stops at different loads, so that it does not swing.
type SpilloverPolicy struct {
	isActive    bool
	recoveredAt map[string]time.Time
}

// NewSpilloverPolicy returns a policy that keeps requests at home at first.
func NewSpilloverPolicy() *SpilloverPolicy {
	return &SpilloverPolicy{recoveredAt: make(map[string]time.Time)}
}

// OnDomainRecovered records that a domain is reachable again after it was not.
func (s *SpilloverPolicy) OnDomainRecovered(domain string, now time.Time) {
	s.recoveredAt[domain] = now
}

// SpilloverInput is what the decision rests on.
type SpilloverInput struct {
	// Requirements is the request.
	Requirements *Requirements
	// IsLocalAllowed is whether this domain may serve the request at all.
	IsLocalAllowed bool
	// HasLocalEndpoint is set if a local endpoint was found; Local is its prediction.
	HasLocalEndpoint bool
	// LocalFirstToken is the predicted time to the first token at home.
	LocalFirstToken time.Duration
	// Region is the region of this domain.
	Region string
	// AllowedRegions are the permitted regions.
	AllowedRegions AllowedRegions
	// Domains are the pool's summaries from other domains.
	Domains []DomainCapacity
}

// ChooseDomain returns the index of the domain that the request goes to, or -1 to keep
// it here.
func (s *SpilloverPolicy) ChooseDomain(in *SpilloverInput, now time.Time, rng *rand.Rand) int {
	if !in.IsLocalAllowed || !in.HasLocalEndpoint {
		return s.findBestDomain(in, now, rng)
	}
	target := in.Requirements.FirstTokenTarget
	if in.LocalFirstToken > time.Duration(spilloverStartRatio*float64(target)) {
		s.isActive = true
	}
	if in.LocalFirstToken < time.Duration(spilloverStopRatio*float64(target)) {
		s.isActive = false
	}
	if !s.isActive || in.LocalFirstToken < time.Duration(spilloverStopRatio*float64(target)) {
		return -1
	}
	best := s.findBestDomain(in, now, rng)
	if best < 0 {
		return -1
	}
	remote := s.predictFirstTokenSeconds(in, &in.Domains[best], now)
	if in.Domains[best].Region != in.Region {
		remote += otherRegionPenalty * in.Requirements.Weights.Away * target.Seconds()
	}
	if remote > maxSpilloverTimeRatio*in.LocalFirstToken.Seconds() {
		return -1
	}
	return best
}

func (s *SpilloverPolicy) findBestDomain(in *SpilloverInput, now time.Time, rng *rand.Rand) int {
	best, bestWait := -1, 0.0
	for i := range in.Domains {
		d := &in.Domains[i]
		if !s.isEligible(in, d, now, rng) {
			continue
		}
		wait := s.predictFirstTokenSeconds(in, d, now) * (1 + scoreJitter*rng.Float64())
		if best < 0 || wait < bestWait {
			best, bestWait = i, wait
		}
	}
	return best
}

func (s *SpilloverPolicy) isEligible(in *SpilloverInput, d *DomainCapacity, now time.Time, rng *rand.Rand) bool {
	if !in.AllowedRegions.Contains(d.Region) || d.Endpoints == 0 || now.Sub(d.ReportedAt) > capacityReportMaxAge {
		return false
	}
	// A request that can't run here needs no room to spare there: it queues.
	if !in.IsLocalAllowed {
		return true
	}
	spare := float64(d.FreeSlots) - reservedSlotRatio*float64(d.Slots) - float64(d.SentSinceReport)
	if spare < 1 {
		return false
	}
	since := now.Sub(s.recoveredAt[d.Domain])
	return since >= domainSlowStart || rng.Float64() < since.Seconds()/domainSlowStart.Seconds()
}

// predictFirstTokenSeconds returns the seconds to the first token at the domain: its wait, aged,
// the round trip and the whole prompt on a cold cache.
func (s *SpilloverPolicy) predictFirstTokenSeconds(in *SpilloverInput, d *DomainCapacity, now time.Time) float64 {
	cold := d.SecondsPerToken * float64(in.Requirements.PromptTokens+overheadTokens)
	aged := reportAgeWaitRatio * now.Sub(d.ReportedAt).Seconds()
	return d.WaitSeconds + aged + d.RoundTrip.Seconds() + cold
}

// AcceptsSpillover reports whether a pool takes a request that another domain sends
// by choice. A share of the slots stays for the domain's own callers.
func AcceptsSpillover(room PoolCapacity) bool {
	return float64(room.FreeSlots) > reservedSlotRatio*float64(room.Slots)/2
}
