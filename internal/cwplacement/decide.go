package cwplacement

import (
	"time"

	"github.com/clementinewell/clementinewell/internal/cwpolicy"
)

const (
	// maxRelayCostRatio is how much better another region must be before a request leaves.
	maxRelayCostRatio = 0.95
	// stayLocalTargetShare is the share of the target up to which a request stays without a
	// look at other regions. Predictions are rough, and a region that is filled to
	// its target has no room for what it doesn't foresee.
	stayLocalTargetShare = 0.6
	// onTimeTargetShare is the share of the target up to which a request counts as in time.
	onTimeTargetShare = 0.85
	// firstByteTimeoutShare is the part of the time left within which the first byte of a late
	// answer must come, so that the rest of it fits too.
	firstByteTimeoutShare = 0.7
	// responseTimeoutShare is the part of the time to the deadline within which a late answer
	// must be whole: one that is cut off has taken capacity for nothing.
	responseTimeoutShare = 0.85
	// minRetryAfter and maxRetryAfter bound when a refused caller is asked back.
	minRetryAfter = 400 * time.Millisecond
	maxRetryAfter = 6 * time.Second
	// retryAfterJitter spreads the callers that come back.
	retryAfterJitter = 0.5
	// noEndpointRetryAfter is when to come back if no endpoint is in reach at all.
	noEndpointRetryAfter = 4000 * time.Millisecond
	// startingRetryAfter is when to come back to an instance that does not know the places of
	// other regions yet: it asks them within some exchanges of its start.
	startingRetryAfter = time.Second
)

// Request is a request that needs a place.
type Request struct {
	Requirements
	// Priority is that of the route; 0 is the most urgent.
	Priority int
	// WasTried reports whether an endpoint had the request before.
	WasTried func(id string) bool
	// IsLocalAllowed is set if the request may be served in this region.
	IsLocalAllowed bool
	// RemoteCapacities are the permitted other regions.
	RemoteCapacities []cwpolicy.DomainCapacity
	// IsRelayed is set if another instance sent the request: it goes no further.
	IsRelayed bool
	// IsStarting is set while this instance may not know all other regions yet.
	IsStarting bool
	// IsExcluded are domains that turned the request back.
	IsExcluded func(domain string) bool
}

// candidate is a place for a request with what is expected there.
type candidate struct {
	endpoint       *Endpoint
	remoteCapacity *cwpolicy.DomainCapacity
	band           Band
	prediction     prediction
	// cost is the time to the first byte and the weighed time to read shared parts again.
	cost float64
}

// Decide finds a place for a request, and counts it there: in the region that holds the
// shared parts of its prompt, else in this region in time, else in another region in
// time, else late with what the requests in time leave.
func (p *Pool) Decide(a *Request, now time.Time) Decision {
	d := Decision{LocalFirstByte: -1, RemoteFirstByte: -1}
	band := bandForPriority(a.Priority)
	var local, away candidate
	if a.IsLocalAllowed {
		local = p.bestLocal(a, band, now)
	}
	if local.endpoint != nil {
		d.LocalFirstByte = durationOfSeconds(local.prediction.firstByteSeconds)
	}
	holder := p.affinityRegion(a, now)
	if held := p.bestInAffinityRegion(a, &local, holder, now); held.remoteCapacity != nil {
		d.RemoteFirstByte = durationOfSeconds(held.prediction.firstByteSeconds)
		return p.relay(d, held, "held")
	}
	if local.endpoint != nil && a.isWithinTargetShare(stayLocalTargetShare, local.prediction.firstByteSeconds) && !local.endpoint.isDegraded(now) {
		return p.send(d, a, local, "local", now)
	}
	away = p.bestRemote(a, "", holder, now)
	if away.remoteCapacity != nil {
		d.RemoteFirstByte = durationOfSeconds(away.prediction.firstByteSeconds)
		if p.shouldRelay(a, &local, &away, now) {
			return p.relay(d, away, "away")
		}
	}
	if local.endpoint != nil {
		return p.sendLateOrRefuse(d, a, local, now)
	}
	if a.IsStarting {
		return p.refuse(d, startingRetryAfter, "noPlace")
	}
	return p.refuse(d, noEndpointRetryAfter, "noPlace")
}

// isWithinTargetShare reports whether a request that takes so many more seconds to its first byte
// uses at most a share of its target.
func (a *Request) isWithinTargetShare(share, first float64) bool {
	return a.Elapsed.Seconds()+first <= share*a.FirstByteTarget.Seconds()
}

// isUsefulLate reports whether a late answer is still of use: its first byte comes before
// the caller leaves, and its last one before the deadline.
func (a *Request) isUsefulLate(f prediction) bool {
	return f.firstByteSeconds <= firstByteTimeoutShare*a.FirstByteTimeout.Seconds() && a.meetsDeadline(f)
}

// meetsDeadline reports whether the whole answer is expected before the deadline.
func (a *Request) meetsDeadline(f prediction) bool {
	return a.ResponseTimeout == 0 || f.firstByteSeconds+f.restSeconds <= responseTimeoutShare*a.ResponseTimeout.Seconds()
}

