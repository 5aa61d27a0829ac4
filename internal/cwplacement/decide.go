package cwplacement

import (
	"time"

	"github.com/clementinewell/clementinewell/internal/cwpolicy"
)

const (
	// maxRelayCostRatio is the highest ratio of the cost in another region to the local
	// cost at which a request is relayed there.
	maxRelayCostRatio = 0.95
	// stayLocalTargetShare is the share of the target up to which a request stays local
	// without a comparison with regions other than the affinity region. It leaves a
	// margin below the target: predictions are rough, and a region that is filled to its
	// target has no capacity for unforeseen load.
	stayLocalTargetShare = 0.6
	// onTimeTargetShare is the share of the target up to which a request counts as on time.
	onTimeTargetShare = 0.85
	// firstByteTimeoutShare is the share of FirstByteTimeout within which the first byte
	// of a late response must be expected. Where FirstByteTimeout ends at the deadline,
	// the margin leaves time for the rest of the response.
	firstByteTimeoutShare = 0.7
	// responseTimeoutShare is the share of the time to the deadline within which a late
	// response must be expected to be complete: one that is cut off has used capacity
	// for nothing.
	responseTimeoutShare = 0.85
	// minRetryAfter and maxRetryAfter bound the time after which a refused caller should
	// retry, before retryAfterJitter is added. Predictions of longer times are too uncertain;
	// the end of a pause is not, so it has no upper bound.
	minRetryAfter = 400 * time.Millisecond
	maxRetryAfter = 6 * time.Second
	// retryAfterJitter is the largest share of that time which is added at random, so
	// that refused callers don't retry together.
	retryAfterJitter = 0.5
	// noEndpointRetryAfter is the time to the retry if no endpoint of this region and no
	// other region can serve the request.
	noEndpointRetryAfter = 4000 * time.Millisecond
	// startingRetryAfter is the time to the retry at an instance that has not received the
	// capacities of other regions yet. It gets them within a few exchanges of its start.
	startingRetryAfter = time.Second
)

// Request is a request to be placed.
type Request struct {
	Requirements
	// Priority is that of the route; 0 is the most urgent.
	Priority int
	// WasTried reports whether the request was already sent to the endpoint with the
	// identifier.
	WasTried func(id string) bool
	// IsLocalAllowed is set if the request may be served in this region.
	IsLocalAllowed bool
	// RemoteCapacities are the capacities of the permitted domains in other regions.
	RemoteCapacities []cwpolicy.DomainCapacity
	// IsRelayed is set if another instance relayed the request; it is not relayed again.
	IsRelayed bool
	// IsStarting is set while this instance may not have received the capacities of other
	// regions yet.
	IsStarting bool
	// WasDomainTried reports whether the request was already relayed to the domain.
	WasDomainTried func(domain string) bool
}

// candidate is a possible placement of a request: an endpoint of this region or a
// domain of another one.
type candidate struct {
	endpoint       *Endpoint
	remoteCapacity *cwpolicy.DomainCapacity
	band           Band
	prediction     prediction
	// cost is the predicted time to the first byte plus the weighted time to process
	// shared parts again, in seconds.
	cost float64
}

// endsInTime reports whether the response of an engine is expected to end before the deadline.
func (c *candidate) endsInTime(req *Request) bool {
	return c.endpoint.engine == nil || req.ResponseTimeout == 0 || c.prediction.firstByteSeconds+c.prediction.restSeconds <= req.ResponseTimeout.Seconds()
}

// Decide chooses where a request goes and records its load there. It prefers, in this
// order: the affinity region of the shared parts, if the request is on time there and
// relaying pays off; this region, if the request is well on time here; another region,
// if the request is on time and costs less there; and this region. A request that is
// late here gets only the capacity that requests on time leave, or is refused if even a
// late response is of no use.
func (p *Pool) Decide(req *Request, now time.Time) Decision {
	p.arrivals.Count(now)
	return p.record(p.choose(req, now), req, now)
}

