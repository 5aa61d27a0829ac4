package cwgate

import (
	"time"

	"github.com/clementinewell/clementinewell/internal/cwcontrol"
	"github.com/clementinewell/clementinewell/internal/cwplacement"
	"github.com/clementinewell/clementinewell/internal/cwpolicy"
)

// Capacities returns the free capacity of each service's endpoints in this instance's
// domain.
func (g *Gate) Capacities() []cwcontrol.PeerCapacity {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sync(now)
	capacities := make([]cwcontrol.PeerCapacity, 0, len(g.pools))
	for name, p := range g.pools {
		capacities = append(capacities, cwcontrol.PeerCapacity{Pool: name, Capacity: p.Capacity(g.site.Domain, now)})
	}
	return capacities
}

// LimitDemands returns the rate of requests at this instance for each service with an
// endpoint that names a rate limit. Routes have no limits for client accounts.
func (g *Gate) LimitDemands() []cwpolicy.LimitDemand {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	var demands []cwpolicy.LimitDemand
	for name, p := range g.pools {
		if p.HasRateLimits() {
			demands = append(demands, cwpolicy.LimitDemand{Key: cwpolicy.LimitKey{Service: name}, RequestsPerSecond: p.ArrivalsPerSecond(now)})
		}
	}
	return demands
}

// TakeOverTickets refuses all tickets, since routed requests have none.
func (g *Gate) TakeOverTickets([]cwpolicy.TicketHandover) bool {
	return false
}

// EndpointWork returns the work of this instance at each endpoint of its region, with its
// measurements there, for the other instances. It omits idle endpoints without recent prompt
// parts, failures and statements.
func (g *Gate) EndpointWork() []cwcontrol.EndpointWork {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sync(now)
	var endpointWork []cwcontrol.EndpointWork
	for _, p := range g.pools {
		for id, e := range p.Endpoints() {
			w, parts, failureRate := e.OwnWork(), e.RecentParts(now), e.FailureRate(now)
			unreachableAt := e.UnreachableAt()
			if now.Sub(unreachableAt) > unreachableReportPeriod {
				unreachableAt = time.Time{}
			}
			promptSpeed, eventRate := e.Measurements(now)
			rateLimit := reportedRateLimit(e, now)
			coldUntil := g.coldPeriods[id].statedUntil
			if !now.Before(coldUntil) {
				coldUntil = time.Time{}
			}
			if w.InFlight == 0 && len(parts) == 0 && failureRate < minReportedFailureRate && unreachableAt.IsZero() && rateLimit.ObservedAt.IsZero() && !isReportedLeaving(e) && coldUntil.IsZero() {
				continue
			}
			work := cwcontrol.EndpointWork{
				Endpoint: id, QueuedTokens: toQueuedTokens(w), HeldTokens: w.HeldTokens, InFlight: w.InFlight,
				PromptParts: toControlParts(parts), FailureRate: failureRate, UnreachableAt: unreachableAt,
				PromptSpeed: cwcontrol.Measurement(promptSpeed), EventRate: cwcontrol.Measurement(eventRate), RateLimit: rateLimit, ColdUntil: coldUntil,
			}
			if isReportedLeaving(e) {
				work.IsLeaving, work.StartedAtMillis = true, e.StartedAtMillis
			}
			endpointWork = append(endpointWork, work)
		}
	}
	return endpointWork
}

// isReportedLeaving reports whether other instances are told that the endpoint is leaving. They may
// not have read that in its entry, which an older heartbeat can overwrite. A statement about an
// endpoint without the time of its start would outlast its life.
func isReportedLeaving(e *cwplacement.Endpoint) bool {
	return e.IsLeaving() || e.HasStartedDraining() && e.StartedAtMillis > 0
}

// unreachableReportPeriod is how long a failure to reach an endpoint is reported.
const unreachableReportPeriod = 3 * time.Second

// minReportedFailureRate is the fraction of failed requests from which an idle endpoint is
// reported.
const minReportedFailureRate = 0.1
