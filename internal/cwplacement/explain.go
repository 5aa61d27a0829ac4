package cwplacement

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwpolicy"
)

// constantSource makes all random numbers 0, so that an explanation has no random share.
type constantSource struct{}

// Uint64 returns 0.
func (constantSource) Uint64() uint64 { return 0 }

// Explain returns what Decide would decide about a request now, and changes nothing.
func (p *Pool) Explain(req *Request, now time.Time) Explanation {
	// The copy has random numbers and a buffer of its own; all else is only read.
	reader := *p
	reader.rng, reader.weightBuffer = rand.New(constantSource{}), nil
	chosen := reader.choose(req, now)
	x := Explanation{Reason: chosen.decision.Reason, IsAwaited: chosen.decision.IsReturnExpected, AffinityRegion: reader.affinityRegion(req, now)}
	x.LocalFirstByteSeconds, x.RemoteFirstByteSeconds = secondsUnlessNegative(chosen.decision.LocalFirstByte), secondsUnlessNegative(chosen.decision.RemoteFirstByte)
	band := bandOf(req.Priority, p.targetShare(&req.Requirements))
	switch chosen.decision.Action {
	case ActionSend:
		x.Action, x.Place, band = "send", chosen.chosen.endpoint.ID, chosen.chosen.band
	case ActionRelay:
		x.Action, x.Place = "relay", chosen.decision.Domain
	case ActionRefuse:
		x.Action, x.RetryAfterSeconds = "refuse", chosen.retryAfter(0).Seconds()
	}
	x.Endpoints = reader.endpointCandidates(req, band, now)
	x.Domains = reader.domainCandidates(req, x.AffinityRegion, now)
	return x
}

func secondsUnlessNegative(d time.Duration) *float64 {
	if d < 0 {
		return nil
	}
	seconds := d.Seconds()
	return &seconds
}

// endpointCandidates returns the endpoints of this region as candidates, by cost.
func (p *Pool) endpointCandidates(req *Request, band Band, now time.Time) []EndpointCandidate {
	candidates := make([]EndpointCandidate, 0, len(p.sorted))
	affinity := p.affinityEndpoint(&req.Requirements, now)
	for _, e := range p.sorted {
		c := EndpointCandidate{ID: e.ID, Domain: e.Domain, Exclusion: p.endpointExclusion(e, req, now), Band: band, IsAffinity: e == affinity, IsDegraded: e.isDegraded(now), EntryAgeSeconds: now.Sub(e.readAt).Seconds()}
		if !e.peerReportAt.IsZero() {
			c.PeerReportAgeSeconds = secondsUnlessNegative(max(now.Sub(e.peerReportAt), 0))
		}
		if c.Exclusion == "" {
			expected := e.predict(&req.Requirements, band, now)
			c.FirstByteSeconds, c.WaitSeconds, c.RestSeconds = expected.firstByteSeconds, expected.waitSeconds, expected.restSeconds
			c.UncachedTokens, c.RecomputedTokens = expected.uncachedTokens, expected.recomputedTokens
			c.Cost = p.requestCost(e, &req.Requirements, expected, c.IsAffinity, now)
		}
		candidates = append(candidates, c)
	}
	slices.SortStableFunc(candidates, func(a, b EndpointCandidate) int {
		return compareCandidates(a.Exclusion, b.Exclusion, a.Cost, b.Cost)
	})
	return candidates
}

// compareCandidates orders candidates by cost, the excluded ones last.
func compareCandidates(exclusionA, exclusionB Exclusion, costA, costB float64) int {
	switch {
	case exclusionA == "" && exclusionB != "":
		return -1
	case exclusionA != "" && exclusionB == "":
		return 1
	}
	return cmp.Compare(costA, costB)
}

// endpointExclusion returns what excludes an endpoint for a request.
func (p *Pool) endpointExclusion(e *Endpoint, req *Request, now time.Time) Exclusion {
	switch {
	case !req.IsLocalAllowed:
		return ExcludedRegion
	case req.WasTried(e.ID):
		return ExcludedTried
	case e.HasStartedDraining():
		return ExcludedDraining
	case e.IsEvacuated:
		return ExcludedEvacuated
	case e.isEjected(now):
		return ExcludedEjected
	case e.isPaused(now):
		return ExcludedPaused
	case !e.isUsableWithinRate(now):
		return ExcludedCold
	case !e.isWithinRateLimit(now):
		return ExcludedRateLimit
	case !p.hasRoom(e, now):
		return ExcludedFull
	}
	return ""
}

// domainCandidates returns the domains of other regions as candidates, by cost.
func (p *Pool) domainCandidates(req *Request, affinityRegion string, now time.Time) []DomainCandidate {
	candidates := make([]DomainCandidate, 0, len(req.RemoteCapacities))
	for i := range req.RemoteCapacities {
		r := &req.RemoteCapacities[i]
		c := DomainCandidate{Domain: r.Domain, Region: r.Region, Exclusion: domainExclusion(r, req, now), SummaryAgeSeconds: now.Sub(r.ReportedAt).Seconds(), RoundTripSeconds: r.RoundTrip.Seconds()}
		if c.Exclusion == "" {
			expected := p.remoteCandidate(req, r, affinityRegion, now)
			c.FirstByteSeconds, c.UncachedTokens, c.Cost = expected.prediction.firstByteSeconds, expected.prediction.uncachedTokens, expected.cost
		}
		candidates = append(candidates, c)
	}
	slices.SortStableFunc(candidates, func(a, b DomainCandidate) int {
		return compareCandidates(a.Exclusion, b.Exclusion, a.Cost, b.Cost)
	})
	return candidates
}

// domainExclusion returns what excludes a domain of another region for a request.
func domainExclusion(r *cwpolicy.DomainCapacity, req *Request, now time.Time) Exclusion {
	switch {
	case req.IsRelayed:
		return ExcludedRelayed
	case req.WasDomainTried(r.Domain):
		return ExcludedTried
	case r.Endpoints == 0:
		return ExcludedNoCapacity
	case !isRemoteUsable(r, now):
		return ExcludedStale
	}
	return ""
}
