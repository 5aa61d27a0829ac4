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
	// MaxSoundSilence is how long a sound endpoint may be silent: a second and a half, and
	// the time until that has been noticed. Until then requests wait for its return if there
	// is no other place; later it counts as lost and may have restarted.
	MaxSoundSilence = 2 * time.Second
	// redialedEjection is how long an endpoint stays ejected after a failed redial. It covers
	// several intervals between redials, so that no request is used as a probe meanwhile.
	redialedEjection = time.Second
	// maxUnanswered is the number of requests in a row that may be abandoned without an answer
	// before further ones count as failures: some callers leave early at a sound endpoint too.
	maxUnanswered = 3
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
	// consecutiveUnanswered is the number of requests in a row that were abandoned although the
	// answer was due.
	consecutiveUnanswered int
	ejectedUntil          time.Time
	// silentSince is when the first dial without an answer began, zero after a connection or
	// an answer. rateBeforeSilence is the failure rate at that time.
	silentSince       time.Time
	rateBeforeSilence float64
	// silenceEndedAt is when the latest silence ended.
	silenceEndedAt time.Time
}

// recordSuccess records a complete response.
func (h *health) recordSuccess(now time.Time) {
	h.lastFailureRate = h.failureRate(now) * (1 - failureRateWeight)
	h.updatedAt, h.consecutiveUnreachable, h.ejectedUntil, h.silentSince = now, 0, time.Time{}, time.Time{}
}

// recordFailure records a response that is an error, is incomplete or is overdue.
func (h *health) recordFailure(now time.Time) {
	h.lastFailureRate = h.failureRate(now)*(1-failureRateWeight) + failureRateWeight
	h.updatedAt = now
}

// recordUnanswered records that a request was abandoned although its answer was due. An endpoint that
// never answers before its callers leave has no other outcomes.
func (h *health) recordUnanswered(now time.Time) {
	h.consecutiveUnanswered++
	if h.consecutiveUnanswered > maxUnanswered {
		h.recordFailure(now)
	}
}

// HasUnansweredRequests reports whether the latest requests, two at least, were abandoned although
// their answers were due.
func (h *health) HasUnansweredRequests() bool {
	return h.consecutiveUnanswered > 1
}

// recordUnreachable records that the endpoint could not be reached, and ejects it.
func (h *health) recordUnreachable(now time.Time) {
	h.recordFailure(now)
	ejection := min(firstEjection<<min(h.consecutiveUnreachable, 5), maxEjection)
	h.consecutiveUnreachable++
	h.ejectedUntil = now.Add(ejection)
}

// recordSilence records that a dial which began at dialedAt got no answer. It returns true
// if the silence has lasted longer than a sound endpoint's may.
func (h *health) recordSilence(dialedAt, now time.Time) bool {
	if h.silentSince.IsZero() {
		h.silentSince, h.rateBeforeSilence = dialedAt, h.failureRate(now)
		h.recordFailure(now)
	}
	h.extendEjection(now)
	if now.Sub(h.silentSince) < MaxSoundSilence {
		return false
	}
	if h.consecutiveUnreachable == 0 {
		h.recordUnreachable(now)
	}
	return true
}

// extendEjection ejects the endpoint at least until the next redials.
func (h *health) extendEjection(now time.Time) {
	if until := now.Add(redialedEjection); until.After(h.ejectedUntil) {
		h.ejectedUntil = until
	}
}

// recordReachable ends an ejection. A silence that was no longer than a sound endpoint's
// leaves no failures.
func (h *health) recordReachable(now time.Time) {
	if h.isWithinSoundSilence(now) {
		h.lastFailureRate, h.updatedAt = h.rateBeforeSilence, now
	}
	if !h.silentSince.IsZero() {
		h.silenceEndedAt = now
	}
	h.ejectedUntil, h.silentSince = time.Time{}, time.Time{}
}

// isWithinSoundSilence reports whether the endpoint is silent, and no longer than a sound
// one may be.
func (h *health) isWithinSoundSilence(now time.Time) bool {
	return !h.silentSince.IsZero() && now.Sub(h.silentSince) < MaxSoundSilence
}

// expectedSilenceLeft returns the time after which a silent endpoint is expected to return:
// half of the time that is left to a sound one.
func (h *health) expectedSilenceLeft(now time.Time) time.Duration {
	return max(MaxSoundSilence-now.Sub(h.silentSince), 0) / 2
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
