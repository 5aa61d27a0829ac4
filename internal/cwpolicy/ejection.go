package cwpolicy

import (
	"math/rand/v2"
	"time"
)

const (
	ejectAfterFailures = 3
	ejectBase          = time.Second
	ejectMax           = 30 * time.Second
	// returnTime is how long an endpoint takes to come back to its full share.
	returnTime = 10 * time.Second
)

// Ejection keeps an endpoint that fails out of choice for a while and lets it
// return slowly. It is embedded in Endpoint.
type Ejection struct {
	failures int
	rounds   int
	until    time.Time
}

// OnFailure records a failed attempt. Jitter in [0,1) spreads the return.
func (e *Ejection) OnFailure(now time.Time, jitter float64) {
	e.failures++
	if e.failures < ejectAfterFailures || now.Before(e.until) {
		return
	}
	pause := min(ejectBase<<min(e.rounds, 5), ejectMax)
	e.until = now.Add(pause + time.Duration(jitter*float64(pause)/2))
	e.rounds++
}

// OnSuccess records an attempt that worked.
func (e *Ejection) OnSuccess(now time.Time) {
	e.failures = 0
	if now.Sub(e.until) > returnTime {
		e.rounds = 0
	}
}

// Open reports whether the endpoint may be chosen now. After an ejection the
// chance of being chosen rises over the return time.
func (e *Ejection) Open(now time.Time, rng *rand.Rand) bool {
	if e.rounds == 0 {
		return true
	}
	since := now.Sub(e.until)
	if since < 0 {
		return false
	}
	return since >= returnTime || rng.Float64() < 0.1+0.9*since.Seconds()/returnTime.Seconds()
}

// Ejected reports whether the endpoint is out at this time.
func (e *Ejection) Ejected(now time.Time) bool {
	return now.Before(e.until)
}
