package cwplacement

import "time"

const (
	// failureRateWeight weighs the latest outcome in the share of failures.
	failureRateWeight = 0.25
	// degradedFailureRate is the share of failures above which an endpoint is used only if
	// no other is there. Endpoints that fail one request in seven are normal.
	degradedFailureRate = 0.35
	// firstEjection and maxEjection bound how long an endpoint is left out after
	// it could not be reached; the time doubles with each failure in a row.
	firstEjection = 500 * time.Millisecond
	maxEjection   = 4 * time.Second
	// failureHalfLife is the time after which a share of failures that nothing
	// renewed has halved, so that an endpoint which recovered is tried again.
	failureHalfLife = 8 * time.Second
)

// health is what an endpoint did with the requests of this instance. Its own
// health check is not asked: it costs a probe and can be wrong either way.
type health struct {
	lastFailureRate        float64
	updatedAt              time.Time
	consecutiveUnreachable int
	ejectedUntil           time.Time
}

// recordSuccess notes an answer.
func (h *health) recordSuccess(now time.Time) {
	h.lastFailureRate = h.failureRate(now) * (1 - failureRateWeight)
	h.updatedAt, h.consecutiveUnreachable, h.ejectedUntil = now, 0, time.Time{}
}

// recordFailure notes a failure that the endpoint answered with or broke off.
func (h *health) recordFailure(now time.Time) {
	h.lastFailureRate = h.failureRate(now)*(1-failureRateWeight) + failureRateWeight
	h.updatedAt = now
}

// recordUnreachable notes that no connection could be opened or that one fell silent.
func (h *health) recordUnreachable(now time.Time) {
	h.recordFailure(now)
	out := min(firstEjection<<min(h.consecutiveUnreachable, 5), maxEjection)
	h.consecutiveUnreachable++
	h.ejectedUntil = now.Add(out)
}

// failureRate returns the share of failures, faded by its age.
func (h *health) failureRate(now time.Time) float64 {
	if h.lastFailureRate == 0 {
		return 0
	}
	age := now.Sub(h.updatedAt).Seconds() / failureHalfLife.Seconds()
	return h.lastFailureRate / (1 + age)
}

// isEjected reports whether the endpoint is left out.
func (h *health) isEjected(now time.Time) bool {
	return now.Before(h.ejectedUntil)
}
