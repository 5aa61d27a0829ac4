package cwapp

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/clementinewell/clementinewell/internal/cwcontrol"
	"github.com/clementinewell/clementinewell/internal/cwpolicy"
)

// closeTimeout limits how long closing the connections takes after the last request or the
// drain timeout.
const closeTimeout = 2 * time.Second

// shutdown stops the instance gracefully: it notifies peers and callers, hands the tickets
// over to a successor and waits for requests in flight. Those that take longer than the
// drain timeout get a response or, if it has begun, are broken off.
func (a *App) shutdown(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, a.Settings.DrainTimeout+closeTimeout)
	defer cancel()
	a.Log.Info("shutdown begins", zap.Int("inFlight", a.dispatcher.InFlight()))
	a.Control.Post(ctx, cwcontrol.SelfLeaving{})
	a.Control.Flush(ctx)
	successor := a.handOverTickets(ctx, nil)
	a.exchanger.RunRound(ctx, true)
	select {
	case <-a.dispatcher.Drained():
	case <-time.After(a.Settings.DrainTimeout):
		a.Log.Warn("drain timeout", zap.Int("inFlight", a.dispatcher.InFlight()))
		a.dispatcher.End()
	}
	// The outcomes of requests that ended since the first handover go to the same successor.
	a.handOverTickets(ctx, successor)
	closeCtx, cancelClose := context.WithTimeout(ctx, closeTimeout)
	defer cancelClose()
	if err := drainServers(closeCtx, a.servers, requestArrivalTimeout); err != nil {
		a.Log.Warn("connections closed with requests in flight", zap.Int("inFlight", a.dispatcher.InFlight()), zap.Error(err))
	}
	closeServers(a.servers)
	a.Log.Info("shutdown done")
}

// handOverTickets transfers the tickets to the successor, or to one that it selects if nil is
// given, and returns it; nil if there is none. It returns the successor also if the transfer
// failed, since the request may have reached it: no other is tried, so that a ticket never
// has two owners.
func (a *App) handOverTickets(ctx context.Context, successor *cwpolicy.Member) *cwpolicy.Member {
	if successor == nil {
		successor = a.findSuccessor()
	}
	handovers := a.dispatcher.HandOverTickets()
	if successor == nil {
		a.Log.Warn("no successor for tickets")
		return nil
	}
	incarnation, err := a.peerClient.TakeOver(ctx, successor.PeerAddress, handovers)
	if err != nil {
		a.Log.Warn("tickets not handed over", zap.Error(err))
		return successor
	}
	a.dispatcher.RecordTicketMoves(ctx, handovers, incarnation)
	a.Control.Flush(ctx)
	return successor
}

// findSuccessor returns the usable member of this instance's domain with the most recent
// contact, otherwise that of its region. It returns nil if there is none.
func (a *App) findSuccessor() *cwpolicy.Member {
	s := a.Control.Snapshot()
	now := time.Now()
	var best *cwpolicy.Member
	for i := range s.Members {
		m := &s.Members[i]
		if m.Region != a.Settings.Region || m.Incarnation == 0 || !m.IsUsable(now, cwpolicy.MemberContactTimeout) {
			continue
		}
		if best == nil || isBetterSuccessor(m, best, a.Settings.Domain) {
			best = m
		}
	}
	return best
}

// isBetterSuccessor reports whether m is to be preferred to best as a successor for an
// instance in the domain.
func isBetterSuccessor(m, best *cwpolicy.Member, domain string) bool {
	if (m.Domain == domain) != (best.Domain == domain) {
		return m.Domain == domain
	}
	return m.LastContactAt.After(best.LastContactAt)
}
