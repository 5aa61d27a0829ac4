package cwplacement

import "time"

// MayCheckHealth reports whether a health check may be sent to an endpoint to ask whether it is cold. The
// endpoint serves a check as it does a request, and may turn it away: a brittle one is not asked, since it
// may end from that.
func (p *Pool) MayCheckHealth(e *Endpoint, now time.Time) bool {
	if e.coldRate <= 0 || now.Before(e.ColdUntil) || p.IsBrittle(now) {
		return false
	}
	return !e.HasStartedDraining() && !e.IsEvacuated && !e.isEjected(now) && !e.isPaused(now) && e.isWithinRateLimit(now)
}

// CountHealthCheck counts a health check of this instance as a request: against the rate of a cold
// endpoint and against the limit that the endpoint names.
func (e *Endpoint) CountHealthCheck(now time.Time) {
	e.coldLimiter.charge(e.coldRate, now)
	e.countRequest(now)
}