// shouldRelay decides whether a request that would be late here goes to another region.
func (p *Pool) shouldRelay(a *Request, local, away *candidate, now time.Time) bool {
	if local.endpoint == nil {
		return a.isUsefulLate(away.prediction)
	}
	if local.endpoint.isDegraded(now) && away.remoteCapacity.FailureRate < degradedFailureRate {
		return true
	}
	return a.isWithinTargetShare(onTimeTargetShare, away.prediction.firstByteSeconds) && away.cost < maxRelayCostRatio*local.cost
}

// sendLateOrRefuse sends a request that can't be in time, unless even that is of no use.
func (p *Pool) sendLateOrRefuse(d Decision, a *Request, local candidate, now time.Time) Decision {
	if a.isWithinTargetShare(onTimeTargetShare, local.prediction.firstByteSeconds) {
		return p.send(d, a, local, "local", now)
	}
	late := p.bestLocal(a, Late, now)
	if !a.isUsefulLate(late.prediction) {
		return p.refuse(d, durationOfSeconds(local.prediction.firstByteSeconds)-a.FirstByteTarget/2, "overload")
	}
	d.LocalFirstByte = durationOfSeconds(late.prediction.firstByteSeconds)
	return p.send(d, a, late, "late", now)
}

func (p *Pool) bestLocal(a *Request, band Band, now time.Time) candidate {
	e, f := p.bestEndpoint(&a.Requirements, band, a.WasTried, now)
	o := candidate{endpoint: e, band: band, prediction: f}
	if e != nil {
		o.cost = f.firstByteSeconds + recomputeCostFactor*float64(f.recomputedTokens)/e.promptSpeed.rate
	}
	return o
}

func (p *Pool) send(d Decision, a *Request, o candidate, reason string, now time.Time) Decision {
	d.Action, d.Reason, d.RestOfResponse = ActionSend, reason, durationOfSeconds(o.prediction.restSeconds)
	d.Placement = o.endpoint.place(&a.Requirements, o.band, o.prediction, now)
	return d
}

// bestInAffinityRegion returns the place of the request in the region that holds the shared parts
// of its prompt, if that is another one, does not fail much, and saves more than it costs.
func (p *Pool) bestInAffinityRegion(a *Request, local *candidate, holder string, now time.Time) candidate {
	if local.endpoint == nil || local.prediction.recomputedTokens == 0 || holder == "" || holder == local.endpoint.Region {
		return candidate{}
	}
	away := p.bestRemote(a, holder, holder, now)
	if away.remoteCapacity == nil || away.remoteCapacity.FailureRate >= degradedFailureRate || !a.isWithinTargetShare(onTimeTargetShare, away.prediction.firstByteSeconds) || away.prediction.firstByteSeconds > local.cost {
		return candidate{}
	}
	return away
}

// bestRemote returns the room with the lowest cost, of one region or, if that is empty, of
// all. Holder is the region that has the shared parts.
func (p *Pool) bestRemote(a *Request, region, holder string, now time.Time) candidate {
	var best candidate
	if a.IsRelayed {
		return best
	}
	for i := range a.RemoteCapacities {
		r := &a.RemoteCapacities[i]
		if region != "" && r.Region != region || !isRemoteUsable(r, now) || a.IsExcluded(r.Domain) {
			continue
		}
		tokens := remoteUncachedTokens(&a.Requirements, r.Region == holder)
		first := remoteFirstByteSeconds(r, &a.Requirements, tokens, p.relayedSince(r), now)
		reread := tokens - float64(a.PromptTokens-a.sharedTokens())
		cost := first + recomputeCostFactor*reread*r.SecondsPerToken
		if best.remoteCapacity == nil || cost < best.cost {
			best.remoteCapacity, best.cost, best.prediction.firstByteSeconds, best.prediction.uncachedTokens = r, cost, first, int(tokens)
		}
	}
	return best
}

func (p *Pool) relayedSince(r *cwpolicy.DomainCapacity) Work {
	if s := p.relayed[r.Domain]; s.summaryAt.Equal(r.ReportedAt) {
		return s.work
	}
	return Work{}
}

func (p *Pool) relay(d Decision, o candidate, reason string) Decision {
	r := o.remoteCapacity
	work := Work{InFlight: 1}
	work.QueuedTokens[Normal] = float64(o.prediction.uncachedTokens)
	work = p.relayedSince(r).Add(work)
	p.relayed[r.Domain] = relayedWork{work: work, summaryAt: r.ReportedAt}
	d.Action, d.Domain, d.Reason = ActionRelay, r.Domain, reason
	return d
}

func (p *Pool) refuse(d Decision, after time.Duration, reason string) Decision {
	d.Action, d.Reason = ActionRefuse, reason
	d.RetryAfter = RetryAfter(after, p.rng.Float64())
	return d
}

// RetryAfter returns when a refused caller should come back. The spread in [0,1)
// keeps refused callers from returning together.
func RetryAfter(after time.Duration, spread float64) time.Duration {
	after = min(max(after, minRetryAfter), maxRetryAfter)
	return after + time.Duration(retryAfterJitter*spread*float64(after))
}
