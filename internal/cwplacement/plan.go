package cwplacement

import "time"

// plan is what was chosen for a request, before it is recorded.
type plan struct {
	// decision lacks what recording adds: the placement and the time to the retry.
	decision Decision
	// chosen is the place of a request that is sent or relayed.
	chosen candidate
	// after is the time after which capacity is likely for a refused request, and unboundedAfter
	// the part of it that exceeds maxRetryAfter and yet counts.
	after, unboundedAfter time.Duration
	// limitedReturnAt is the return that a refusal because of rate limits reserves; zero if it
	// reserves none.
	limitedReturnAt time.Time
}

func planSend(d Decision, c candidate, reason string) plan {
	d.Action, d.Reason, d.RestOfResponse = ActionSend, reason, durationOfSeconds(c.prediction.restSeconds)
	d.IsEndpointLimited = c.endpoint.limit.IsNamed
	return plan{decision: d, chosen: c}
}

func planRelay(d Decision, c candidate, reason string) plan {
	d.Action, d.Domain, d.Reason = ActionRelay, c.remoteCapacity.Domain, reason
	d.relayedTokens, d.summaryAt = float64(c.prediction.uncachedTokens), c.remoteCapacity.ReportedAt
	return plan{decision: d, chosen: c}
}

func refuse(d Decision, after time.Duration, reason string) plan {
	d.Action, d.Reason = ActionRefuse, reason
	return plan{decision: d, after: after}
}

// record records the load of a chosen place, or the return of a refused caller, and returns the
// decision.
func (p *Pool) record(chosen plan, req *Request, now time.Time) Decision {
	d := chosen.decision
	switch d.Action {
	case ActionSend:
		c := chosen.chosen
		if c.endpoint.engine != nil {
			p.recordMix(&c, &req.Requirements, now)
		}
		d.Placement = c.endpoint.place(&req.Requirements, c.band, c.prediction, now)
	case ActionRelay:
		p.recordRelay(chosen.chosen)
	case ActionRefuse:
		if !chosen.limitedReturnAt.IsZero() {
			p.limitedReturnAt = chosen.limitedReturnAt
		}
		d.RetryAfter = chosen.retryAfter(p.rng.Float64())
	}
	return d
}

// recordRelay adds a request to the work relayed since the domain's capacity summary.
func (p *Pool) recordRelay(c candidate) {
	r := c.remoteCapacity
	work := Work{InFlight: 1}
	work.QueuedTokens[Normal] = float64(c.prediction.uncachedTokens)
	p.relayed[r.Domain] = relayedWork{work: p.relayedSince(r).Add(work), summaryAt: r.ReportedAt}
}

// retryAfter returns the time after which a refused caller should retry, with a random number in
// [0,1).
func (c *plan) retryAfter(random float64) time.Duration {
	return RetryAfter(c.after, random) + c.unboundedAfter
}
