package cwgate

import (
	"time"

	"go.uber.org/zap"
)

// recordRateLimit records whether the endpoint's response names a rate limit. The request
// was sent at sentAt. Responses of other instances are passed on unrecorded: only instances
// of the endpoint's region send it requests.
func (a *attempt) recordRateLimit(head ResponseHead, sentAt time.Time) {
	if a.placement == nil || head.IsOtherEndpoint || !head.RateLimit.IsPresent && !head.IsSigned && !head.IsNotRun {
		return
	}
	e := a.placement.Endpoint
	if head.RateLimit.Err != nil {
		a.Log.Warn("endpoint rate limit could not be decoded", zap.String("endpoint", a.placement.EndpointID), zap.Error(head.RateLimit.Err))
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	before := e.RateLimit()
	if e.ObserveRateLimit(head.RateLimit.IsPresent, head.RateLimit.PerSecond, sentAt, time.Now()) {
		a.setRateShare(e, time.Now())
		a.logRateLimit(e, "response", before)
	}
}
