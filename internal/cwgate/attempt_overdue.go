package cwgate

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/clementinewell/clementinewell/internal/cwconn"
	"github.com/clementinewell/clementinewell/internal/cwplacement"
)

// alternativeInterval is the interval at which an overdue attempt looks for another place.
// It is about the interval at which updates from other instances arrive.
const alternativeInterval = 250 * time.Millisecond

// handleOverdue handles an attempt that has made no progress within its timeout: no first
// event or no further one of a stream, or no complete response otherwise. Another attempt
// begins beside it: a pause alone does not justify ending a response. If there is no other place,
// the search is repeated after alternativeInterval. ctx is that of the request.
func (a *attempt) handleOverdue(ctx context.Context) {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.hasEnded || a.hasMoved || a.next != nil {
		return
	}
	if a.placement != nil {
		a.placement.OnOverdue(now)
	}
	a.renewConns()
	if a.spareRuns <= 0 || a.spareAttempts <= 0 {
		return
	}
	if d := a.reserveAlternative(now); d == nil || !a.beginMove(ctx, *d, now) {
		a.stallTimer.reset(alternativeInterval)
	}
}

// renewConns replaces the idle connections to the place that have brought no response since the attempt
// began: if its connection has gone silent, they may have too, and each would cost a request its time.
func (a *attempt) renewConns() {
	a.Go("renew connections", func() {
		closed, err := a.conns.Renew(a.ended, a.address, a.startedAt, cwconn.DialTimeout)
		if closed > 0 || err != nil {
			a.Log.Info("idle connections renewed", zap.String("place", a.placeName()), zap.Int("closed", closed), zap.Error(err))
		}
	})
}

// reserveAlternative chooses another place and spends retry budget for it. It returns nil
// if there is no place or no budget. The caller holds mu.
func (a *attempt) reserveAlternative(now time.Time) *cwplacement.Decision {
	if !a.spendRetry(a.req, now) {
		return nil
	}
	current := a.placeName()
	d := a.decidePlacementLocked(a.req, func(name string) bool { return name == current || a.req.isTriedOrSilent(name) }, now)
	if d.Action == cwplacement.ActionRefuse {
		a.refundRetry(a.req, now)
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
