package cwpolicy

import (
	"math/rand/v2"
	"time"
)

const (
	minEjectionFailures = 3
	baseEjectionTime    = time.Second
	maxEjectionTime     = 30 * time.Second
	// endpointSlowStart is how long an endpoint takes to come back to its full share.
	endpointSlowStart = 10 * time.Second
)

// Ejection keeps an endpoint that fails out of choice for a while and lets it
// return slowly. It is embedded in Endpoint.
type Ejection struct {
	consecutiveFailures int
	ejections           int
	ejectedUntil        time.Time
}

// OnFailure records a failed attempt. Jitter in [0,1) spreads the return.
func (e *Ejection) OnFailure(now time.Time, jitter float64) {
	e.consecutiveFailures++
	if e.consecutiveFailures < minEjectionFailures || now.Before(e.ejectedUntil) {
		return
	}
	pause := min(baseEjectionTime<<min(e.ejections, 5), maxEjectionTime)
	e.ejectedUntil = now.Add(pause + time.Duration(jitter*float64(pause)/2))
	e.ejections++
}

// OnSuccess records an attempt that worked.
func (e *Ejection) OnSuccess(now time.Time) {
	e.consecutiveFailures = 0
	if now.Sub(e.ejectedUntil) > endpointSlowStart {
		e.ejections = 0
	}
}

// IsSelectable reports whether the endpoint may be chosen now. After an ejection the
// chance of being chosen rises over the return time.
func (e *Ejection) IsSelectable(now time.Time, rng *rand.Rand) bool {
	if e.ejections == 0 {
		return true
	}
	since := now.Sub(e.ejectedUntil)
	if since < 0 {
		return false
	}
	return since >= endpointSlowStart || rng.Float64() < 0.1+0.9*since.Seconds()/endpointSlowStart.Seconds()
}

// IsEjected reports whether the endpoint is out at this time.
func (e *Ejection) IsEjected(now time.Time) bool {
	return now.Before(e.ejectedUntil)
}
