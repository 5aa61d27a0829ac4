package cwplacement

import (
	"time"

	"github.com/clementinewell/clementinewell/internal/cwpolicy"
)

// RateLimit is the rate limit of an endpoint, as its responses name it.
type RateLimit struct {
	// IsNamed is set if the endpoint names a limit. Otherwise it has withdrawn the limit,
	// or has never named one.
	IsNamed bool
	// PerSecond is the rate of requests that the endpoint accepts from all instances
	// together.
	PerSecond float64
	// ObservedAt is when the endpoint stated this, by the clock of this instance; zero if
	// it has never named a limit.
	ObservedAt time.Time
}

// differsFrom reports whether the endpoint states something else than before.
func (l RateLimit) differsFrom(other RateLimit) bool {
	return l.IsNamed != other.IsNamed || l.PerSecond != other.PerSecond
}

// rateLimiter keeps an endpoint's requests from this instance within this instance's share
// of the limit that the endpoint names.
type rateLimiter struct {
	limit    RateLimit
	share    cwpolicy.RateShare
	division *cwpolicy.RateDivision
}

// RateLimit returns the latest known rate limit of the endpoint.
func (l *rateLimiter) RateLimit() RateLimit {
	return l.limit
}

// ObserveRateLimit records the limit of a response that arrived now, or that it names none.
// It returns true if the limit has changed. A response without a limit counts only if its
// request was sent after the limit was last named: the endpoint may have begun the response
// before it named the limit.
func (l *rateLimiter) ObserveRateLimit(isNamed bool, perSecond float64, sentAt, now time.Time) bool {
	previous := l.limit
	switch {
	case isNamed:
		l.limit = RateLimit{IsNamed: true, PerSecond: perSecond, ObservedAt: now}
	case !previous.ObservedAt.IsZero() && sentAt.After(previous.ObservedAt):
		l.limit = RateLimit{ObservedAt: sentAt}
	}
	return l.limit.differsFrom(previous)
}

// minReportedLimitGain is how much later than the known limit a reported one must have been
// observed to replace it, because ages lose precision with each report.
const minReportedLimitGain = 50 * time.Millisecond

// MergeRateLimit records what another instance observed, if it is more recent. It returns
// true if the limit has changed.
func (l *rateLimiter) MergeRateLimit(reported RateLimit) bool {
	if !reported.ObservedAt.After(l.limit.ObservedAt.Add(minReportedLimitGain)) {
		return false
	}
	previous := l.limit
	l.limit = reported
	return l.limit.differsFrom(previous)
}

// RateDivision returns the division of the limit between the instances.
func (e *Endpoint) RateDivision() *cwpolicy.RateDivision {
	if e.division == nil {
		e.division = cwpolicy.NewRateDivision(e.ID)
	}
	return e.division
}

// SetRateShare sets this instance's share of the limit: its rate in requests per second,
// and the number of unspent requests that it may accumulate.
func (l *rateLimiter) SetRateShare(perSecond float64, burst int, now time.Time) {
	l.share.Set(perSecond, burst, now)
}

// RateShare returns this instance's share of the limit, in requests per second.
func (l *rateLimiter) RateShare() float64 {
	return l.share.PerSecond()
}

// isWithinRateLimit reports whether the limit allows this instance a request now.
func (l *rateLimiter) isWithinRateLimit(now time.Time) bool {
	return !l.limit.IsNamed || l.share.CanTake(now)
}

// countRequest spends a request of the share.
func (l *rateLimiter) countRequest(now time.Time) {
	if l.limit.IsNamed {
		l.share.Take(now)
	}
}
