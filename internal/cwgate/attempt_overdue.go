package cwgate

import (
	"context"
	"errors"
	"time"

	"github.com/clementinewell/clementinewell/internal/cwconn"
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
// cancelled only after another place has been reserved and has accepted a connection: a pause
// alone does not justify ending a response, and the other place may be silent too. If there is
// no such place and mayRetry is set, the search is repeated after alternativeInterval.
func (a *attempt) handleOverdue(mayRetry bool, cancel context.CancelCauseFunc) {
	next, progress := a.reserveNext(mayRetry)
	if next == nil {
		return
	}
	dialedAt := time.Now()
	if err := a.preconnect(next); err != nil {
		a.dropNext(next, dialedAt, err)
		return
	}
	if a.progress() != progress {
		a.dropNext(next, dialedAt, nil)
		return
	}
	cancel(errStalled)
}

// reserveNext reserves the place of the next attempt and returns it with the number of events
// so far; nil if the attempt goes on.
func (a *attempt) reserveNext(mayRetry bool) (*cwplacement.Decision, int) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.hasEnded || a.next != nil {
		return nil, 0
	}
	if mayRetry {
		if a.next = a.reserveAlternative(now); a.next != nil {
			return a.next, a.req.responder.eventCount
		}
		a.stallTimer.reset(alternativeInterval)
	}
	if a.placement != nil {
		a.placement.OnOverdue(now)
	}
	return nil, 0
}

// progress returns the number of events of the request so far.
func (a *attempt) progress() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.req.responder.eventCount
}

// preconnect opens the connection for the next attempt.
func (a *attempt) preconnect(next *cwplacement.Decision) error {
	address, maxConns := "", 0
	if next.Placement != nil {
		address, maxConns = next.Placement.Address, a.maxConns(a.req.service)
	} else {
		a.mu.Lock()
		address = a.exitAddresses[next.Domain]
		a.mu.Unlock()
	}
	err := a.conns.Preconnect(context.Background(), address, maxConns, cwconn.DialTimeout)
	if errors.Is(err, cwconn.ErrConnLimit) {
		// The next attempt uses one of the open connections.
		return nil
	}
	return err
}

// dropNext releases the reserved place, unless the attempt has ended meanwhile and the next one
// is made there. The error is that of the dial which began at dialedAt; nil if the attempt has
// made progress.
func (a *attempt) dropNext(next *cwplacement.Decision, dialedAt time.Time, err error) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.hasEnded {
		return
	}
	a.next = nil
	a.retryBudget(a.req.service).Refund(now)
	if err != nil {
		a.stallTimer.reset(alternativeInterval)
	}
	if next.Placement == nil {
		a.pools[a.req.service].TakeBackRelay(*next)
		return
	}
	next.Placement.OnEnd(cwplacement.Abandoned, now)
	if err == nil {
		return
	}
	if errors.Is(err, cwconn.ErrNoAnswer) {
		next.Placement.Endpoint.MarkSilent(dialedAt, now)
	} else {
		next.Placement.Endpoint.MarkUnreachable(now)
	}
	a.startRedialing(next.Placement.Endpoint, a.req.service)
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
