package cwpolicy

import (
	"math/rand/v2"
	"time"
)

const (
	// spilloverStartRatio and spilloverStopRatio are the ratios of the local predicted
	// time to the target above which spillover starts and below which it stops.
	spilloverStartRatio = 1.0
	spilloverStopRatio  = 0.6
	// maxSpilloverTimeRatio is the highest ratio of the remote to the local predicted
	// time at which a request is forwarded.
	maxSpilloverTimeRatio = 0.7
	// reservedSlotRatio is the fraction of a domain's slots that other domains must
	// leave free.
	reservedSlotRatio = 0.2
	// capacityReportMaxAge is the age beyond which a capacity report is ignored.
	capacityReportMaxAge = 15 * time.Second
	// reportAgeWaitRatio is the wait, in seconds, that is added to the predicted time per
	// second of a report's age.
	reportAgeWaitRatio = 0.05
	// otherRegionPenalty is the fraction of the target that is added to the predicted
	// time of another region at an away weight of 1.
	otherRegionPenalty = 0.5
	// domainSlowStart is the time over which a recovered domain returns to its full
	// share of requests.
	domainSlowStart = 20 * time.Second
)

// SpilloverPolicy decides for one pool whether requests are forwarded to another
// domain. The start and stop thresholds differ to prevent oscillation.
type SpilloverPolicy struct {
	isActive    bool
	recoveredAt map[string]time.Time
}

// NewSpilloverPolicy returns a policy that initially keeps requests in the domain.
func NewSpilloverPolicy() *SpilloverPolicy {
	return &SpilloverPolicy{recoveredAt: make(map[string]time.Time)}
}

// OnDomainRecovered records that a domain has become reachable again.
func (s *SpilloverPolicy) OnDomainRecovered(domain string, now time.Time) {
	s.recoveredAt[domain] = now
}

// SpilloverInput is the input of a spillover decision.
type SpilloverInput struct {
	// Requirements describes the request.
	Requirements *Requirements
	// IsLocalAllowed is set if the request may be served in this domain's region.
	IsLocalAllowed bool
	// HasLocalEndpoint is set if an endpoint of this domain was chosen.
	HasLocalEndpoint bool
	// LocalFirstToken is the predicted time to the first token at that endpoint,
	// including the wait in the queue.
	LocalFirstToken time.Duration
	// Region is the region of this domain.
	Region string
	// AllowedRegions are the regions in which the request may be served.
	AllowedRegions AllowedRegions
	// Domains are the capacities of the pool in other domains.
	Domains []DomainCapacity
}

// ChooseDomain returns the index of the domain to which the request is forwarded, or
// -1 if it is not forwarded.
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
	remoteSeconds := s.predictFirstTokenSeconds(in, &in.Domains[best], now)
	if in.Domains[best].Region != in.Region {
		remoteSeconds += otherRegionPenalty * in.Requirements.Weights.Away * target.Seconds()
	}
	if remoteSeconds > maxSpilloverTimeRatio*in.LocalFirstToken.Seconds() {
		return -1
	}
	return best
}

func (s *SpilloverPolicy) findBestDomain(in *SpilloverInput, now time.Time, rng *rand.Rand) int {
	best, bestSeconds := -1, 0.0
	for i := range in.Domains {
		d := &in.Domains[i]
		if !s.isEligible(in, d, now, rng) {
			continue
		}
		seconds := s.predictFirstTokenSeconds(in, d, now) * (1 + scoreJitter*rng.Float64())
		if best < 0 || seconds < bestSeconds {
			best, bestSeconds = i, seconds
		}
	}
	return best
}

func (s *SpilloverPolicy) isEligible(in *SpilloverInput, d *DomainCapacity, now time.Time, rng *rand.Rand) bool {
	if !in.AllowedRegions.Contains(d.Region) || d.Endpoints == 0 || now.Sub(d.ReportedAt) > capacityReportMaxAge {
		return false
	}
	// A request that this domain must not serve can be queued in the other one, so no
	// free slots are required.
	if !in.IsLocalAllowed {
		return true
	}
	spareSlots := float64(d.FreeSlots) - reservedSlotRatio*float64(d.Slots) - float64(d.SentSinceReport)
	if spareSlots < 1 {
		return false
	}
	sinceRecovery := now.Sub(s.recoveredAt[d.Domain])
	return sinceRecovery >= domainSlowStart || rng.Float64() < sinceRecovery.Seconds()/domainSlowStart.Seconds()
}

// predictFirstTokenSeconds returns the predicted time in seconds to the first token
// at the domain: the reported wait plus an allowance for the report's age, the round
// trip, and the processing of the whole prompt without cached prefixes.
func (s *SpilloverPolicy) predictFirstTokenSeconds(in *SpilloverInput, d *DomainCapacity, now time.Time) float64 {
	promptSeconds := d.SecondsPerToken * float64(in.Requirements.PromptTokens+overheadTokens)
	ageAllowanceSeconds := reportAgeWaitRatio * now.Sub(d.ReportedAt).Seconds()
	return d.WaitSeconds + ageAllowanceSeconds + d.RoundTrip.Seconds() + promptSeconds
}

// AcceptsSpillover reports whether a pool accepts spillover from another domain. It
// requires that more than half of the reserved slots are free; these stay available
// to the domain's own callers.
func AcceptsSpillover(capacity PoolCapacity) bool {
	return float64(capacity.FreeSlots) > reservedSlotRatio*float64(capacity.Slots)/2
}
