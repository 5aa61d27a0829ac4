package cwpolicy

import (
	"math"
	"time"
)

// arrivalTimeConstant is the time constant with which an ArrivalRate follows the rate. It
// covers several exchanges, so that other instances follow a change about as fast.
const arrivalTimeConstant = 3 * time.Second

// ArrivalRate is the moving average of a rate of events. The zero value is a rate of 0.
type ArrivalRate struct {
	perSecond float64
	updatedAt time.Time
}

// Count counts an event.
func (a *ArrivalRate) Count(now time.Time) {
	a.perSecond = a.PerSecond(now) + 1/arrivalTimeConstant.Seconds()
	a.updatedAt = now
}

// PerSecond returns the rate in events per second.
func (a *ArrivalRate) PerSecond(now time.Time) float64 {
	return a.perSecond * math.Exp(-now.Sub(a.updatedAt).Seconds()/arrivalTimeConstant.Seconds())
}
