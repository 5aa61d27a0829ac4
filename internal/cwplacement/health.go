package cwplacement

import "time"

const (
	// failureRateWeight is the weight of the latest outcome in the failure rate.
	failureRateWeight = 0.25
	// degradedFailureRate is the failure rate above which an endpoint is used only if
	// the others are far busier or can't be used. Endpoints that fail one request in
	// seven are normal.
	degradedFailureRate = 0.35
	// firstEjection and maxEjection bound how long an endpoint is ejected after it
	// could not be reached. The time doubles with each consecutive failure to reach it.
	firstEjection = 500 * time.Millisecond
	maxEjection   = 4 * time.Second
	// failureHalfLife is the time after which a failure rate without new outcomes has
	// halved, so that an endpoint which recovered is tried again.
	failureHalfLife = 8 * time.Second
)

// health is the health of an endpoint, derived from the requests of this instance. The
// endpoint's own health check is not used: it costs a probe, and both its positive and
// its negative results can be wrong.
type health struct {
	lastFailureRate        float64
	updatedAt              time.Time
	consecutiveUnreachable int
	ejectedUntil           time.Time
}

// recordSuccess records a complete response.
func (h *health) recordSuccess(now time.Time) {
	h.lastFailureRate = h.failureRate(now) * (1 - failureRateWeight)
	h.updatedAt, h.consecutiveUnreachable, h.ejectedUntil = now, 0, time.Time{}
}

// recordFailure records a response that is an error, is incomplete or is overdue.
func (h *health) recordFailure(now time.Time) {
	h.lastFailureRate = h.failureRate(now)*(1-failureRateWeight) + failureRateWeight
	h.updatedAt = now
}

// recordUnreachable records that the endpoint could not be reached, and ejects it.
func (h *health) recordUnreachable(now time.Time) {
	h.recordFailure(now)
	ejection := min(firstEjection<<min(h.consecutiveUnreachable, 5), maxEjection)
	h.consecutiveUnreachable++
	h.ejectedUntil = now.Add(ejection)
}

// failureRate returns the failure rate, decayed by its age.
func (h *health) failureRate(now time.Time) float64 {
	if h.lastFailureRate == 0 {
		return 0
	}
	age := now.Sub(h.updatedAt).Seconds() / failureHalfLife.Seconds()
	return h.lastFailureRate / (1 + age)
}

// isEjected reports whether the endpoint is excluded for a while after it could not be
// reached.
func (h *health) isEjected(now time.Time) bool {
	return now.Before(h.ejectedUntil)
}
