package cwgate

import (
	"context"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwplacement"
)

// alternativeInterval is the interval at which an overdue attempt looks for another place.
// It is about the interval at which updates from other instances arrive.
const alternativeInterval = 250 * time.Millisecond

// mayRetryElsewhere reports whether another attempt may be made after this one, even if
// this one has run.
func (a *attempt) mayRetryElsewhere() bool {
	routed := a.req
	return !routed.IsRelayed && routed.route.IsIdempotent() && routed.possibleRuns+1 < max(routed.route.MaxAttempts, 1) && routed.attempts < maxTotalAttempts
}

// handleOverdue handles an attempt that has made no progress within its timeout: no first
// event or no further one of a stream, or no complete response otherwise. The attempt is
// cancelled only after another place has been reserved: a pause alone does not justify
// ending a response. If there is no other place and mayRetry is set, the search is repeated
// after alternativeInterval.
func (a *attempt) handleOverdue(mayRetry bool, cancel context.CancelCauseFunc) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.hasEnded || a.next != nil {
		return
	}
	if mayRetry {
		if a.next = a.reserveAlternative(now); a.next != nil {
			cancel(errStalled)
			return
		}
		a.stallTimer.reset(alternativeInterval)
	}
	if a.placement != nil {
		a.placement.OnOverdue(now)
	}
}

// reserveAlternative chooses another place and spends retry budget for it. It returns nil
// if there is no place or no budget. The caller holds mu.
func (a *attempt) reserveAlternative(now time.Time) *cwplacement.Decision {
	budget := a.retryBudget(a.req.service)
	if !budget.TrySpend(a.instanceCount(), now) {
		return nil
	}
	current := a.placeName()
	d := a.decidePlacementLocked(a.req, func(name string) bool { return name == current || a.req.hasTried(name) }, now)
	if d.Action == cwplacement.ActionRefuse {
		budget.Refund(now)
		return nil
	}
	return &d
}

// placeName returns the endpoint's identifier, or the domain of a relayed request.
func (a *attempt) placeName() string {
	if a.placement != nil {
		return a.placement.EndpointID
	}
	return a.exitDomain
}
