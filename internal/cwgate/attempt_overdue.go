package cwgate

import (
	"context"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwplacement"
)

// alternativeInterval is the time between two looks for another place for an attempt that
// still brings nothing: about that in which news of other instances arrives.
const alternativeInterval = 250 * time.Millisecond

// mayRetryElsewhere reports whether another attempt may be made after this one has run.
func (a *attempt) mayRetryElsewhere() bool {
	j := a.req
	return !j.Relayed && j.route.IsIdempotent() && j.possibleRuns+1 < max(j.route.MaxAttempts, 1) && j.attempts < maxTotalAttempts
}

// handleOverdue handles an attempt that brings no byte. It is given up only for another place
// that is there for certain: silence alone is no reason to end an answer.
func (a *attempt) handleOverdue(again bool, cancel context.CancelCauseFunc) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended || a.next != nil {
		return
	}
	if again {
		if a.next = a.reserveAlternative(now); a.next != nil {
			cancel(errStalled)
			return
		}
		a.stallTimer.reset(alternativeInterval)
	}
	if a.ticket != nil {
		a.ticket.OnOverdue(now)
	}
}

// reserveAlternative finds another place and takes it from the retry budget, or returns nil. The
// caller holds mu.
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

// placeName is what the attempt is known by: an endpoint, or a domain.
func (a *attempt) placeName() string {
	if a.ticket != nil {
		return a.ticket.Endpoint.ID
	}
	return a.exitDomain
}
