package cwgate

import (
	"context"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwplacement"
)

// overdueCheck is the time between two looks for another place for an attempt that
// still brings nothing: about that in which news of other instances arrives.
const overdueCheck = 250 * time.Millisecond

// mayFollow reports whether another attempt may be made after this one has run.
func (a *attempt) mayFollow() bool {
	j := a.job
	return !j.Relayed && j.route.IsIdempotent() && j.runs+1 < max(j.route.MaxAttempts, 1) && j.sends < maxSends
}

// overdue handles an attempt that brings no byte. It is given up only for another place
// that is there for certain: silence alone is no reason to end an answer.
func (a *attempt) overdue(again bool, cancel context.CancelCauseFunc) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.over || a.next != nil {
		return
	}
	if again {
		if a.next = a.elsewhere(now); a.next != nil {
			cancel(errStalled)
			return
		}
		a.stall.progress(overdueCheck)
	}
	if a.ticket != nil {
		a.ticket.OnOverdue(now)
	}
}

// elsewhere finds another place and takes it from the retry budget, or returns nil. The
// caller holds mu.
func (a *attempt) elsewhere(now time.Time) *cwplacement.Decision {
	budget := a.budget(a.job.service)
	if !budget.TrySpend(a.instances(), now) {
		return nil
	}
	current := a.place()
	d := a.placeOf(a.job, func(name string) bool { return name == current || a.job.triedBefore(name) }, now)
	if d.Action == cwplacement.ActionRefuse {
		budget.Refund(now)
		return nil
	}
	return &d
}

// place is what the attempt is known by: an endpoint, or a domain.
func (a *attempt) place() string {
	if a.ticket != nil {
		return a.ticket.Endpoint.ID
	}
	return a.exit
}
