package cwplacement

import "time"

const (
	// failureGain weighs the latest outcome in the share of failures.
	failureGain = 0.25
	// greyShare is the share of failures above which an endpoint is used only if
	// no other is there. Endpoints that fail one request in seven are normal.
	greyShare = 0.35
	// firstEjection and maxEjection bound how long an endpoint is left out after
	// it could not be reached; the time doubles with each failure in a row.
	firstEjection = 500 * time.Millisecond
	maxEjection   = 4 * time.Second
	// failureMemory is the time after which a share of failures that nothing
	// renewed has halved, so that an endpoint which recovered is tried again.
	failureMemory = 8 * time.Second
)

// health is what an endpoint did with the requests of this instance. Its own
// health check is not asked: it costs a probe and can be wrong either way.
type health struct {
	failures  float64
	updatedAt time.Time
	inARow    int
	outUntil  time.Time
}

// succeeded notes an answer.
func (h *health) succeeded(now time.Time) {
	h.failures = h.share(now) * (1 - failureGain)
	h.updatedAt, h.inARow, h.outUntil = now, 0, time.Time{}
}

// failed notes a failure that the endpoint answered with or broke off.
func (h *health) failed(now time.Time) {
	h.failures = h.share(now)*(1-failureGain) + failureGain
	h.updatedAt = now
}

// unreachable notes that no connection could be opened or that one fell silent.
func (h *health) unreachable(now time.Time) {
	h.failed(now)
	out := min(firstEjection<<min(h.inARow, 5), maxEjection)
	h.inARow++
	h.outUntil = now.Add(out)
}

// share returns the share of failures, faded by its age.
func (h *health) share(now time.Time) float64 {
	if h.failures == 0 {
		return 0
	}
	age := now.Sub(h.updatedAt).Seconds() / failureMemory.Seconds()
	return h.failures / (1 + age)
}

// out reports whether the endpoint is left out.
func (h *health) out(now time.Time) bool {
	return now.Before(h.outUntil)
}