// choose chooses what Decide decides and changes nothing but the random numbers of the pool.
func (p *Pool) choose(req *Request, now time.Time) plan {
	d := Decision{LocalFirstByte: -1, RemoteFirstByte: -1}
	band := bandOf(req.Priority, p.targetShare(&req.Requirements))
	var local, remote candidate
	if req.IsLocalAllowed {
		local = p.bestLocal(req, band, now)
	}
	if local.endpoint != nil {
		d.LocalFirstByte = durationOfSeconds(local.prediction.firstByteSeconds)
	}
	affinityRegion := p.affinityRegion(req, now)
	if cached := p.bestInAffinityRegion(req, &local, affinityRegion, now); cached.remoteCapacity != nil {
		d.RemoteFirstByte = durationOfSeconds(cached.prediction.firstByteSeconds)
		return planRelay(d, cached, "held")
	}
	if local.endpoint != nil && req.isWithinTargetShare(stayLocalTargetShare, local.prediction.firstByteSeconds) && local.endsInTime(req) && !local.endpoint.isDegraded(now) {
		return planSend(d, local, "local")
	}
	remote = p.bestRemote(req, "", affinityRegion, now)
	if remote.remoteCapacity != nil {
		d.RemoteFirstByte = durationOfSeconds(remote.prediction.firstByteSeconds)
		if p.shouldRelay(req, &local, &remote, now) {
			return planRelay(d, remote, "away")
		}
	}
	if local.endpoint != nil {
		return p.planLocalOrRefusal(d, req, local, now)
	}
	return p.planRefusal(d, req, now)
}

// planRefusal returns the refusal of a request that has no place.
func (p *Pool) planRefusal(d Decision, req *Request, now time.Time) plan {
	if returnAt, wait, isLimited := p.limitedReturn(req, now); isLimited {
		refusal := refuse(d, wait, "rateLimit")
		refusal.limitedReturnAt = returnAt
		return refusal
	}
	if wait, isPaused := p.pausedReturn(req, now); isPaused {
		refusal := refuse(d, wait, "paused")
		refusal.unboundedAfter = max(wait-maxRetryAfter, 0)
		return refusal
	}
	if wait, isBrittle := p.brittleReturn(req, now); isBrittle {
		return refuse(d, wait, "brittle")
	}
	if d.IsReturnExpected = req.IsLocalAllowed && p.AwaitsReturn(req.WasTried, now); d.IsReturnExpected {
		return refuse(d, MaxSoundSilence, "noPlace")
	}
	d.Exclusions = p.exclusions(req, now)
	if req.IsStarting {
		return refuse(d, startingRetryAfter, "noPlace")
	}
	return refuse(d, noEndpointRetryAfter, "noPlace")
}

// isWithinTargetShare reports whether a request that takes firstByteSeconds more to its
// first byte uses at most a share of its target.
func (req *Request) isWithinTargetShare(share, firstByteSeconds float64) bool {
	return req.Elapsed.Seconds()+firstByteSeconds <= share*req.FirstByteTarget.Seconds()
}

// isUsefulLate reports whether a late response is still of use: its first byte is
// expected before the caller stops waiting, and its last one before the deadline.
func (req *Request) isUsefulLate(expected prediction) bool {
	return expected.firstByteSeconds <= firstByteTimeoutShare*req.FirstByteTimeout.Seconds() && req.meetsDeadline(expected)
}

// meetsDeadline reports whether the whole response is expected before the deadline, with
// the margin of responseTimeoutShare.
func (req *Request) meetsDeadline(expected prediction) bool {
	return req.ResponseTimeout == 0 || expected.firstByteSeconds+expected.restSeconds <= responseTimeoutShare*req.ResponseTimeout.Seconds()
}

// shouldRelay reports whether a request is better relayed to the remote candidate than
// sent to the local one, which may be empty.
func (p *Pool) shouldRelay(req *Request, local, remote *candidate, now time.Time) bool {
	if local.endpoint == nil {
		return req.isUsefulLate(remote.prediction)
	}
	if local.endpoint.isDegraded(now) && remote.remoteCapacity.FailureRate < degradedFailureRate {
		return true
	}
	return req.isWithinTargetShare(onTimeTargetShare, remote.prediction.firstByteSeconds) && remote.cost < maxRelayCostRatio*local.cost
}

// planLocalOrRefusal plans to send a request to a local endpoint. If it can't be on time there, it
// is sent in the band Late, or refused if even a late response is of no use or the memory of the engine
// is full.
func (p *Pool) planLocalOrRefusal(d Decision, req *Request, local candidate, now time.Time) plan {
	if req.isWithinTargetShare(onTimeTargetShare, local.prediction.firstByteSeconds) && local.endsInTime(req) {
		return planSend(d, local, "local")
	}
	if local.prediction.shortageTokens > 0 {
		// Late work would be the first to be preempted.
		return planOverload(d, req, local)
	}
	late := p.bestLocal(req, Late, now)
	if late.prediction.shortageTokens > 0 || !req.isUsefulLate(late.prediction) {
		return planOverload(d, req, local)
	}
	d.LocalFirstByte = durationOfSeconds(late.prediction.firstByteSeconds)
	return planSend(d, late, "late")
}

// planOverload returns the refusal of a request for which there is no room, with the time after which
// there is.
func planOverload(d Decision, req *Request, local candidate) plan {
	return refuse(d, durationOfSeconds(local.prediction.firstByteSeconds)-req.FirstByteTarget/2, "overload")
}

