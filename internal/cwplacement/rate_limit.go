package cwplacement

import "time"

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

// RateLimit returns the latest known rate limit of the endpoint.
func (e *Endpoint) RateLimit() RateLimit {
	return e.rateLimit
}

// ObserveRateLimit records the limit of a response that arrived now, or that it names none.
// It returns true if the limit has changed. A response without a limit counts only if its
// request was sent after the limit was last named: the endpoint may have begun the response
// before it named the limit.
func (e *Endpoint) ObserveRateLimit(isNamed bool, perSecond float64, sentAt, now time.Time) bool {
	previous := e.rateLimit
	switch {
	case isNamed:
		e.rateLimit = RateLimit{IsNamed: true, PerSecond: perSecond, ObservedAt: now}
	case !previous.ObservedAt.IsZero() && sentAt.After(previous.ObservedAt):
		e.rateLimit = RateLimit{ObservedAt: sentAt}
	}
	return e.rateLimit.IsNamed != previous.IsNamed || e.rateLimit.PerSecond != previous.PerSecond
}
