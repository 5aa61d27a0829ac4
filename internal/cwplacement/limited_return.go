package cwplacement

import "time"

// HasRateLimits reports whether an endpoint of the pool names a rate limit.
func (p *Pool) HasRateLimits() bool {
	for _, e := range p.sorted {
		if e.limit.IsNamed {
			return true
		}
	}
	return false
}

// ArrivalsPerSecond returns the rate of requests to be placed at this instance.
func (p *Pool) ArrivalsPerSecond(now time.Time) float64 {
	return p.arrivals.PerSecond(now)
}

// limitedReturn returns when a request can be served that only rate limits of endpoints keep
// from being served here, and the time until then; false if there are other reasons. The times of
// several such requests, once recorded, are apart by the rate of this instance's shares, so that
// each finds an unspent request when it returns. An instance without a share of any limit returns
// noEndpointRetryAfter and no time: the other instances that share the limits decide.
func (p *Pool) limitedReturn(req *Request, now time.Time) (returnAt time.Time, wait time.Duration, isLimited bool) {
	perSecond, shortest := 0.0, noEndpointRetryAfter
	if !req.IsLocalAllowed {
		return time.Time{}, 0, false
	}
	for _, e := range p.sorted {
		if !e.limit.IsNamed || !e.isUsableWithinRate(now) || req.WasTried(e.ID) {
			continue
		}
		isLimited = true
		if wait, hasShare := e.share.Wait(now); hasShare {
			shortest = min(shortest, wait)
			perSecond += e.share.PerSecond()
		}
	}
	if perSecond == 0 {
		return time.Time{}, noEndpointRetryAfter, isLimited
	}
	returnAt = now.Add(shortest)
	if following := p.limitedReturnAt.Add(time.Duration(float64(time.Second) / perSecond)); following.After(returnAt) {
		returnAt = following
	}
	if latest := now.Add(maxRetryAfter); returnAt.After(latest) {
		returnAt = latest
	}
	return returnAt, returnAt.Sub(now), true
}