// bestLocal returns the best endpoint of this region for a request in the band. The
// candidate is empty if none is usable.
func (p *Pool) bestLocal(req *Request, band Band, now time.Time) candidate {
	e, expected := p.bestEndpoint(&req.Requirements, band, req.WasTried, now)
	c := candidate{endpoint: e, band: band, prediction: expected}
	if e != nil {
		c.cost = expected.firstByteSeconds + recomputeCostFactor*float64(expected.recomputedTokens)/e.promptSpeed.rate
	}
	return c
}

// AwaitsReturn reports whether no endpoint of this region can be used for a request, and at
// least one of them is only silent, for no longer than a sound one may be.
func (p *Pool) AwaitsReturn(wasTried func(id string) bool, now time.Time) bool {
	isExpected := false
	for _, e := range p.sorted {
		if wasTried(e.ID) {
			continue
		}
		if e.IsUsable(now) {
			return false
		}
		isExpected = isExpected || e.isReturnExpected(now)
	}
	return isExpected
}

// bestInAffinityRegion returns the best domain of the region that should cache the shared
// parts of the prompt. The candidate is empty if that is this region, if no local
// endpoint is usable or the chosen one has all shared parts in its cache, if the failure
// rate there is high, or if the request is not on time there or relaying costs more than
// it saves.
func (p *Pool) bestInAffinityRegion(req *Request, local *candidate, affinityRegion string, now time.Time) candidate {
	if local.endpoint == nil || local.prediction.recomputedTokens == 0 || affinityRegion == "" || affinityRegion == local.endpoint.Region {
		return candidate{}
	}
	remote := p.bestRemote(req, affinityRegion, affinityRegion, now)
	if remote.remoteCapacity == nil || remote.remoteCapacity.FailureRate >= degradedFailureRate || !req.isWithinTargetShare(onTimeTargetShare, remote.prediction.firstByteSeconds) || remote.prediction.firstByteSeconds > local.cost {
		return candidate{}
	}
	return remote
}

// bestRemote returns the domain with the lowest cost, of one region or, if region is
// empty, of all. The candidate is empty if there is none or the request was relayed to
// this instance. The affinity region is the one that should cache the shared parts.
func (p *Pool) bestRemote(req *Request, region, affinityRegion string, now time.Time) candidate {
	var best candidate
	if req.IsRelayed {
		return best
	}
	for i := range req.RemoteCapacities {
		r := &req.RemoteCapacities[i]
		if region != "" && r.Region != region || !isRemoteUsable(r, now) || req.WasDomainTried(r.Domain) {
			continue
		}
		if c := p.remoteCandidate(req, r, affinityRegion, now); best.remoteCapacity == nil || c.cost < best.cost {
			best = c
		}
	}
	return best
}

// remoteCandidate returns the domain with the prediction for the request.
func (p *Pool) remoteCandidate(req *Request, r *cwpolicy.DomainCapacity, affinityRegion string, now time.Time) candidate {
	tokens := remoteUncachedTokens(&req.Requirements, r.Region == affinityRegion)
	relayed := p.relayedSince(r)
	firstByteSeconds := remoteFirstByteSeconds(r, &req.Requirements, tokens, relayed, now)
	recomputed := tokens - float64(req.PromptTokens-req.sharedTokens())
	c := candidate{remoteCapacity: r, cost: firstByteSeconds + recomputeCostFactor*recomputed*r.SecondsPerToken}
	c.prediction.firstByteSeconds, c.prediction.uncachedTokens = firstByteSeconds, int(tokens)
	return c
}

// relayedSince returns the work that this instance relayed to a domain since the
// domain's capacity summary.
func (p *Pool) relayedSince(r *cwpolicy.DomainCapacity) Work {
	if s := p.relayed[r.Domain]; s.summaryAt.Equal(r.ReportedAt) {
		return s.work
	}
	return Work{}
}

// TakeBackRelay removes a request that was decided to be relayed, but of which nothing was
// sent, from the work relayed since the domain's capacity summary.
func (p *Pool) TakeBackRelay(d Decision) {
	s, ok := p.relayed[d.Domain]
	if !ok || !s.summaryAt.Equal(d.summaryAt) {
		return
	}
	s.work.InFlight--
	s.work.QueuedTokens[Normal] -= d.relayedTokens
	p.relayed[d.Domain] = s
}

// RetryAfter returns the time after which a refused caller should retry, if capacity is
// likely after the given time. The random number in [0,1) determines the jitter that
// keeps refused callers from retrying together.
func RetryAfter(after time.Duration, random float64) time.Duration {
	after = min(max(after, minRetryAfter), maxRetryAfter)
	return after + time.Duration(retryAfterJitter*random*float64(after))
}
