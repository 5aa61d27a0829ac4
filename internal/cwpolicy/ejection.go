package cwpolicy

import (
	"math/rand/v2"
	"time"
)

const (
	minEjectionFailures = 3
	baseEjectionTime    = time.Second
	maxEjectionTime     = 30 * time.Second
	// endpointSlowStart is the time over which an endpoint returns to its full share
	// of requests after an ejection.
	endpointSlowStart = 10 * time.Second
)

// Ejection excludes a failing endpoint from selection for a limited time and
// returns it gradually. It is embedded in Endpoint.
type Ejection struct {
	consecutiveFailures int
	ejections           int
	ejectedUntil        time.Time
}

// OnFailure records a failed attempt. After minEjectionFailures consecutive ones it
// ejects the endpoint, each time for twice as long, up to a maximum. The jitter, in
// [0,1), lengthens the ejection by up to half, so that ejected endpoints do not all
// return at the same time.
func (e *Ejection) OnFailure(now time.Time, jitter float64) {
	e.consecutiveFailures++
	if e.consecutiveFailures < minEjectionFailures || now.Before(e.ejectedUntil) {
		return
	}
	duration := min(baseEjectionTime<<min(e.ejections, 5), maxEjectionTime)
	e.ejectedUntil = now.Add(duration + time.Duration(jitter*float64(duration)/2))
	e.ejections++
}

// OnSuccess records a successful attempt.
func (e *Ejection) OnSuccess(now time.Time) {
	e.consecutiveFailures = 0
	if now.Sub(e.ejectedUntil) > endpointSlowStart {
		e.ejections = 0
	}
}

// IsSelectable reports whether the endpoint may be selected now. After an ejection
// the probability of true rises linearly from 0.1 to 1 over the slow start.
func (e *Ejection) IsSelectable(now time.Time, rng *rand.Rand) bool {
	if e.ejections == 0 {
		return true
	}
	sinceReturn := now.Sub(e.ejectedUntil)
	if sinceReturn < 0 {
		return false
	}
	return sinceReturn >= endpointSlowStart || rng.Float64() < 0.1+0.9*sinceReturn.Seconds()/endpointSlowStart.Seconds()
}

// IsEjected reports whether the endpoint is ejected at this time.
func (e *Ejection) IsEjected(now time.Time) bool {
	return now.Before(e.ejectedUntil)
}
